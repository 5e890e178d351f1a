package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names on the wire.
const (
	attemptHeader  = "X-Toucantiller-Attempt-Id"
	keyHeader      = "X-Toucantiller-Credential"
	timeoutHeader  = "X-Toucantiller-Timeout-Ms"
	expectHeader   = "X-Toucantiller-Expect-Instance"
	sealHeader     = "X-Toucantiller-Response-Seal"
	instanceHeader = "X-Toucantiller-Instance-Id"
)

// run is one request that reached a server.
type run struct {
	attempt string
	at      time.Time
	status  int
}

// server is a replica of a plain service, as the users' pages describe it.
type server struct {
	id, service, version, zone, address string
	work                                time.Duration
	slots                               int
	// bad returns whether the answer to the n-th request is a failure; nil means never.
	bad func(n int64) bool
	// model is set for a model server, whose answers are streams of events; an agent runs beside it.
	model  bool
	events int
	// seen is called with each request that runs; nil for none.
	seen func(r *http.Request)

	born     time.Time
	seq      atomic.Int64
	draining atomic.Bool
	count    atomic.Int64
	http     *http.Server
	stop     context.CancelFunc
	beating  sync.WaitGroup

	mu   sync.Mutex
	runs []run
}

const heartbeatPause = 1200 * time.Millisecond

// start serves and sends heartbeats.
func (s *server) start() {
	s.born = time.Now()
	l, err := net.Listen("tcp", s.address)
	check(err)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.beating.Go(func() {
		for ctx.Err() == nil {
			s.beat(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatPause):
			}
		}
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(instanceHeader, s.id)
		return
	}
	attempt := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, attempt)
	if e := r.Header.Get(expectHeader); e != "" && e != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.seen != nil {
		s.seen(r)
	}
	n := s.count.Add(1)
	status := http.StatusOK
	if s.bad != nil && s.bad(n) {
		status = http.StatusInternalServerError
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{attempt, time.Now(), status})
	s.mu.Unlock()
	w.Header().Set(sealHeader, "seal-"+s.id)
	if s.model {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range s.events {
			time.Sleep(s.work)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i+1, attempt, i)
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	time.Sleep(s.work)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer to "+attempt+"\n")
}

// state is what the server says of itself.
func (s *server) state() string {
	if s.draining.Load() {
		return "draining"
	}
	return "ready"
}

// beat sends one heartbeat, to one node after another until it is acknowledged.
func (s *server) beat(ctx context.Context) bool {
	message := map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state(), "cold_left_ms": 0, "seq": s.seq.Add(1), "born": s.born.UnixMilli(),
	}
	if s.model {
		message["stage"] = "both"
		message["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	body, _ := json.Marshal(message)
	for _, node := range shuffled(bed.controlAddresses()) {
		if status, _ := call(ctx, http.MethodPut, node, "/replicas/"+s.id, body, time.Second); status == http.StatusOK {
			return true
		}
	}
	return false
}

// leave drains the server as the pages say: it reports draining, serves on for drain_ms and a little
// longer, sends DELETE and exits.
func (s *server) leave(drain, linger time.Duration) {
	s.draining.Store(true)
	for !s.beat(context.Background()) {
		time.Sleep(100 * time.Millisecond)
	}
	bed.record.line("server %s (%s): draining was acknowledged", s.id, s.version)
	time.Sleep(drain + linger)
	s.exit()
	body := fmt.Appendf(nil, `{"born":%d}`, s.born.UnixMilli())
	for _, node := range shuffled(bed.controlAddresses()) {
		if status, _ := call(context.Background(), http.MethodDelete, node, "/replicas/"+s.id, body, time.Second); status == http.StatusOK {
			break
		}
	}
	bed.record.line("server %s (%s): left", s.id, s.version)
}

// exit ends the server at once.
func (s *server) exit() {
	s.stop()
	s.beating.Wait()
	_ = s.http.Close()
}

// all returns what ran.
func (s *server) all() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
