package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/timeline"
)

const (
	claimTimeout = 2 * time.Second
	// maxTakeovers bounds the claims sent for one dispatch.
	maxTakeovers = 3
	// lateSettleTime bounds how long a gateway goes on to settle a claim whose caller
	// has got its answer.
	lateSettleTime = dispatch.SealRetention
	latePause      = time.Second
)

// claim is the idempotency claim of one call at this gateway.
type claim struct {
	gateway *Gateway
	call    *call
	digest  string
	// held is the dispatch that the durable claim names, nil before the first grant.
	held *dispatch.ID
	// attempt is the one that held belongs to.
	attempt *attempt
	// asked is set once control was asked.
	asked bool
}

// runningClaim is an entry of Gateway.claims.
type runningClaim struct{ digest string }

func bodyDigest(c *call) string {
	h := sha256.New()
	for _, part := range []string{c.method, "\x00", c.path, "\x00"} {
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// executeClaimed runs a call with an Idempotency-Key. It goes on when the caller leaves,
// so that the caller's repeat finds the answer.
func (g *Gateway) executeClaimed(ctx context.Context, c *call, out *answerWriter) *Problem {
	if g.opt.Claims == nil {
		return claimsUnavailable()
	}
	k := &claim{gateway: g, call: c, digest: bodyDigest(c)}
	local := c.account.Name + "\x00" + c.key
	if other, running := g.claims.LoadOrStore(local, runningClaim{k.digest}); running {
		if other.(runningClaim).digest != k.digest {
			return keyReused()
		}
		return stillRunning()
	}
	defer g.claims.Delete(local)
	ctx = context.WithoutCancel(ctx)
	r := g.place(ctx, c, out, k)
	if r.notRun && !k.asked {
		r = k.lookUp(ctx, r)
	}
	return k.finish(ctx, out, r)
}

// lookUp finds the outcome of an earlier call with the key when there was no endpoint
// to claim a dispatch for. A claim without target was never dispatched.
func (k *claim) lookUp(ctx context.Context, refused result) result {
	nowhere := &attempt{gateway: k.gateway, call: k.call, endpoint: &endpoint.Endpoint{}}
	nowhere.id = k.gateway.newID(k.call)
	if r, held := k.hold(ctx, nowhere); !held {
		return r
	}
	return refused
}

// hold makes the claim on a dispatch durable. When it is not granted, the result says
// what the caller gets instead.
func (k *claim) hold(ctx context.Context, a *attempt) (result, bool) {
	in := api.Claim{
		Account: k.call.account.Name, Key: k.call.key, BodyDigest: k.digest, TTL: k.call.route.ClaimTTL,
		Owner: k.gateway.opt.Instance.ID, Target: *a.endpoint, Dispatch: a.id, Previous: k.held,
	}
	k.asked = true
	for range maxTakeovers {
		reply, err := k.send(ctx, in)
		if err != nil {
			// The claim may have been recorded; nothing was dispatched.
			k.gateway.releaseLater(in)
			return result{problem: claimsUnavailable(), notRun: true}, false
		}
		if reply.State == api.ClaimGranted {
			k.held = &a.id
			k.attempt = a
			return result{}, true
		}
		// Whatever this gateway held before, it no longer does.
		k.held = nil
		switch reply.State {
		case api.ClaimDone:
			if reply.Answer == nil {
				return result{problem: outcomeUnknown()}, false
			}
			return result{stored: reply.Answer}, false
		case api.ClaimUnknown:
			return result{problem: outcomeUnknown()}, false
		case api.ClaimConflict:
			return result{problem: keyReused()}, false
		}
		previous, r := k.resolve(ctx, reply)
		if previous == nil {
			return r, false
		}
		in.Previous = previous
	}
	return result{problem: stillRunning()}, false
}

func (k *claim) send(ctx context.Context, in api.Claim) (api.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := k.gateway.opt.Claims.Claim(ctx, in)
	if err != nil {
		k.gateway.metrics.claimFailures.one()
	}
	return reply, err
}

// resolve deals with a claim that another dispatch holds. It returns that dispatch when
// it provably never ran, so that the claim can be taken over.
func (k *claim) resolve(ctx context.Context, held api.ClaimReply) (*dispatch.ID, result) {
	g := k.gateway
	// A claim of this gateway that is not in progress here was left by a call whose
	// outcome stayed open, or by an earlier incarnation.
	mine := held.Owner == g.opt.Instance.ID
	if held.OwnerAlive && !mine {
		return nil, result{problem: stillRunning()}
	}
	if held.Target.ID == "" {
		return &held.Dispatch, result{}
	}
	g.opt.Timeline.Record(timeline.Event{Kind: "claim.settling", Request: k.call.id, Endpoint: string(held.Target.ID)})
	ctx, cancel := context.WithDeadline(ctx, k.call.deadline)
	defer cancel()
	stands, answer, _ := g.peer(held.Target.Address).settle(ctx, held.Dispatch, held.Target.Incarnation, true)
	switch stands {
	case standsSealed:
		return &held.Dispatch, result{}
	case standsDone:
		return nil, k.adopt(held, answer)
	case standsRunning:
		return nil, result{problem: stillRunning()}
	case standsGone, standsEnded:
		g.completeLater(api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: held.Dispatch, State: api.ClaimUnknown})
	}
	return nil, result{problem: outcomeUnknown()}
}

// adopt stores the answer that a dead gateway's dispatch left at its agent.
func (k *claim) adopt(held api.ClaimReply, answer *dispatch.StoredAnswer) result {
	in := api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: held.Dispatch, State: api.ClaimDone, Answer: answer}
	if err := k.gateway.complete(context.Background(), in); err != nil {
		return result{problem: notStored()}
	}
	return result{stored: answer}
}

