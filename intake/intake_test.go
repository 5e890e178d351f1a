package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// pipes is a listener whose connections a test opens.
type pipes struct {
	accept chan net.Conn
	done   chan struct{}
}

func newPipes() *pipes { return &pipes{accept: make(chan net.Conn, 16), done: make(chan struct{})} }

func (p *pipes) open() net.Conn {
	client, server := net.Pipe()
	p.accept <- server
	return client
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// serve serves HTTP on a listener until the test ends.
func serve(t *testing.T, a *Account, opt Options, h http.HandlerFunc) *pipes {
	p := newPipes()
	s := &http.Server{Handler: Handler(h), ConnState: Observe, ConnContext: ConnContext, ReadHeaderTimeout: time.Hour}
	go func() { _ = s.Serve(a.Listen(p, opt)) }()
	t.Cleanup(func() {
		_ = s.Close()
		time.Sleep(time.Second) // until the goroutines have ended
	})
	return p
}

func accepted(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusAccepted)
}

// exchange sends text and returns what is answered before the connection closes or a byte is missing
// for a while.
func exchange(c net.Conn, text string) string {
	go func() { _, _ = io.WriteString(c, text) }()
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	b, _ := io.ReadAll(c)
	return string(b)
}

const request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// Guards against heads that take memory beyond their bound, and against one within it that is
// refused.
func TestHeadBeyondItsBoundIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(0, 0, log.NewNopLogger())
		p := serve(t, a, Options{Heads: true, MaxHead: func() int64 { return 16 << 10 }}, accepted)
		field := "A: " + strings.Repeat("x", 16<<10-100) + "\r\n"
		answer := exchange(p.open(), strings.Replace(request, "Host", field+"Host", 1))
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 202"), answer)
		answer = exchange(p.open(), "GET / HTTP/1.1\r\n"+strings.Repeat(field, 2))
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 431"), answer)
		synctest.Wait()
		assert.Equal(t, a.held.Load(), int64(0), "held after the connections ended")
	})
}

// Guards against clients that take all places without sending anything, and against one that is
// served losing its place to them.
func TestPlacesGoToClientsThatSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(0, minPlaces, log.NewNopLogger())
		release := make(chan struct{})
		p := serve(t, a, Options{Heads: true, PlaceShare: 1}, func(w http.ResponseWriter, r *http.Request) {
			<-release
			accepted(w, r)
		})
		served := make(chan string)
		go func() { served <- exchange(p.open(), request) }()
		synctest.Wait()
		for range 2 * minPlaces {
			_ = p.open()
		}
		last := make(chan string)
		go func() { last <- exchange(p.open(), request) }()
		time.Sleep(20 * silentTime)
		close(release)
		assert.Assert(t, strings.HasPrefix(<-served, "HTTP/1.1 202"))
		assert.Assert(t, strings.HasPrefix(<-last, "HTTP/1.1 202"))
	})
}

// Guards against heads of all connections together that take more than the account, and against the
// client that completes its own being the one that pays.
func TestMemoryIsTakenFromHeadsThatStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20 // an eighth of it is for heads
		a := New(limit, 0, log.NewNopLogger())
		p := serve(t, a, Options{Heads: true}, accepted)
		part := "GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 20)
		for range 8 {
			c := p.open()
			go func() { _, _ = io.WriteString(c, part) }()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, a.held.Load() <= a.memory, "%d held of %d", a.held.Load(), a.memory)
		answer := exchange(p.open(), strings.Replace(request, "Host", "A: "+strings.Repeat("x", 8000)+"\r\nHost", 1))
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 202"), answer)
	})
}

// Guards against a head that drips in beyond its time.
func TestHeadHasATimeAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(0, 0, log.NewNopLogger())
		p := serve(t, a, Options{Heads: true, HeadTimeout: func() time.Duration { return 3 * time.Second }}, accepted)
		c := p.open()
		began := time.Now()
		for {
			if _, err := io.WriteString(c, "G"); err != nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, time.Since(began) < 4*time.Second)
	})
}

// Guards against a body that drips in for ever.
func TestBodyHasToProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(0, 0, log.NewNopLogger())
		var failed error
		p := serve(t, a, Options{Heads: true}, func(_ http.ResponseWriter, r *http.Request) { _, failed = io.Copy(io.Discard, r.Body) })
		c := p.open()
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
		assert.NilError(t, err)
		began := time.Now()
		for time.Since(began) < time.Hour {
			if _, err := io.WriteString(c, "x"); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		synctest.Wait()
		assert.Assert(t, failed != nil && time.Since(began) < 2*bodyGrace, "%v after %s", failed, time.Since(began))
	})
}

// Guards against an answer that may take longer than its handler allows.
func TestHandlersOwnDeadlineHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(0, 0, log.NewNopLogger())
		began := time.Now()
		var took time.Duration
		p := serve(t, a, Options{Heads: true, AnswerTimeout: time.Hour}, func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(began.Add(time.Second))
			_, _ = w.Write(make([]byte, 1<<20))
			took = time.Since(began)
		})
		_, err := io.WriteString(p.open(), request)
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, took, time.Second)
	})
}
