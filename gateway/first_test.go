package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
)

// startingView has no configuration at first.
type startingView struct {
	View
	config atomic.Pointer[contract.Config]
}

func (v *startingView) Config() *contract.Config { return v.config.Load() }

// Guards against refusals between the start of a gateway and its first configuration, and
// against a request that is held for long when no configuration arrives.
func TestRequestsAwaitTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &startingView{}
		g := &Gateway{opt: Options{View: v}}
		began := time.Now()
		g.awaitConfiguration(t.Context(), &IngressRequest{Timeout: 2 * time.Second})
		assert.Equal(t, time.Since(began), 500*time.Millisecond, "a quarter of the caller's time")
		time.AfterFunc(300*time.Millisecond, func() { v.config.Store(contract.NewConfig(contract.Parts{})) })
		began = time.Now()
		g.awaitConfiguration(t.Context(), &IngressRequest{Timeout: 5 * time.Second})
		assert.Assert(t, time.Since(began) <= 300*time.Millisecond+configurationPoll)
		began = time.Now()
		g.awaitConfiguration(t.Context(), &IngressRequest{Timeout: 5 * time.Second})
		assert.Equal(t, time.Since(began), time.Duration(0))

		v.config.Store(nil)
		left, leave := context.WithCancel(t.Context())
		leave()
		began = time.Now()
		g.awaitConfiguration(left, &IngressRequest{Timeout: 5 * time.Second})
		assert.Equal(t, time.Since(began), time.Duration(0), "the caller has left")
		assert.Equal(t, g.awaitingConfiguration.Load(), int64(0))
	})
}
