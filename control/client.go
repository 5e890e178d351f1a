package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// Timing of clients.
const (
	// callTimeout bounds one attempt; it exceeds proposeTimeout, so that a slow commit is
	// not taken for a lost call.
	callTimeout = proposeTimeout + time.Second
	// clientTimeout bounds a call whose context has no deadline.
	clientTimeout = 10 * time.Second
	// clientRetryInterval is the mean pause between two rounds over all replicas.
	clientRetryInterval = 100 * time.Millisecond
	// maxRedirects bounds redirects that replicas give each other during an election.
	maxRedirects = 2
)

// Client calls the control leader. Every method may be repeated safely: changes carry
// an operation ID, claims a dispatch, evidence a sequence number, and registrations an
// incarnation. It is safe for concurrent use.
type Client struct {
	network link.Network
	addrs   []string

	mu      sync.Mutex
	clients map[string]*link.Client
	leader  string
}

// errNoLeader is the error of a replica that knows no leader.
var errNoLeader = errors.New("no leader is known")

// NewClient returns a client of the replicas at addrs. It does not dial yet.
func NewClient(network link.Network, addrs []string) *Client {
	return &Client{network: network, addrs: slices.Clone(addrs), clients: make(map[string]*link.Client)}
}

// SetAddresses replaces the replicas that the client calls.
func (c *Client) SetAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs = slices.Clone(addrs)
}

func (c *Client) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addrs)
}

// Close closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.clients {
		l.Close()
	}
	clear(c.clients)
}

// ApplyBundle makes a signed bundle the configuration.
func (c *Client) ApplyBundle(ctx context.Context, in *api.ApplyBundle) (*api.ChangeReply, error) {
	return call(ctx, c, "ApplyBundle", in, func(r *api.ChangeReply) (string, bool) { return r.Leader, true })
}

// SetDomain drains or restores a failure domain.
func (c *Client) SetDomain(ctx context.Context, in *api.SetDomain) (*api.ChangeReply, error) {
	return call(ctx, c, "SetDomain", in, func(r *api.ChangeReply) (string, bool) { return r.Leader, true })
}

// AbortMove takes back the move of a service.
func (c *Client) AbortMove(ctx context.Context, in *api.AbortMove) (*api.ChangeReply, error) {
	return call(ctx, c, "AbortMove", in, func(r *api.ChangeReply) (string, bool) { return r.Leader, true })
}

// ChangeReplicas adds a replica to the control group or removes one. A replica that has
// not caught up yet is awaited until ctx ends.
func (c *Client) ChangeReplicas(ctx context.Context, in *api.ChangeReplicas) (*api.ChangeReply, error) {
	return call(ctx, c, "ChangeReplicas", in, func(r *api.ChangeReply) (string, bool) { return r.Leader, true })
}

// Register announces a process.
func (c *Client) Register(ctx context.Context, in *api.Register) (*api.RegisterReply, error) {
	return call(ctx, c, "Register", in, func(r *api.RegisterReply) (string, bool) { return r.Leader, true })
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, in *api.KeepAlive) (*api.KeepAliveReply, error) {
	return call(ctx, c, "KeepAlive", in, func(r *api.KeepAliveReply) (string, bool) { return r.Leader, true })
}

// Subscribe waits for a newer view.
func (c *Client) Subscribe(ctx context.Context, in *api.Subscribe) (*api.View, error) {
	return call(ctx, c, "Subscribe", in, func(r *api.View) (string, bool) { return r.Leader, true })
}

// Claim claims an idempotency key.
func (c *Client) Claim(ctx context.Context, in *api.Claim) (*api.ClaimReply, error) {
	return call(ctx, c, "Claim", in, func(r *api.ClaimReply) (string, bool) { return r.Leader, true })
}

// CompleteClaim stores the outcome of a claim.
func (c *Client) CompleteClaim(ctx context.Context, in *api.CompleteClaim) error {
	_, err := call(ctx, c, "CompleteClaim", in, func(r *api.CompleteReply) (string, bool) { return r.Leader, true })
	return err
}

// ReportLosses reports parts of prompts under which endpoints ended.
func (c *Client) ReportLosses(ctx context.Context, in *api.ReportLosses) error {
	_, err := call(ctx, c, "ReportLosses", in, func(r *api.ReportLossesReply) (string, bool) { return r.Leader, true })
	return err
}

// ReportEvidence sends observations.
func (c *Client) ReportEvidence(ctx context.Context, in *api.Evidence) error {
	_, err := call(ctx, c, "ReportEvidence", in, func(r *api.EvidenceReply) (string, bool) { return r.Leader, true })
	return err
}

// DrawBudget draws tokens of an account for a gateway.
func (c *Client) DrawBudget(ctx context.Context, in *api.DrawBudget) (*api.BudgetGrant, error) {
	return call(ctx, c, "DrawBudget", in, func(r *api.BudgetGrant) (string, bool) { return r.Leader, true })
}

