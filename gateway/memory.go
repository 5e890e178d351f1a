package gateway

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/intake"
	"toucantiller.dev/memory"
)

// Bytes that the account holds, from BenchmarkCallerConnections and BenchmarkIdleStreams.
const (
	// callerConnectionCost is held for an open connection.
	callerConnectionCost = 20 << 10
	// requestCost is held for a request beside its connection, body and buffered answer.
	requestCost = 16 << 10
	// smallBody is the size of bodies, in bytes, that are read without waiting for memory and
	// without a lock.
	smallBody = 64 << 10
	// bodyCopies is how often a body is held: as read, and on its way to the endpoint.
	bodyCopies = 2
)

const (
	// maxBodyWait is how long a request waits until its body may be read.
	maxBodyWait = time.Second
	// reliefInterval is the time between two looks of a waiting request for a body that makes no
	// progress.
	reliefInterval = 100 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests that are refused because memory is short.
	memoryRetryAfter = time.Second
	// memoryLogInterval is the least time between two log lines about short memory.
	memoryLogInterval = 10 * time.Second
)

// memoryAccount counts the memory that a gateway holds for its callers: connections, requests in
// progress and in queues, their bodies and their buffered answers, and answers in background tasks.
type memoryAccount struct {
	budget memory.Budget
	held   atomic.Int64
	// taskAnswers is the part of held for answers in background tasks.
	taskAnswers atomic.Int64
	// short is called when more is held than idle connections may keep.
	short func()

	mu sync.Mutex
	// bodies is the part of held for bodies.
	bodies int64
	// waiting holds *bodyWait, the first to come first; waitingCount mirrors its length.
	waiting      list.List
	waitingCount atomic.Int64
}

// bodyWait is a request that waits until its body may be read. ready is closed when the account
// holds size for it.
type bodyWait struct {
	size  int64
	ready chan struct{}
}

// hold counts memory that is needed to complete what was accepted.
func (a *memoryAccount) hold(n int64) {
	if a.budget.Excess(a.held.Add(n)) > 0 {
		a.short()
	}
}

func (a *memoryAccount) release(n int64) {
	a.held.Add(-n)
	if a.waitingCount.Load() > 0 {
		a.mu.Lock()
		a.grant()
		a.mu.Unlock()
	}
}

// excess returns by how many bytes too much is held to keep idle connections.
func (a *memoryAccount) excess() int64 { return a.budget.Excess(a.held.Load()) }

// holdBody waits until a body may be read and holds its size. It returns false if that takes
// longer than maxBodyWait or until ctx ends.
func (a *memoryAccount) holdBody(ctx context.Context, size int64) bool {
	a.mu.Lock()
	if a.waiting.Len() == 0 && a.budget.MayRead(a.held.Load(), a.bodies, size) {
		a.bodies += size
		a.hold(size)
		a.mu.Unlock()
		return true
	}
	w := &bodyWait{size: size, ready: make(chan struct{})}
	e := a.waiting.PushBack(w)
	// Stored before grant reads what is held: a release after that finds it.
	a.waitingCount.Store(int64(a.waiting.Len()))
	a.grant()
	a.mu.Unlock()
	if w.wait(ctx) {
		return true
	}
	return !a.withdraw(e)
}

