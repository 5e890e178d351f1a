package agent

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/instance"
)

// watchDelay is the mean time between a change of the load and its report. It joins changes
// that follow each other. An offer is reported at once.
const watchDelay = 6 * time.Millisecond

// watcher is one gateway that follows the load.
type watcher struct {
	gateway instance.Incarnation
	// changed receives after a change of the load, offered when a slot is kept for the
	// gateway.
	changed, offered chan struct{}
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
	timer := time.NewTimer(dispatch.WatchInterval)
	defer timer.Stop()
	for {
		if encoder.Encode(a.heartbeat(a.loadFor(gateway))) != nil {
			return // the gateway has left
		}
		if flusher != nil {
			flusher.Flush()
		}
		timer.Reset(dispatch.WatchInterval)
		select {
		case <-follower.offered:
		case <-follower.changed:
			timer.Reset(watchDelay/2 + rand.N(watchDelay))
			select {
			case <-follower.offered:
			case <-timer.C:
			}
		case <-timer.C:
		case <-r.Context().Done():
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
