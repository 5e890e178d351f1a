package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// bodyGrace is how long a body may take beside the time for its bytes.
	bodyGrace = 30 * time.Second
	// restTimeout bounds the time for the rest of a body that the handler left.
	restTimeout = 5 * time.Second
	// minBodyRate is the rate in bytes per second that a body must keep on average.
	minBodyRate = 1 << 10
)

// Handler bounds the time in which bodies arrive: bodyGrace, and longer the more has arrived. Requests
// on connections that no account knows pass as they are.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, known := r.Context().Value(connKey{}).(*Conn)
		if !known || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		if c.multiplexed.Load() {
			c = nil
		}
		b := &body{ReadCloser: r.Body, deadlines: http.NewResponseController(w), conn: c, began: time.Now()}
		// The server looks at the body of its own request when it writes the answer.
		passed := *r
		passed.Body = b
		next.ServeHTTP(w, &passed)
		if b.ended {
			return
		}
		// The server reads a part of the rest before the next request.
		if c != nil {
			c.enter(PhaseBody)
		}
		_ = b.deadlines.SetReadDeadline(time.Now().Add(restTimeout))
	})
}

// BoundBody makes the body of a request arrive before a time, if that is earlier than Handler's own
// bound.
func BoundBody(r *http.Request, end time.Time) {
	if b, ok := r.Body.(*body); ok {
		b.end = end
	}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	deadlines *http.ResponseController
	// conn is nil on connections that nothing accounts for, and with HTTP/2.
	conn  *Conn
	began time.Time
	// end is the handler's own bound; zero if it has none.
	end     time.Time
	arrived int64
	reading bool
	ended   bool
}

// Read reads from the body. It fails if the body has made too little progress.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return b.ReadCloser.Read(p)
	}
	if !b.reading && b.conn != nil {
		b.conn.enter(PhaseBody)
	}
	b.reading = true
	allowed := bodyGrace + time.Duration(b.arrived)*time.Second/minBodyRate
	deadline := b.began.Add(allowed)
	if !b.end.IsZero() && b.end.Before(deadline) {
		deadline = b.end
	}
	_ = b.deadlines.SetReadDeadline(deadline) // fails only if the connection has failed
	n, err := b.ReadCloser.Read(p)
	b.arrived += int64(n)
	if errors.Is(err, io.EOF) {
		b.ended = true
		_ = b.deadlines.SetReadDeadline(time.Time{})
		b.leave()
	}
	return n, err
}

// leave ends the phase of the connection.
func (b *body) leave() {
	if b.reading && b.conn != nil {
		b.conn.phase.CompareAndSwap(int32(PhaseBody), int32(PhaseServing))
	}
	b.reading = false
}
