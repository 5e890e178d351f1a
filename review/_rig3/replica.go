package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of headers of the platform.
const (
	attemptID   = "X-Toucantiller-Attempt-Id"
	timeoutMS   = "X-Toucantiller-Timeout-Ms"
	credential  = "X-Toucantiller-Credential"
	expected    = "X-Toucantiller-Expect-Instance"
	seal        = "X-Toucantiller-Response-Seal"
	notExecuted = "X-Toucantiller-Not-Executed"
	tokenCount  = "X-Toucantiller-Token-Count"
	tenant      = "X-Toucantiller-Tenant"
)

// replica is a stand-in of a replica. It serves one service until it is closed.
type replica struct {
	rec      *recorder
	id       string
	service  string
	zone     string
	version  string
	address  string
	slots    int
	model    bool
	first    time.Duration // to the first event, or to a plain answer
	events   int
	pause    time.Duration // between events
	clock    func() time.Time
	heart    time.Duration
	controls []string
	serve    func(w http.ResponseWriter, r *http.Request) bool // handles a request in place of the usual way

	mu                  sync.Mutex
	seq                 int
	state               string
	born                int64
	beatAt              string
	dark                bool
	runs                []run
	coldFrom, coldUntil time.Time
	server              *http.Server
	cancel              context.CancelFunc
	calls               sync.Mutex
}

// run is a request that a replica began to work on.
type run struct {
	id string
	at time.Time
}

// start listens and announces the replica.
func (s *replica) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	if s.clock == nil {
		s.clock = time.Now
	}
	if s.heart == 0 {
		s.heart = 1200 * time.Millisecond
	}
	if s.version == "" {
		s.version = "v1"
	}
	s.state, s.born, s.seq, s.beatAt = "ready", s.clock().UnixMilli(), 0, ""
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	go s.announce(ctx)
	s.rec.note("replica %s of %s starts at %s, born %d", s.id, s.service, s.address, s.born)
	return nil
}

// crash ends the replica at once.
func (s *replica) crash() {
	s.cancel()
	_ = s.server.Close()
	s.rec.note("replica %s ends", s.id)
}

func (s *replica) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.isDark() {
			_ = s.beat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.heart):
		}
	}
}

func (s *replica) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

// callBackoff is the pause before a call is sent to the next node; it doubles with each failure.
const callBackoff = 300 * time.Millisecond

// beat sends one heartbeat, to one node after the other until one acknowledges it.
func (s *replica) beat(ctx context.Context) error {
	s.calls.Lock()
	defer s.calls.Unlock()
	nodes := s.controls
	if s.beatAt != "" {
		nodes = append([]string{s.beatAt}, nodes...)
	}
	for i, node := range nodes {
		if i > 0 {
			time.Sleep(callBackoff << (i - 1))
		}
		s.mu.Lock()
		s.seq++
		body := map[string]any{"backend": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
			"state": s.state, "cold_left_ms": s.coldLeft(), "seq": s.seq, "born": s.born}
		s.mu.Unlock()
		if s.model {
			body["stage"] = "both"
			body["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []any{}}}
		}
		answer, err := s.call(ctx, http.MethodPut, node, body)
		if err != nil {
			s.beatAt = ""
			continue
		}
		var out struct {
			Addr string `json:"beat_addr"`
		}
		_ = json.Unmarshal(answer, &out)
		s.beatAt = out.Addr
		return nil
	}
	return fmt.Errorf("no node acknowledged the heartbeat of %s", s.id)
}

// call sends a call of the replica to a node of control, and follows two redirects.
func (s *replica) call(ctx context.Context, method, node string, body any) ([]byte, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+"/replicas/"+s.id, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 4097))
	if err != nil || resp.StatusCode/100 != 2 || len(answer) > 4096 {
		return nil, fmt.Errorf("%s: %s", node, resp.Status)
	}
	return answer, nil
}

// drain announces that the replica leaves until that is acknowledged, and returns when it was.
func (s *replica) drain(ctx context.Context) (time.Time, error) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for ctx.Err() == nil {
		if s.beat(ctx) == nil {
			s.rec.note("replica %s: draining was acknowledged", s.id)
			return time.Now(), nil
		}
	}
	return time.Time{}, ctx.Err()
}

func (s *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.serve != nil && s.serve(w, r) {
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Toucantiller-Instance-Id", s.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":200000,"handles":0}`)
		return
	}
	s.work(w, r)
}

// work runs a request as a sound replica does.
func (s *replica) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptID)
	if e := r.Header.Get(expected); e != "" && e != s.id {
		w.Header().Set(attemptID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id, time.Now()})
	s.mu.Unlock()
	s.rec.note("replica %s runs %s", s.id, id)
	w.Header().Set(attemptID, id)
	w.Header().Set(seal, "seal-"+s.id+"-"+strconv.Itoa(len(body)))
	if !s.wait(r.Context(), s.first) {
		return
	}
	if s.events == 0 {
		_, _ = io.WriteString(w, "answer to "+id+"\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.events {
		if i > 0 && !s.wait(r.Context(), s.pause) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i+1, id, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func (s *replica) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ran returns the runs so far.
func (s *replica) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