// finish stores the outcome durably before the caller gets it.
func (k *claim) finish(ctx context.Context, out *answerWriter, r result) *Problem {
	switch {
	case k.held == nil:
		if r.problem != nil {
			return r.problem
		}
		return out.deliver(r.stored)
	case r.problem == nil:
		return k.finishDone(ctx, out, r)
	case r.notRun:
		k.complete(ctx, api.ClaimGranted, nil)
		return r.problem
	case r.open:
		k.gateway.settleLater(k)
		return r.problem
	}
	k.complete(ctx, api.ClaimUnknown, nil)
	return r.problem
}

func (k *claim) finishDone(ctx context.Context, out *answerWriter, r result) *Problem {
	answer := r.stored
	if answer == nil {
		answer = out.stored()
	}
	if !k.complete(ctx, api.ClaimDone, answer) {
		return notStored()
	}
	k.gateway.confirmLater(k.attempt)
	return out.deliver(answer)
}

// complete stores the outcome; when it cannot at once, it goes on in the background and
// returns false.
func (k *claim) complete(ctx context.Context, state api.ClaimState, answer *dispatch.StoredAnswer) bool {
	in := api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: *k.held, State: state, Answer: answer}
	if err := k.gateway.complete(ctx, in); err != nil {
		k.gateway.completeLater(in)
		return false
	}
	return true
}

func (g *Gateway) complete(ctx context.Context, in api.CompleteClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := g.opt.Claims.CompleteClaim(ctx, in)
	if err != nil {
		g.metrics.claimFailures.one()
	}
	return err
}

// completeLater stores an outcome in the background, trying again until it succeeds.
func (g *Gateway) completeLater(in api.CompleteClaim) {
	g.background(func(ctx context.Context) { g.completeUntil(ctx, in) })
}

func (g *Gateway) completeUntil(ctx context.Context, in api.CompleteClaim) {
	ctx, cancel := context.WithTimeout(ctx, lateSettleTime)
	defer cancel()
	for g.complete(ctx, in) != nil && pause(ctx, latePause) {
	}
}

// releaseLater gives up a claim that may have been recorded and was not used.
func (g *Gateway) releaseLater(in api.Claim) {
	g.completeLater(api.CompleteClaim{Account: in.Account, Key: in.Key, Dispatch: in.Dispatch, State: api.ClaimGranted})
}

// settleLater goes on to find out the outcome of a claimed dispatch whose agent could
// not be reached in time.
func (g *Gateway) settleLater(k *claim) {
	a := k.attempt
	in := api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: *k.held}
	g.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, lateSettleTime)
		defer cancel()
		for {
			stands, answer, _ := a.peer.settle(ctx, a.id, a.endpoint.Incarnation, true)
			if state, final := claimStateOf(stands); final {
				in.State = state
				in.Answer = answer
				g.completeUntil(ctx, in)
				return
			}
			if !pause(ctx, latePause) {
				return
			}
		}
	})
}

func claimStateOf(s standing) (api.ClaimState, bool) {
	switch s {
	case standsDone:
		return api.ClaimDone, true
	case standsSealed:
		return api.ClaimGranted, true
	case standsGone, standsEnded:
		return api.ClaimUnknown, true
	}
	return "", false
}

// confirmLater lets the agent drop its copy of a stored answer.
func (g *Gateway) confirmLater(a *attempt) {
	g.background(func(ctx context.Context) {
		_, _ = a.peer.seal(ctx, &dispatch.SealRequest{ID: a.id, Agent: a.endpoint.Incarnation, Confirm: true})
	})
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func claimsUnavailable() *Problem {
	p := newProblem(http.StatusServiceUnavailable, "claims_unavailable", NotRun, "the Idempotency-Key cannot be recorded at present")
	p.RetryAfter = time.Second
	return p
}

func keyReused() *Problem {
	return newProblem(http.StatusConflict, "key_reused", NotRun, "the Idempotency-Key was used with another request")
}

func stillRunning() *Problem {
	return newProblem(http.StatusConflict, "in_progress", Unknown, "a request with this Idempotency-Key is in progress")
}

func outcomeUnknown() *Problem {
	return newProblem(http.StatusBadGateway, "outcome_unknown", Unknown, "the outcome of the first request with this Idempotency-Key is not known")
}

func notStored() *Problem {
	return newProblem(http.StatusBadGateway, "answer_not_stored", Unknown, "the request ran, but its answer could not be stored yet; repeat it with the same Idempotency-Key")
}
