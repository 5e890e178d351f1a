package agent

import (
	"net/http"
	"sync"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// stream writes the frames of one answer and sends heartbeats while no other frame is sent.
// Write errors are not reported: the gateway detects them by the missing end frame.
type stream struct {
	agent *Agent
	flush http.Flusher
	// passAll forwards all headers of the engine to the gateway.
	passAll bool
	// gateway is the incarnation of the gateway that reads the frames.
	gateway instance.Incarnation

	mu     sync.Mutex
	frames *dispatch.Writer
	// sent is when the last frame was flushed to the gateway.
	sent   time.Time
	timer  *time.Timer
	closed bool
}

func newStream(w http.ResponseWriter, a *Agent, id dispatch.ID) *stream {
	f, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/octet-stream")
	s := &stream{agent: a, gateway: id.Gateway, frames: dispatch.NewWriter(w, id), flush: f, sent: a.now()}
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
	if s.agent.now().Sub(s.sent) >= dispatch.HeartbeatInterval {
		_ = s.frames.WriteMessage(dispatch.FrameHeartbeat, &dispatch.Heartbeat{Revision: s.agent.revision(), Load: s.agent.loadFor(s.gateway)})
		s.flushLocked()
	}
	s.timer.Reset(dispatch.HeartbeatInterval)
}

// writeControl writes a control frame. Without sendNow it is flushed with the next frame that
// has it set, at the latest with the next heartbeat.
func (s *stream) writeControl(t dispatch.FrameType, message any, sendNow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.frames.WriteMessage(t, message)
	if sendNow {
		s.flushLocked()
	}
}

// flushLocked must be called with mu held.
func (s *stream) flushLocked() {
	s.sent = s.agent.now()
	if s.flush != nil {
		s.flush.Flush()
	}
}

func (s *stream) writeAccepted(sendNow bool) {
	s.writeControl(dispatch.FrameAccepted, &dispatch.Accepted{Revision: s.agent.revision(), Load: s.agent.loadFor(s.gateway)}, sendNow)
}

func (s *stream) writeStarted(answer *endpoint.Answer) {
	header := answer.Header
	if !s.passAll {
		header = dispatch.SelectHeaders(answer.Header, dispatch.AnswerHeaders)
	}
	s.writeControl(dispatch.FrameStarted, &dispatch.Started{Status: answer.Status, Header: header}, false)
}

func (s *stream) writeData(p []byte, sendNow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.frames.WriteData(p)
	if sendNow {
		s.flushLocked()
	}
}

// writeEnd writes the last frame. It is not flushed: net/http sends it when the handler returns,
// in one DATA frame with the end of the stream. A gateway that reads the end frame before the
// end of the stream would reset the stream, which costs a packet in each direction.
func (s *stream) writeEnd(promptTokens, answerTokens int) {
	s.agent.metrics.completed.add(1)
	m := &dispatch.End{Load: s.agent.loadFor(s.gateway), PromptTokens: promptTokens, AnswerTokens: answerTokens}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Length = s.frames.Offset()
	_ = s.frames.WriteMessage(dispatch.FrameEnd, m)
}

func (s *stream) writeRefused(r refusal) {
	s.agent.metrics.countRefused(r.code)
	s.writeControl(dispatch.FrameRefused, &dispatch.Refused{Code: r.code, Detail: r.detail, RetryAfter: r.retryAfter, Revision: s.agent.revision(), Load: s.agent.loadFor(s.gateway)}, true)
}

func (s *stream) writeLost(code dispatch.Code, detail string) {
	s.agent.metrics.countLost(code)
	s.writeControl(dispatch.FrameLost, &dispatch.Lost{Code: code, Detail: detail, Load: s.agent.loadFor(s.gateway)}, true)
}
