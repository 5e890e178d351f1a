package gateway

import (
	"bytes"
	"context"
	"errors"
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
	// sealTimeout bounds one seal request; settleTimeout bounds those of one dispatch.
	sealTimeout   = time.Second
	settleTimeout = 2500 * time.Millisecond
	settlePause   = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// peer is the HTTP client of one agent.
type peer struct {
	network link.Network
	// address is the agent's address; dial is the part of it to connect to.
	address, dial string
	// dispatch is the template that each dispatch request copies.
	dispatch *http.Request
	client   atomic.Pointer[http.Client]
	use      connectionUse
	// incarnation is the agent's, 0 while unknown. It is used for endpoints that announce
	// themselves, because their agents do not register.
	incarnation atomic.Uint64
}

// agentIncarnation returns the incarnation of the agent and asks for it if it is not known. A
// dispatch must name it, so that a restarted agent refuses the dispatch.
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

// forgetIncarnation drops an incarnation that has ended.
func (p *peer) forgetIncarnation(i instance.Incarnation) { p.incarnation.CompareAndSwap(uint64(i), 0) }

func newPeer(network link.Network, address string, links *idleLinks) *peer {
	dial, path := endpoint.SplitAddress(address)
	p := &peer{network: network, address: address, dial: dial, use: connectionUse{links: links}}
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

// replace makes later requests use a new connection. old is the client whose connection failed;
// if another request has replaced it already, nothing happens.
func (p *peer) replace(old *http.Client) {
	if p.client.CompareAndSwap(old, link.NewHTTPClient(p.network, p.dial)) {
		old.CloseIdleConnections()
	}
}

func (p *peer) close() { p.client.Load().CloseIdleConnections() }

// send sends a request over the current connection and replaces the connection if that fails.
// It also returns the client, for a caller that must replace it when the answer breaks off.
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
	if err := dispatch.ReadMessage(resp.Body, out); err != nil {
		return &link.Error{Step: "decoding " + path, Peer: p.address, Err: err}
	}
	return nil
}

// seal asks the agent once for the state of a dispatch.
func (p *peer) seal(ctx context.Context, in *dispatch.SealRequest) (*dispatch.SealReply, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	var reply dispatch.SealReply
	if err := p.call(ctx, http.MethodPost, dispatch.PathSeal, in, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// settleOutcome is what is known about a dispatch after asking its agent.
type settleOutcome int

const (
	// outcomeUnreachable: the agent did not reply; it may know the outcome.
	outcomeUnreachable settleOutcome = iota
	// outcomeIncarnationGone: the agent's incarnation has ended, so the outcome cannot be
	// known.
	outcomeIncarnationGone
	outcomeSealed
	outcomeRunning
	// outcomeEnded: the dispatch ran, and its answer is not stored.
	outcomeEnded
	outcomeDone
)

// settle asks over new connections until the agent replies or settleTimeout has passed. For a
// claimed dispatch that still runs it keeps asking until ctx ends.
func (p *peer) settle(ctx context.Context, id dispatch.ID, agent instance.Incarnation, claimed bool) (settleOutcome, *dispatch.StoredAnswer, error) {
	in := &dispatch.SealRequest{ID: id, Agent: agent}
	giveUp := time.Now().Add(settleTimeout)
	for {
		reply, err := p.seal(ctx, in)
		s := settleOutcomeOf(reply, agent)
		waits := s == outcomeUnreachable && time.Now().Before(giveUp) || s == outcomeRunning && claimed
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

func settleOutcomeOf(r *dispatch.SealReply, agent instance.Incarnation) settleOutcome {
	switch {
	case r == nil:
		return outcomeUnreachable
	case r.Incarnation != agent:
		return outcomeIncarnationGone
	case r.State == dispatch.SealSealed:
		return outcomeSealed
	case r.State == dispatch.SealDone && r.Answer != nil:
		return outcomeDone
	case r.State == dispatch.SealCommitted && !r.Ended:
		return outcomeRunning
	}
	return outcomeEnded
}

func answerOf(r *dispatch.SealReply) *dispatch.StoredAnswer {
	if r == nil {
		return nil
	}
	return r.Answer
}
