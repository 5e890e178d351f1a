// Package telemetry sets up OpenTelemetry metrics and the admin listener of a
// process: /healthz, /readyz, /metrics and /timeline.
package telemetry

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"toucantiller.dev/timeline"
)

// maxScrapes bounds the requests for metrics that are served at once; each gathers all of them.
const maxScrapes = 8

// Telemetry holds the metrics of one process.
type Telemetry struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	ready    atomic.Bool
}

// New returns telemetry that exports in Prometheus text format, with the standard metrics of the
// process such as process_resident_memory_bytes.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return nil, err
	}
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	return &Telemetry{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}, nil
}

// Meter returns the meter of a package, named by its import path.
func (t *Telemetry) Meter(name string) metric.Meter { return t.provider.Meter(name) }

// SetReady sets whether /readyz answers 200 or 503. It starts as not ready.
func (t *Telemetry) SetReady(ready bool) { t.ready.Store(ready) }

// Handler returns the admin handler. Callers may add routes to the router.
func (t *Telemetry) Handler(recorder *timeline.Recorder) *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", t.serveReady)
	r.Handle("/metrics", promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	r.Handle("/timeline", recorder)
	return r
}

func (t *Telemetry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !t.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
