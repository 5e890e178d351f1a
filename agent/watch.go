package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
)

const (
	// roomReportDelay is the mean delay between a change of whether a gateway may send a request
	// and its report. It coalesces changes that follow each other. An offer is reported at once.
	roomReportDelay = 6 * time.Millisecond
	// loadReportDelay is the same for other changes of the load. They matter less, because
	// gateways choose among endpoints that have room, and with tens of gateways per agent
	// these reports are most of all messages.
	loadReportDelay = 300 * time.Millisecond
)

// watcher is one gateway that follows the load.
type watcher struct {
	gateway instance.Incarnation
	// readsSlowdown is set if the gateway reads endpoint.Load.Slowdown; guarded by gate.mu.
	readsSlowdown bool
	// reportedRoom is whether the last report showed room; guarded by gate.mu.
	reportedRoom bool
	// roomChanged is signalled after a change of whether there is room, loadChanged after other
	// changes of the load, slotOffered when a slot is held for the gateway.
	roomChanged, loadChanged, slotOffered chan struct{}
}

// waitForReport blocks until the next report is due; it returns false if the gateway has left.
func (w *watcher) waitForReport(ctx context.Context) bool {
	timer := time.NewTimer(dispatch.WatchInterval)
	defer timer.Stop()
	counted := w.loadChanged
	changed := w.roomChanged
	for {
		select {
		case <-ctx.Done():
			return false
		case <-w.slotOffered:
			return true
		case <-timer.C:
			return true
		case <-counted:
			counted = nil
			timer.Reset(loadReportDelay/2 + rand.N(loadReportDelay))
		case <-changed:
			counted, changed = nil, nil
			timer.Reset(roomReportDelay/2 + rand.N(roomReportDelay))
		}
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// serveWatch streams load reports after changes until the gateway leaves.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.Header.Get(dispatch.HeaderGateway), 16, 64)
	if err != nil {
		http.Error(w, dispatch.HeaderGateway+": "+err.Error(), http.StatusBadRequest)
		return
	}
	gateway := instance.Incarnation(id)
	follower, stop := a.gate.watch(gateway)
	defer stop()
	if r.Header.Get(dispatch.HeaderReadsSlowdown) != "" {
		a.gate.sendSlowdownTo(follower)
	}
	flusher, _ := w.(http.Flusher)
	encoder := msgpack.NewEncoder(w)
	for {
		if encoder.Encode(a.heartbeat(a.gate.loadReportTo(follower, a.now()))) != nil {
			return // the gateway has left
		}
		if flusher != nil {
			flusher.Flush()
		}
		if !follower.waitForReport(r.Context()) {
			return
		}
	}
}

// serveWant records the requests waiting at a gateway.
func (a *Agent) serveWant(w http.ResponseWriter, r *http.Request) {
	var in dispatch.WantRequest
	if !a.decodeRequest(w, r, &in) {
		return
	}
	a.gate.recordWaiting(in.Gateway, in.Waiting, a.now())
	_ = msgpack.NewEncoder(w).Encode(a.heartbeat(a.loadFor(in.Gateway)))
}
