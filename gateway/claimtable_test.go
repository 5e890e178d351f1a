package gateway_test

import (
	"context"
	"errors"
	"net"
	"sync"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

// claimTable is a fake of the control replicas: it follows the rules of api.Claim.
type claimTable struct {
	mu     sync.Mutex
	claims map[string]*claimEntry
	dead   map[instance.ID]bool
	// failCalls makes calls fail before they change anything; loseReplies records claims and
	// then fails their calls.
	failCalls, loseReplies bool
	completed              int
}

type claimEntry struct {
	api.Claim
	state  api.ClaimState
	answer api.CompleteClaim
}

var errControl = errors.New("no quorum")

func newClaimTable() *claimTable {
	return &claimTable{claims: make(map[string]*claimEntry), dead: make(map[instance.ID]bool)}
}

func (t *claimTable) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// get returns a copy of the claim under account/key, nil if there is none.
func (t *claimTable) get(key string) *claimEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.claims[key]
	if held == nil {
		return nil
	}
	found := *held
	return &found
}

func (t *claimTable) Claim(_ context.Context, c api.Claim) (api.ClaimReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failCalls {
		return api.ClaimReply{}, errControl
	}
	k := c.Account + "/" + c.Key
	held := t.claims[k]
	if held != nil && held.BodyDigest != c.BodyDigest {
		return api.ClaimReply{State: api.ClaimConflict}, nil
	}
	moved := held != nil && c.Previous != nil && held.state == api.ClaimRunning && held.Dispatch == *c.Previous
	if held == nil || moved {
		t.claims[k] = &claimEntry{Claim: c, state: api.ClaimRunning}
		if t.loseReplies {
			return api.ClaimReply{}, errControl
		}
		return api.ClaimReply{State: api.ClaimGranted}, nil
	}
	return api.ClaimReply{
		State: held.state, Owner: held.Owner, OwnerAlive: !t.dead[held.Owner],
		Target: held.Target, Dispatch: held.Dispatch, Answer: held.answer.Answer,
	}, nil
}

func (t *claimTable) CompleteClaim(_ context.Context, c api.CompleteClaim) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failCalls {
		return errControl
	}
	k := c.Account + "/" + c.Key
	held := t.claims[k]
	if held == nil || held.Dispatch != c.Dispatch {
		return nil
	}
	t.completed++
	if c.State == api.ClaimGranted {
		delete(t.claims, k)
		return nil
	}
	held.state = c.State
	held.answer = c
	return nil
}

func dialer(n *link.Memory) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		return n.Dial(ctx, host)
	}
}
