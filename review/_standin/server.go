package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a sound replica of a service as the pages describe it: it serves slots requests at
// once and sends heartbeats.
type server struct {
	id, service, zone, version, address string
	slots                               int
	work                                time.Duration
	model                               bool
	// serve, if set, answers in place of the plain answer.
	serve func(s *server, w http.ResponseWriter, r *http.Request)

	places chan struct{}
	http   *http.Server
	born   int64
	quit   chan struct{}

	mu    sync.Mutex
	runs  map[string]int
	state string
}

func (s *server) start(d *deployment, listen string) error {
	s.places = make(chan struct{}, s.slots)
	s.runs = make(map[string]int)
	s.quit = make(chan struct{})
	s.born = time.Now().UnixMilli()
	s.state = "ready"
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat(d)
	return nil
}

func (s *server) stop() {
	close(s.quit)
	_ = s.http.Close()
}

func (s *server) beat(d *deployment) {
	for seq := 1; ; seq++ {
		s.mu.Lock()
		beat := map[string]any{
			"backend": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
			"state": s.state, "cold_left_ms": 0, "seq": seq, "born": s.born,
		}
		s.mu.Unlock()
		if s.model {
			beat["stage"] = "both"
			beat["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		_, _, _ = d.order(http.MethodPut, "/replicas/"+s.id, beat, 2*time.Second)
		select {
		case <-s.quit:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Toucantiller-Attempt-Id")
	h := w.Header()
	h.Set("X-Toucantiller-Attempt-Id", attempt)
	if want := r.Header.Get("X-Toucantiller-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.places <- struct{}{}
	defer func() { <-s.places }()
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	h.Set("X-Toucantiller-Response-Seal", "seal-"+s.id)
	if s.serve != nil {
		s.serve(s, w, r)
		return
	}
	time.Sleep(s.work)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, attempt)
}

func (s *server) ran(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}