// wait waits until the body may be read, at most maxBodyWait, while bodies that make no progress
// make room. It returns false if it may not.
func (w *bodyWait) wait(ctx context.Context) bool {
	timer, relief := time.NewTimer(maxBodyWait), time.NewTicker(reliefInterval)
	defer timer.Stop()
	defer relief.Stop()
	for {
		select {
		case <-w.ready:
			return true
		case <-relief.C:
			intake.Relieve(ctx)
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// withdraw removes a request from those that wait; it returns false if its body is held already.
func (a *memoryAccount) withdraw(e *list.Element) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-e.Value.(*bodyWait).ready:
		return false
	default:
	}
	a.waiting.Remove(e)
	a.grant()
	return true
}

// grant holds the bodies for which there is room, in the order of their requests. It must be
// called with mu held.
func (a *memoryAccount) grant() {
	for e := a.waiting.Front(); e != nil; e = a.waiting.Front() {
		w := e.Value.(*bodyWait)
		if !a.budget.MayRead(a.held.Load(), a.bodies, w.size) {
			break
		}
		a.waiting.Remove(e)
		a.bodies += w.size
		a.hold(w.size)
		close(w.ready)
	}
	a.waitingCount.Store(int64(a.waiting.Len()))
}

func (a *memoryAccount) releaseBody(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies -= n
	a.held.Add(-n)
	a.grant()
}

// holdTaskAnswer holds an answer for a background task. It returns false, and holds nothing, if the
// answers of tasks hold too much.
func (a *memoryAccount) holdTaskAnswer(n int64) bool {
	if a.taskAnswers.Add(n) > a.budget.TaskAnswers() {
		a.taskAnswers.Add(-n)
		return false
	}
	a.hold(n)
	return true
}

func (a *memoryAccount) releaseTaskAnswer(n int64) {
	a.taskAnswers.Add(-n)
	a.release(n)
}

// RequestMemory is the memory that the gateway accounts for one request. Its methods are called
// by one goroutine at a time. A nil value accounts for nothing.
type RequestMemory struct {
	account *memoryAccount
	// held does not include body.
	held, body int64
}

// AdmitRequest begins the account of a request. It returns a problem if memory is short; the
// answer with it closes the connection. The caller must release the account.
func (g *Gateway) AdmitRequest(w http.ResponseWriter, r *http.Request) (*RequestMemory, *Problem) {
	if held := g.memory.held.Load(); g.memory.budget.Refuses(held) {
		intake.Relieve(r.Context())
		g.logShortMemory("requests are refused", held)
		w.Header().Set("Connection", "close")
		return nil, memoryProblem()
	}
	m := &RequestMemory{account: g.memory}
	m.hold(requestCost)
	return m, nil
}

// RefuseUndecoded answers a request that was refused before all of it was decoded, without a line
// in the request log. writeProblem writes the problem in the caller's format.
func (g *Gateway) RefuseUndecoded(w http.ResponseWriter, p *Problem, writeProblem func(http.ResponseWriter, *Problem)) {
	g.metrics.recordProblem(p)
	g.closeWhenShort(w)
	writeProblem(w, p)
}

func memoryProblem() *Problem {
	p := newProblem(http.StatusServiceUnavailable, "memory_short", ExecutionNotRun, "the gateway is short of memory")
	p.RetryAfter = memoryRetryAfter
	return p
}

// hold counts memory that the request needs until its end.
func (m *RequestMemory) hold(n int64) {
	if m != nil && n > 0 {
		m.held += n
		m.account.hold(n)
	}
}

// Release ends the account of the request.
func (m *RequestMemory) Release() {
	if m == nil {
		return
	}
	if m.body > 0 {
		m.account.releaseBody(m.body)
	}
	m.account.release(m.held)
	m.held, m.body = 0, 0
}

// ReadBody reads a body of at most limit bytes, once there is memory for it. It returns a problem
// if there is none in time; the answer with it closes the connection.
func (m *RequestMemory) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Problem) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if !m.holdBody(r, limit) {
		w.Header().Set("Connection", "close")
		return nil, memoryProblem()
	}
	body, err := readAll(w, r, limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, "body_cut", ExecutionNotRun, "reading the body: %v", err)
	}
	m.shrinkBody(int64(len(body)))
	return body, nil
}

func bodyTooLarge(limit int64) *Problem {
	return newProblem(http.StatusRequestEntityTooLarge, "body_too_large", ExecutionNotRun, "the body exceeds %d bytes", limit)
}

// holdBody holds the size of the body, or the most that it may have if it is not known.
func (m *RequestMemory) holdBody(r *http.Request, limit int64) bool {
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if m == nil || size == 0 {
		return true
	}
	if size <= smallBody {
		m.hold(bodyCopies * size)
		return true
	}
	if !m.account.holdBody(r.Context(), bodyCopies*size) {
		return false
	}
	m.body = bodyCopies * size
	return true
}

// shrinkBody releases what a body turned out not to need.
func (m *RequestMemory) shrinkBody(size int64) {
	if m == nil || m.body <= bodyCopies*size {
		return
	}
	m.account.releaseBody(m.body - bodyCopies*size)
	m.body = bodyCopies * size
}

// readAll reads a body of known length into one allocation; net/http ends the body there. A body
// of unknown length is cut after limit bytes with an error.
func readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// closeWhenShort makes a refusal close its connection while memory is short: the caller may come
// back on another one.
func (g *Gateway) closeWhenShort(w http.ResponseWriter) {
	if g.memory.excess() > 0 {
		w.Header().Set("Connection", "close")
	}
}

// logShortMemory logs what the gateway does while memory is short, once in memoryLogInterval.
func (g *Gateway) logShortMemory(action string, held int64) {
	now := time.Now().UnixNano()
	last := g.memoryLogged.Load()
	if now-last < int64(memoryLogInterval) || !g.memoryLogged.CompareAndSwap(last, now) {
		return
	}
	_ = g.opt.Logger.Log("msg", "memory is short", "action", action, "held_bytes", held, "budget_bytes", int64(g.memory.budget))
}
