package agent

import (
	"net/http"
	"sync"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// stream writes the frames of one answer and sends heartbeats while nothing else is
// written.
type stream struct {
	agent *Agent

	mu     sync.Mutex
	frames *dispatch.Writer
	flush  http.Flusher
	last   time.Time
	timer  *time.Timer
	closed bool
}

func newStream(w http.ResponseWriter, a *Agent) *stream {
	f, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/octet-stream")
	s := &stream{agent: a, frames: dispatch.NewWriter(w), flush: f, last: a.now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(dispatch.HeartbeatInterval, s.heartbeat)
	return s
}

// close stops the heartbeats; it must be called before the handler returns.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
}

func (s *stream) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.agent.now().Sub(s.last) >= dispatch.HeartbeatInterval {
		s.write(dispatch.FrameHeartbeat, dispatch.Heartbeat{Revision: s.agent.revision(), Load: s.agent.Load()})
	}
	s.timer.Reset(dispatch.HeartbeatInterval)
}

func (s *stream) send(t dispatch.FrameType, message any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(t, message)
}

// write must be called with mu held. Errors are not reported: the gateway finds out by
// the missing end frame.
func (s *stream) write(t dispatch.FrameType, message any) {
	_ = s.frames.WriteMessage(t, message)
	s.flushed()
}

func (s *stream) flushed() {
	s.last = s.agent.now()
	if s.flush != nil {
		s.flush.Flush()
	}
}

func (s *stream) accept() {
	s.send(dispatch.FrameAccepted, dispatch.Accepted{Revision: s.agent.revision(), Load: s.agent.Load()})
}

func (s *stream) start(answer *endpoint.Answer) {
	s.send(dispatch.FrameStarted, dispatch.Started{Status: answer.Status, Header: answer.Header})
}

func (s *stream) data(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.frames.WriteData(p)
	s.flushed()
}

func (s *stream) end(length int64) {
	s.agent.metrics.count(s.agent.metrics.completed)
	s.send(dispatch.FrameEnd, dispatch.End{Length: length, Load: s.agent.Load()})
}

func (s *stream) refuse(code dispatch.Code, detail string) {
	s.agent.metrics.count(s.agent.metrics.refused)
	s.send(dispatch.FrameRefused, dispatch.Refused{Code: code, Detail: detail, Revision: s.agent.revision(), Load: s.agent.Load()})
}

func (s *stream) lose(code dispatch.Code, detail string) {
	s.agent.metrics.count(s.agent.metrics.lost)
	s.send(dispatch.FrameLost, dispatch.Lost{Code: code, Detail: detail, Load: s.agent.Load()})
}
