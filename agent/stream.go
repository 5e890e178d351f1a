package agent

import (
	"net/http"
	"sync"
	"time"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// stream writes the frames of one answer and sends heartbeats while nothing else is
// sent. Write errors are not reported: the gateway finds out by the missing end frame.
type stream struct {
	agent *Agent
	flush http.Flusher
	// passAll sends all headers of the engine to the gateway.
	passAll bool
	// gateway is the incarnation of the gateway that reads the frames.
	gateway instance.Incarnation

	mu     sync.Mutex
	frames *dispatch.Writer
	// sent is when the gateway last got a frame.
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
		s.send()
	}
	s.timer.Reset(dispatch.HeartbeatInterval)
}

// write adds a control frame; without sendNow it leaves with the next frame that does,
// the next heartbeat at the latest.
func (s *stream) write(t dispatch.FrameType, message any, sendNow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.frames.WriteMessage(t, message)
	if sendNow {
		s.send()
	}
}

// send must be called with mu held.
func (s *stream) send() {
	s.sent = s.agent.now()
	if s.flush != nil {
		s.flush.Flush()
	}
}

func (s *stream) accept(sendNow bool) {
	s.write(dispatch.FrameAccepted, &dispatch.Accepted{Revision: s.agent.revision(), Load: s.agent.loadFor(s.gateway)}, sendNow)
}

func (s *stream) start(answer *endpoint.Answer) {
	header := answer.Header
	if !s.passAll {
		header = dispatch.SelectHeaders(answer.Header, dispatch.AnswerHeaders)
	}
	s.write(dispatch.FrameStarted, &dispatch.Started{Status: answer.Status, Header: header}, false)
}

func (s *stream) data(p []byte, sendNow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.frames.WriteData(p)
	if sendNow {
		s.send()
	}
}

// end writes the last frame. It is not flushed: net/http sends it when the handler
// returns, in one DATA frame with the end of the stream. A gateway that read the end
// frame before the end of the stream would reset the stream, at the cost of a packet
// each way.
func (s *stream) end(promptTokens, answerTokens int) {
	s.agent.metrics.completed.add(1)
	m := &dispatch.End{Load: s.agent.loadFor(s.gateway), PromptTokens: promptTokens, AnswerTokens: answerTokens}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Length = s.frames.Offset()
	_ = s.frames.WriteMessage(dispatch.FrameEnd, m)
}

func (s *stream) refuse(r refusal) {
	s.agent.metrics.refused(r.code)
	s.write(dispatch.FrameRefused, &dispatch.Refused{Code: r.code, Detail: r.detail, RetryAfter: r.retryAfter, Revision: s.agent.revision(), Load: s.agent.loadFor(s.gateway)}, true)
}

func (s *stream) lose(code dispatch.Code, detail string) {
	s.agent.metrics.lost(code)
	s.write(dispatch.FrameLost, &dispatch.Lost{Code: code, Detail: detail, Load: s.agent.loadFor(s.gateway)}, true)
}
