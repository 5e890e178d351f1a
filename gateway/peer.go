package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

const (
	// sealTimeout bounds one seal; settleTimeout bounds the seals of one dispatch.
	sealTimeout   = time.Second
	settleTimeout = 2500 * time.Millisecond
	settlePause   = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// peer is the link to one agent.
type peer struct {
	network link.Network
	// address is the agent's, dial the part of it at which connections are opened.
	address, dial string
	// dispatch is the request that each dispatch copies.
	dispatch *http.Request
	client   atomic.Pointer[http.Client]
	use      use
	// incarnation is the agent's, 0 while it is not known. It is used for endpoints that
	// announce themselves, whose agents do not register.
	incarnation atomic.Uint64
}

// agentIncarnation returns the incarnation of the agent, asking for it when it is not
// known. A dispatch must name it, so that a restarted agent refuses the dispatch.
func (p *peer) agentIncarnation(ctx context.Context) (instance.Incarnation, error) {
	if known := p.incarnation.Load(); known != 0 {
		return instance.Incarnation(known), nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var m dispatch.Heartbeat
	if err := p.call(ctx, http.MethodGet, dispatch.PathLoad, nil, &m); err != nil {
		return 0, err
	}
	p.incarnation.Store(uint64(m.Incarnation))
	return m.Incarnation, nil
}

// forget drops an incarnation that turned out to be gone.
func (p *peer) forget(i instance.Incarnation) { p.incarnation.CompareAndSwap(uint64(i), 0) }

func newPeer(network link.Network, address string, links *idleLinks) *peer {
	dial, path := endpoint.SplitAddress(address)
	p := &peer{network: network, address: address, dial: dial, use: use{links: links}}
	p.dispatch = &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: dial, Path: path + dispatch.PathDispatch}, Host: dial,
		Proto: "HTTP/2.0", ProtoMajor: 2,
	}
	p.client.Store(link.NewHTTPClient(network, dial))
	return p
}

func (g *Gateway) peer(address string) *peer {
	if p, ok := g.peers.Load(address); ok {
		return p.(*peer)
	}
	p, _ := g.peers.LoadOrStore(address, newPeer(g.opt.Network, address, g.idle))
	return p.(*peer)
}

// replace makes later requests use a new connection. old is the client whose connection
// failed; when another request has replaced it already, nothing happens.
func (p *peer) replace(old *http.Client) {
	if p.client.CompareAndSwap(old, link.NewHTTPClient(p.network, p.dial)) {
		old.CloseIdleConnections()
	}
}

func (p *peer) close() { p.client.Load().CloseIdleConnections() }

// send sends a request over the present connection, which it replaces when that fails. It
// returns the client too, for a caller whose answer breaks off.
func (p *peer) send(req *http.Request, step string) (*http.Response, *http.Client, error) {
	client := p.client.Load()
	resp, err := client.Do(req)
	if err != nil {
		p.replace(client)
		return nil, nil, &link.Error{Step: step, Peer: p.address, Err: err}
	}
	return resp, client, nil
}

// call sends one small request and decodes the reply.
func (p *peer) call(ctx context.Context, method, path string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return &link.Error{Step: "encoding " + path, Peer: p.address, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.address+path, bytes.NewReader(body))
	if err != nil {
		return &link.Error{Step: "building " + path, Peer: p.address, Err: err}
	}
	p.use.begin()
	defer p.use.end()
	resp, _, err := p.send(req, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &link.Error{Step: path, Peer: p.address, Err: errors.New(resp.Status)}
	}
	if err := msgpack.NewDecoder(io.LimitReader(resp.Body, dispatch.MaxFrame)).Decode(out); err != nil {
		return &link.Error{Step: "decoding " + path, Peer: p.address, Err: err}
	}
	return nil
}

// seal asks the agent once how a dispatch stands.
func (p *peer) seal(ctx context.Context, in *dispatch.SealRequest) (*dispatch.SealReply, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	var reply dispatch.SealReply
	if err := p.call(ctx, http.MethodPost, dispatch.PathSeal, in, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// standing is what is known about a dispatch after asking its agent.
type standing int

const (
	// standsUnreachable: the agent gave no reply; it may know.
	standsUnreachable standing = iota
	// standsGone: the agent's incarnation is gone, so nobody knows.
	standsGone
	standsSealed
	standsRunning
	// standsEnded: it ran, and its answer is not stored.
	standsEnded
	standsDone
)

// settle asks over new connections until the agent replies or the time is up. For a
// claimed dispatch that still runs it goes on to ask until ctx ends.
func (p *peer) settle(ctx context.Context, id dispatch.ID, agent instance.Incarnation, claimed bool) (standing, *dispatch.StoredAnswer, error) {
	in := &dispatch.SealRequest{ID: id, Agent: agent}
	giveUp := time.Now().Add(settleTimeout)
	for {
		reply, err := p.seal(ctx, in)
		s := standingOf(reply, agent)
		waits := s == standsUnreachable && time.Now().Before(giveUp) || s == standsRunning && claimed
		if !waits {
			return s, answerOf(reply), err
		}
		select {
		case <-ctx.Done():
			return s, nil, ctx.Err()
		case <-time.After(settlePause):
		}
	}
}

func standingOf(r *dispatch.SealReply, agent instance.Incarnation) standing {
	switch {
	case r == nil:
		return standsUnreachable
	case r.Incarnation != agent:
		return standsGone
	case r.State == dispatch.SealSealed:
		return standsSealed
	case r.State == dispatch.SealDone && r.Answer != nil:
		return standsDone
	case r.State == dispatch.SealCommitted && !r.Ended:
		return standsRunning
	}
	return standsEnded
}

func answerOf(r *dispatch.SealReply) *dispatch.StoredAnswer {
	if r == nil {
		return nil
	}
	return r.Answer
}
