package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"gotest.tools/v3/assert"

	"toucantiller.dev/agent"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/fake"
)

// blockedEngine blocks each request until it is cancelled.
type blockedEngine struct{ fake.Resumable }

func (*blockedEngine) Submit(ctx context.Context, _ *endpoint.Request) (*endpoint.Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against prefill for callers that left being missing from the metric, and against a
// slot that is not freed.
func TestWastedPrefillIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := sdk.NewManualReader()
		a, err := agent.New(agent.Options{
			Endpoint: endpoint.Endpoint{ID: "e", Incarnation: 2, Service: "s", Version: "1"},
			Engine:   &blockedEngine{}, View: noView{}, Meter: sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("test"),
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, dispatch.PathDispatch, strings.NewReader("{}"))
		h := dispatch.Header{ID: dispatch.ID{Request: "r"}, Agent: 2, Service: "s", Version: "1", Method: "POST", Timeout: time.Minute, PromptTokens: 700}
		sent := make(http.Header)
		h.Write(sent)
		for name, values := range sent {
			r.Header[http.CanonicalHeaderKey(name)] = values
		}
		a.Handler().ServeHTTP(httptest.NewRecorder(), r)
		assert.Equal(t, a.Load().Running, 0)
		assert.Equal(t, sum(t, reader, "toucan.agent.prefill.wasted"), int64(700))
		assert.Equal(t, sum(t, reader, "toucan.agent.dispatches.lost"), int64(1))
	})
}

func sum(t *testing.T, reader sdk.Reader, name string) int64 {
	var all metricdata.ResourceMetrics
	assert.NilError(t, reader.Collect(context.Background(), &all))
	total := int64(0)
	for _, scope := range all.ScopeMetrics {
		for _, m := range scope.Metrics {
			if s, ok := m.Data.(metricdata.Sum[int64]); ok && m.Name == name {
				for _, p := range s.DataPoints {
					total += p.Value
				}
			}
		}
	}
	return total
}
