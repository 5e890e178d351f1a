package operator

import (
	"context"
	"errors"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// Control is what the operator's commands need of the control replicas.
type Control interface {
	ApplyBundle(ctx context.Context, change *api.ApplyBundle) (*api.ChangeReply, error)
	SetDomain(ctx context.Context, change *api.SetDomain) (*api.ChangeReply, error)
	AbortMove(ctx context.Context, change *api.AbortMove) (*api.ChangeReply, error)
	Status(ctx context.Context) (*api.Status, error)
}

// Timing of calls to the control replicas.
const (
	// attemptTimeout is shorter than the command's timeout, so that a replica that does
	// not answer leaves time for the others.
	attemptTimeout = 2 * time.Second
	retryPause     = 200 * time.Millisecond
)

// ErrNoReplica is returned when no control replica is configured.
var ErrNoReplica = errors.New("no control replica is configured; set --control or TOUCAN_CONTROL")

// Client calls the control replicas over package link. It follows the leader and sends
// a change again, with the same operation ID, when the answer was lost.
type Client struct {
	network link.Network
	addrs   []string
	clients map[string]*link.Client
}

// NewClient returns a client for replicas at addrs. It is not safe for concurrent use.
func NewClient(network link.Network, addrs []string) *Client {
	return &Client{network: network, addrs: addrs, clients: make(map[string]*link.Client)}
}

// Close closes the connections.
func (c *Client) Close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}

// ApplyBundle sends "Control.ApplyBundle".
func (c *Client) ApplyBundle(ctx context.Context, change *api.ApplyBundle) (*api.ChangeReply, error) {
	return c.change(ctx, "Control.ApplyBundle", change)
}

// SetDomain sends "Control.SetDomain".
func (c *Client) SetDomain(ctx context.Context, change *api.SetDomain) (*api.ChangeReply, error) {
	return c.change(ctx, "Control.SetDomain", change)
}

// AbortMove sends "Control.AbortMove".
func (c *Client) AbortMove(ctx context.Context, change *api.AbortMove) (*api.ChangeReply, error) {
	return c.change(ctx, "Control.AbortMove", change)
}

// Status sends "Control.Status". It prefers the leader's view, as followers may lag.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	var follower *api.Status
	last := ErrNoReplica
	for _, addr := range c.addrs {
		reply := &api.Status{}
		if err := c.call(ctx, addr, "Control.Status", &api.Empty{}, reply); err != nil {
			last = err
			continue
		}
		if reply.Leader == reply.Replica || reply.Leader == addr {
			return reply, nil
		}
		if follower == nil || reply.Revision > follower.Revision {
			follower = reply
		}
	}
	if follower == nil {
		return nil, last
	}
	return c.leaderStatus(ctx, follower), nil
}

// leaderStatus asks the leader that a follower named, and falls back to the follower's
// view without its claim to be in force, which only a leader can make.
func (c *Client) leaderStatus(ctx context.Context, follower *api.Status) *api.Status {
	reply := &api.Status{}
	if follower.Leader != "" && c.call(ctx, follower.Leader, "Control.Status", &api.Empty{}, reply) == nil {
		return reply
	}
	follower.InForce = false
	return follower
}

// change sends an operator change until some replica gives an outcome or ctx ends. All
// attempts carry the same operation ID, so the change happens at most once.
func (c *Client) change(ctx context.Context, method string, args any) (*api.ChangeReply, error) {
	if len(c.addrs) == 0 {
		return nil, ErrNoReplica
	}
	addr := c.addrs[0]
	for attempt := 1; ; attempt++ {
		reply := &api.ChangeReply{}
		err := c.call(ctx, addr, method, args, reply)
		if err == nil && reply.Outcome != "" {
			return reply, nil
		}
		if err == nil && reply.Leader != "" && reply.Leader != addr {
			addr = reply.Leader
		} else {
			addr = c.addrs[attempt%len(c.addrs)]
		}
		if !pause(ctx, retryPause) {
			if err == nil {
				err = errors.New("no leader answered")
			}
			return nil, &link.Error{Step: "call " + method, Peer: addr, Err: err}
		}
	}
}

func (c *Client) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	cl, ok := c.clients[addr]
	if !ok {
		cl = link.NewClient(c.network, addr)
		c.clients[addr] = cl
	}
	return cl.Call(ctx, method, args, reply)
}

// pause waits and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