// ReportUsage reports what a gateway has counted. The reply's time belongs to the last attempt, so
// the sender takes the time only from calls that were short.
func (c *Client) ReportUsage(ctx context.Context, in *api.ReportUsage) (*api.UsageReply, error) {
	return call(ctx, c, "ReportUsage", in, func(r *api.UsageReply) (string, bool) { return r.Leader, true })
}

// RenewBudget renews a gateway's lease on shares of the accounts' limits.
func (c *Client) RenewBudget(ctx context.Context, in *api.RenewBudget) (*api.BudgetLease, error) {
	return call(ctx, c, "RenewBudget", in, func(r *api.BudgetLease) (string, bool) { return r.Leader, true })
}

// NextToken issues a fencing token.
func (c *Client) NextToken(ctx context.Context) (uint64, error) {
	r, err := call(ctx, c, "NextToken", &api.Empty{}, func(r *api.TokenReply) (string, bool) { return r.Leader, true })
	if err != nil {
		return 0, err
	}
	return r.Token, nil
}

// Moves returns the latest move of each service.
func (c *Client) Moves(ctx context.Context) ([]api.Move, error) {
	r, err := call(ctx, c, "Moves", &api.Empty{}, func(r *api.MovesReply) (string, bool) { return r.Leader, true })
	if err != nil {
		return nil, err
	}
	return r.Moves, nil
}

// Duties returns who holds the duties and how the last reports went.
func (c *Client) Duties(ctx context.Context) (*api.DutiesReply, error) {
	return call(ctx, c, "Duties", &api.Empty{}, func(r *api.DutiesReply) (string, bool) { return r.Leader, true })
}

// Bundle returns the bundle in force.
func (c *Client) Bundle(ctx context.Context) (*api.BundleReply, error) {
	return call(ctx, c, "Bundle", &api.Empty{}, func(r *api.BundleReply) (string, bool) { return r.Leader, true })
}

// Status returns the leader's view. A replica that knows no leader answers with its own
// view, which may be old; the client then tries the other replicas.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return call(ctx, c, "Status", &api.Empty{}, func(r *api.Status) (string, bool) { return r.Leader, r.Leader != "" })
}

// call tries the replicas until one answers as the leader or ctx ends.
func call[In, Out any](ctx context.Context, c *Client, method string, in *In, leaderOf func(*Out) (leader string, known bool)) (*Out, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, clientTimeout)
		defer cancel()
	}
	var last error
	for {
		for _, addr := range c.candidates() {
			out, err := callAt(ctx, c, addr, method, in, leaderOf)
			if err == nil {
				return out, nil
			}
			if isFinal(err) {
				return nil, err
			}
			// Prefer a replica's own error over a failure to reach another replica.
			if last == nil || isReplicaError(err) || !isReplicaError(last) {
				last = err
			}
		}
		if err := pauseBeforeRetry(ctx); err != nil {
			return nil, &link.Error{Step: "call Control." + method, Peer: strings.Join(c.addresses(), ","), Err: errors.Join(err, last)}
		}
	}
}

// callAt calls one replica and follows its redirects.
func callAt[In, Out any](ctx context.Context, c *Client, addr, method string, in *In, leaderOf func(*Out) (leader string, known bool)) (*Out, error) {
	for range 1 + maxRedirects {
		out := new(Out)
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.client(addr).Call(attempt, ServiceName+"."+method, in, out)
		cancel()
		if err != nil {
			c.setLeader(addr, "")
			return nil, err
		}
		leader, known := leaderOf(out)
		if !known {
			c.setLeader(addr, "")
			return nil, &link.Error{Step: "call Control." + method, Peer: addr, Err: errNoLeader}
		}
		if leader == "" || leader == addr {
			c.setLeader("", addr)
			return out, nil
		}
		addr = leader
	}
	return nil, &link.Error{Step: "call Control." + method, Peer: addr, Err: errors.New("replicas do not agree on a leader")}
}

// isReplicaError reports whether a replica returned the error, as opposed to the transport.
func isReplicaError(err error) bool {
	var server rpc.ServerError
	return errors.As(err, &server)
}

// isFinal reports whether an error will be the same on every attempt: the leader itself
// refused the call.
func isFinal(err error) bool {
	var server rpc.ServerError
	return errors.As(err, &server) && !strings.HasPrefix(string(server), UnavailablePrefix)
}

// candidates lists the addresses to try, the leader first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.addrs)+1)
	if c.leader != "" {
		out = append(out, c.leader)
	}
	for _, i := range rand.Perm(len(c.addrs)) {
		if c.addrs[i] != c.leader {
			out = append(out, c.addrs[i])
		}
	}
	return out
}

// setLeader caches the leader's address. If old is set, it does so only while old is cached.
func (c *Client) setLeader(old, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old == "" || old == c.leader {
		c.leader = leader
	}
}

func (c *Client) client(addr string) *link.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.clients[addr]
	if !ok {
		l = link.NewClient(c.network, addr)
		c.clients[addr] = l
	}
	return l
}

func pauseBeforeRetry(ctx context.Context) error {
	return sleep(ctx, clientRetryInterval/2+rand.N(clientRetryInterval))
}

// sleep waits for d, or returns why ctx ended before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
