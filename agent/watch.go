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
	// roomDelay is the mean time between a change of whether there is room and its report. It
	// joins changes that follow each other. An offer is reported at once.
	roomDelay = 6 * time.Millisecond
	// countDelay is the same for other changes of the load, which decide little: gateways choose
	// among endpoints with room. With tens of gateways to an agent these reports are most of
	// all messages.
	countDelay = 300 * time.Millisecond
)

// watcher is one gateway that follows the load.
type watcher struct {
	gateway instance.Incarnation
	// room is whether the last report showed room; it belongs to the gate's lock.
	room bool
	// changed receives after a change of whether there is room, counted after other changes
	// of the load, offered when a slot is kept for the gateway.
	changed, counted, offered chan struct{}
}

// await returns when the next report is due, false if the gateway has left.
func (w *watcher) await(ctx context.Context) bool {
	timer := time.NewTimer(dispatch.WatchInterval)
	defer timer.Stop()
	counted := w.counted
	changed := w.changed
	for {
		select {
		case <-ctx.Done():
			return false
		case <-w.offered:
			return true
		case <-timer.C:
			return true
		case <-counted:
			counted = nil
			timer.Reset(countDelay/2 + rand.N(countDelay))
		case <-changed:
			counted, changed = nil, nil
			timer.Reset(roomDelay/2 + rand.N(roomDelay))
		}
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// serveWatch reports the load after each change until the gateway leaves.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.Header.Get(dispatch.HeaderGateway), 16, 64)
	if err != nil {
		http.Error(w, dispatch.HeaderGateway+": "+err.Error(), http.StatusBadRequest)
		return
	}
	gateway := instance.Incarnation(id)
	follower, stop := a.gate.watch(gateway)
	defer stop()
	flusher, _ := w.(http.Flusher)
	encoder := msgpack.NewEncoder(w)
	for {
		if encoder.Encode(a.heartbeat(a.gate.reportTo(follower, a.now()))) != nil {
			return // the gateway has left
		}
		if flusher != nil {
			flusher.Flush()
		}
		if !follower.await(r.Context()) {
			return
		}
	}
}

// serveWant takes in what waits at a gateway.
func (a *Agent) serveWant(w http.ResponseWriter, r *http.Request) {
	var in dispatch.WantRequest
	if !decodeRequest(w, r, &in) {
		return
	}
	a.gate.want(in.Gateway, in.Waiting, a.now())
	_ = msgpack.NewEncoder(w).Encode(a.heartbeat(a.loadFor(in.Gateway)))
}
