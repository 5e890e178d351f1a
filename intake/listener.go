package intake

import (
	"net"
	"sync"
	"time"
)

// retryDelay is the time between two checks whether there is room.
const retryDelay = 5 * time.Millisecond

// Options describes a listener.
type Options struct {
	// Name names the listener in logs and metrics.
	Name string
	// PlaceShare is the share of the process's descriptors that its connections may take.
	PlaceShare float64
	// Heads is set where the connections carry HTTP: the heads of requests are held and bounded.
	Heads bool
	// MaxHead returns the most bytes of a head; nil and 0 mean DefaultMaxHead.
	MaxHead func() int64
	// HeadTimeout returns the time for a head since its first byte; nil and 0 leave it to the server.
	HeadTimeout func() time.Duration
	// AnswerTimeout is how long a client may take no byte of its answer; 0 means no bound.
	AnswerTimeout time.Duration
}

// DefaultMaxHead is the most bytes of the head of a request, unless the configuration states
// another bound.
const DefaultMaxHead = 32 << 10

func (o *Options) maxHead() int64 {
	if o.MaxHead != nil {
		if n := o.MaxHead(); n > 0 {
			return n
		}
	}
	return DefaultMaxHead
}

func (o *Options) headTimeout() time.Duration {
	if o.HeadTimeout == nil {
		return 0
	}
	return o.HeadTimeout()
}

// minPlaces is the least number of connections of a listener.
const minPlaces = 8

// Listener accepts connections up to its share of the descriptors. When there is no place left, it
// closes the connection that makes the least progress; if each makes some, further ones wait in the
// system's queue.
type Listener struct {
	net.Listener
	account *Account
	opt     Options
	places  int
	done    chan struct{}
	once    sync.Once

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// Listen accounts for the connections of a listener. An account that is nil leaves it as it is.
func (a *Account) Listen(l net.Listener, opt Options) net.Listener {
	if a == nil {
		return l
	}
	out := &Listener{Listener: l, account: a, opt: opt, done: make(chan struct{}), open: make(map[*Conn]struct{})}
	if a.descriptors > 0 {
		out.places = max(minPlaces, int(float64(a.descriptors)*opt.PlaceShare))
	}
	a.add(out)
	return out
}

// Accept accepts a connection and waits until there is a place for it.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, listener: l}
	for !l.take(c) {
		if l.relieve(reasonPlaces) {
			continue
		}
		select {
		case <-l.done:
			_ = conn.Close()
			return nil, net.ErrClosed
		case <-time.After(retryDelay):
		}
	}
	l.account.scheduleSweep()
	return c, nil
}

// take gives a connection a place, if there is one.
func (l *Listener) take(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.places > 0 && len(l.open) >= l.places {
		return false
	}
	// The time that it waited for its place is not the client's.
	c.enter(PhaseOpened)
	l.open[c] = struct{}{}
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connections returns the open connections.
func (l *Listener) connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// relieve closes the connection that makes the least progress. It returns false if each makes some.
func (l *Listener) relieve(why reason) bool { return l.account.relieve(l.connections(), why) }

// Relieve closes the connection that makes the least progress in the middle of a body or an answer. A
// handler calls it while memory for these is short.
func (l *Listener) Relieve() {
	var found []*Conn
	for _, c := range l.connections() {
		switch Phase(c.phase.Load()) {
		case PhaseBody, PhaseAnswer:
			found = append(found, c)
		}
	}
	l.account.relieve(found, reasonMemory)
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
