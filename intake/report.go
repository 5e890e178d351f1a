package intake

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// reason is why a connection is closed.
type reason string

const (
	reasonPlaces   reason = "places"
	reasonMemory   reason = "memory"
	reasonHeadSize reason = "head_size"
	reasonHeadTime reason = "head_time"
	reasonAnswer   reason = "answer_time"
)

// logInterval is the least time between two log lines about closed connections.
const logInterval = 10 * time.Second

// closure is a listener and why a connection of it was closed.
type closure struct {
	listener string
	why      reason
}

// report counts the connections that are closed, and logs their number.
type report struct {
	logger log.Logger

	mu     sync.Mutex
	closed map[closure]int64
	// unlogged are those since the last line; waiting is set while a line is due.
	unlogged map[closure]int64
	waiting  bool
}

// closing counts a connection that is about to be closed.
func (a *Account) closing(l *Listener, why reason) {
	r := &a.report
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed == nil {
		r.closed, r.unlogged = make(map[closure]int64), make(map[closure]int64)
	}
	k := closure{l.opt.Name, why}
	r.closed[k]++
	r.unlogged[k]++
	if !r.waiting {
		r.waiting = true
		time.AfterFunc(logInterval, r.log)
	}
}

// log logs the connections that were closed since the last lines, one line for each listener and
// reason.
func (r *report) log() {
	r.mu.Lock()
	unlogged := r.unlogged
	r.unlogged, r.waiting = make(map[closure]int64), false
	r.mu.Unlock()
	for k, n := range unlogged {
		_ = r.logger.Log("msg", "connections closed", "listener", k.listener, "reason", string(k.why), "count", n)
	}
}

// Register registers the metrics of the account.
func (a *Account) Register(m metric.Meter) error {
	closed, err := m.Int64ObservableCounter("toucan.intake.closed", metric.WithUnit("{connection}"),
		metric.WithDescription("Connections closed because their client did not keep a limit or made no progress, by listener and reason."))
	if err != nil {
		return err
	}
	open, err := m.Int64ObservableGauge("toucan.intake.connections", metric.WithUnit("{connection}"),
		metric.WithDescription("Open connections, by listener."))
	if err != nil {
		return err
	}
	places, err := m.Int64ObservableGauge("toucan.intake.places", metric.WithUnit("{connection}"),
		metric.WithDescription("Connections that may be open, by listener; 0 for no bound."))
	if err != nil {
		return err
	}
	held, err := m.Int64ObservableGauge("toucan.intake.held", metric.WithUnit("By"),
		metric.WithDescription("Memory held for heads and messages that are not complete, and for heads of requests in progress."))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		a.observe(o, closed, open, places)
		o.ObserveInt64(held, a.held.Load())
		return nil
	}, closed, open, places, held)
	return err
}

func (a *Account) observe(o metric.Observer, closed metric.Int64Observable, open, places metric.Int64Observable) {
	a.mu.Lock()
	for _, l := range a.listeners {
		name := metric.WithAttributes(attribute.String("listener", l.opt.Name))
		o.ObserveInt64(open, int64(l.count()), name)
		o.ObserveInt64(places, int64(l.places), name)
	}
	a.mu.Unlock()
	a.report.mu.Lock()
	defer a.report.mu.Unlock()
	for k, n := range a.report.closed {
		o.ObserveInt64(closed, n, metric.WithAttributes(attribute.String("listener", k.listener), attribute.String("reason", string(k.why))))
	}
}
