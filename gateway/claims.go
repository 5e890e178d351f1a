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
	// maxClaimRequests bounds the claim requests sent for one dispatch.
	maxClaimRequests = 3
	// backgroundSettleTimeout bounds how long a gateway keeps settling a claim in the
	// background after its caller has been answered.
	backgroundSettleTimeout = dispatch.SealRetention
	backgroundRetryPause    = time.Second
)

// claim is the idempotency claim of one call at this gateway.
type claim struct {
	gateway *Gateway
	call    *call
	digest  string
	// heldDispatch is the dispatch that the durable claim names, nil before the first grant.
	heldDispatch *dispatch.ID
	// attempt is the attempt of heldDispatch.
	attempt *attempt
	// requested is set once a claim request has been sent to control.
	requested bool
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

// executeClaimed runs a call with an Idempotency-Key. It continues when the caller disconnects,
// so that the caller's retry finds the answer.
func (g *Gateway) executeClaimed(ctx context.Context, c *call, out *answerWriter) *Problem {
	if g.opt.Claims == nil {
		return claimsUnavailableProblem()
	}
	k := &claim{gateway: g, call: c, digest: bodyDigest(c)}
	local := c.account.Name + "\x00" + c.key
	if other, running := g.claims.LoadOrStore(local, runningClaim{k.digest}); running {
		if other.(runningClaim).digest != k.digest {
			return keyReusedProblem()
		}
		return inProgressProblem()
	}
	defer g.claims.Delete(local)
	r := g.executeAttempts(g.answerCtx, c, out, k)
	if r.notRun && !k.requested {
		r = k.findEarlierOutcome(g.answerCtx, r)
	}
	return k.finish(context.WithoutCancel(ctx), out, r)
}

// findEarlierOutcome finds the outcome of an earlier call with the key when no endpoint is
// available to claim a dispatch for. A claim without a target was never dispatched.
func (k *claim) findEarlierOutcome(ctx context.Context, refused attemptResult) attemptResult {
	nowhere := &attempt{gateway: k.gateway, call: k.call, endpoint: &endpoint.Endpoint{}}
	nowhere.id = k.gateway.newID(k.call)
	if r, held := k.acquire(ctx, nowhere); !held {
		return r
	}
	return refused
}

// acquire makes the claim on a dispatch durable. If it is not granted, the result is what the
// caller gets instead.
func (k *claim) acquire(ctx context.Context, a *attempt) (attemptResult, bool) {
	in := api.Claim{
		Account: k.call.account.Name, Key: k.call.key, BodyDigest: k.digest, TTL: k.call.route.ClaimTTL,
		Owner: k.gateway.opt.Instance.ID, Target: *a.endpoint, Dispatch: a.id, Previous: k.heldDispatch,
	}
	k.requested = true
	for range maxClaimRequests {
		reply, err := k.send(ctx, in)
		if err != nil {
			// The claim may have been recorded, but nothing was dispatched.
			k.gateway.releaseLater(in)
			return attemptResult{problem: claimsUnavailableProblem(), notRun: true}, false
		}
		if reply.State == api.ClaimGranted {
			k.heldDispatch = &a.id
			k.attempt = a
			return attemptResult{}, true
		}
		// Any earlier claim of this call is no longer held.
		k.heldDispatch = nil
		switch reply.State {
		case api.ClaimDone:
			if reply.Answer == nil {
				return attemptResult{problem: outcomeUnknownProblem()}, false
			}
			return attemptResult{stored: reply.Answer}, false
		case api.ClaimUnknown:
			return attemptResult{problem: outcomeUnknownProblem()}, false
		case api.ClaimConflict:
			return attemptResult{problem: keyReusedProblem()}, false
		}
		previous, r := k.resolveHolder(ctx, reply)
		if previous == nil {
			return r, false
		}
		in.Previous = previous
	}
	return attemptResult{problem: inProgressProblem()}, false
}

func (k *claim) send(ctx context.Context, in api.Claim) (api.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := k.gateway.opt.Claims.Claim(ctx, in)
	if err != nil {
		k.gateway.metrics.claimFailures.increment()
	}
	return reply, err
}

// resolveHolder handles a claim held by another dispatch. It returns that dispatch if it
// provably never ran, so that the claim can be taken over.
func (k *claim) resolveHolder(ctx context.Context, held api.ClaimReply) (*dispatch.ID, attemptResult) {
	g := k.gateway
	// A claim of this gateway that is not in progress here was left by an earlier incarnation,
	// or by a call whose outcome was never settled.
	mine := held.Owner == g.opt.Instance.ID
	if held.OwnerAlive && !mine {
		return nil, attemptResult{problem: inProgressProblem()}
	}
	if held.Target.ID == "" {
		return &held.Dispatch, attemptResult{}
	}
	g.opt.Timeline.Record(timeline.Event{Kind: "claim.settling", Request: k.call.id, Endpoint: string(held.Target.ID)})
	ctx, cancel := context.WithDeadline(ctx, k.call.deadline)
	defer cancel()
	stands, answer, _ := g.peer(held.Target.Address).settle(ctx, held.Dispatch, held.Target.Incarnation, true)
	switch stands {
	case outcomeSealed:
		return &held.Dispatch, attemptResult{}
	case outcomeDone:
		return nil, k.storeFoundAnswer(held, answer)
	case outcomeRunning:
		return nil, attemptResult{problem: inProgressProblem()}
	case outcomeIncarnationGone, outcomeEnded:
		g.completeLater(api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: held.Dispatch, State: api.ClaimUnknown})
	}
	return nil, attemptResult{problem: outcomeUnknownProblem()}
}

// storeFoundAnswer stores the answer that the dispatch of a dead gateway left at its agent.
func (k *claim) storeFoundAnswer(held api.ClaimReply, answer *dispatch.StoredAnswer) attemptResult {
	in := api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: held.Dispatch, State: api.ClaimDone, Answer: answer}
	if err := k.gateway.complete(context.Background(), in); err != nil {
		return attemptResult{problem: answerNotStoredProblem()}
	}
	return attemptResult{stored: answer}
}

// finish stores the outcome durably before the caller gets it.
func (k *claim) finish(ctx context.Context, out *answerWriter, r attemptResult) *Problem {
	switch {
	case k.heldDispatch == nil:
		if r.problem != nil {
			return r.problem
		}
		return out.deliver(r.stored)
	case r.problem == nil:
		return k.finishDone(ctx, out, r)
	case r.notRun:
		k.complete(ctx, api.ClaimGranted, nil)
		return r.problem
	case r.unresolved:
		k.gateway.settleLater(k)
		return r.problem
	}
	k.complete(ctx, api.ClaimUnknown, nil)
	return r.problem
}

func (k *claim) finishDone(ctx context.Context, out *answerWriter, r attemptResult) *Problem {
	answer := r.stored
	if answer == nil {
		answer = out.stored()
	}
	if !k.complete(ctx, api.ClaimDone, answer) {
		return answerNotStoredProblem()
	}
	k.gateway.confirmLater(k.attempt)
	return out.deliver(answer)
}

// complete stores the outcome. If that fails, it retries in the background and returns false.
func (k *claim) complete(ctx context.Context, state api.ClaimState, answer *dispatch.StoredAnswer) bool {
	in := api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: *k.heldDispatch, State: state, Answer: answer}
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
		g.metrics.claimFailures.increment()
	}
	return err
}

// completeLater stores an outcome in the background and retries until it succeeds.
func (g *Gateway) completeLater(in api.CompleteClaim) {
	held := g.holdTaskAnswer(&in)
	started := g.background(func(ctx context.Context) {
		defer g.memory.releaseTaskAnswer(held)
		g.retryComplete(ctx, in)
	})
	if !started {
		g.memory.releaseTaskAnswer(held)
	}
}

// holdTaskAnswer counts the answer of an outcome for a background task and returns its bytes. If
// there is no room, it removes the answer: what is stored then is that the dispatch ran, with its
// status, and that its answer was too large to be kept.
func (g *Gateway) holdTaskAnswer(in *api.CompleteClaim) int64 {
	if in.Answer == nil {
		return 0
	}
	if n := in.Answer.MemoryBytes(); g.memory.holdTaskAnswer(n) {
		return n
	}
	in.Answer = &dispatch.StoredAnswer{Status: in.Answer.Status, TooLarge: true}
	return 0
}

func (g *Gateway) retryComplete(ctx context.Context, in api.CompleteClaim) {
	ctx, cancel := context.WithTimeout(ctx, backgroundSettleTimeout)
	defer cancel()
	for g.complete(ctx, in) != nil && pause(ctx, backgroundRetryPause) {
	}
}

// releaseLater releases a claim that may have been recorded but was not used.
func (g *Gateway) releaseLater(in api.Claim) {
	g.completeLater(api.CompleteClaim{Account: in.Account, Key: in.Key, Dispatch: in.Dispatch, State: api.ClaimGranted})
}

// settleLater keeps settling a claimed dispatch whose agent could not be reached in time.
func (g *Gateway) settleLater(k *claim) {
	agent, id, incarnation := k.attempt.peer, k.attempt.id, k.attempt.endpoint.Incarnation
	in := api.CompleteClaim{Account: k.call.account.Name, Key: k.call.key, Dispatch: *k.heldDispatch}
	g.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, backgroundSettleTimeout)
		defer cancel()
		for {
			stands, answer, _ := agent.settle(ctx, id, incarnation, true)
			if state, final := claimStateOf(stands); final {
				in.State = state
				in.Answer = answer
				held := g.holdTaskAnswer(&in)
				defer g.memory.releaseTaskAnswer(held)
				g.retryComplete(ctx, in)
				return
			}
			if !pause(ctx, backgroundRetryPause) {
				return
			}
		}
	})
}

func claimStateOf(s settleOutcome) (api.ClaimState, bool) {
	switch s {
	case outcomeDone:
		return api.ClaimDone, true
	case outcomeSealed:
		return api.ClaimGranted, true
	case outcomeIncarnationGone, outcomeEnded:
		return api.ClaimUnknown, true
	}
	return "", false
}

// confirmLater tells the agent that it may drop its copy of a stored answer.
func (g *Gateway) confirmLater(a *attempt) {
	agent, in := a.peer, &dispatch.SealRequest{ID: a.id, Agent: a.endpoint.Incarnation, Confirm: true}
	g.background(func(ctx context.Context) {
		_, _ = agent.seal(ctx, in)
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

func claimsUnavailableProblem() *Problem {
	p := newProblem(http.StatusServiceUnavailable, "claims_unavailable", ExecutionNotRun, "the Idempotency-Key cannot be recorded at present")
	p.RetryAfter = time.Second
	return p
}

func keyReusedProblem() *Problem {
	return newProblem(http.StatusConflict, "key_reused", ExecutionNotRun, "the Idempotency-Key was used with another request")
}

func inProgressProblem() *Problem {
	return newProblem(http.StatusConflict, "in_progress", ExecutionUnknown, "a request with this Idempotency-Key is in progress")
}

func outcomeUnknownProblem() *Problem {
	return newProblem(http.StatusBadGateway, "outcome_unknown", ExecutionUnknown, "the outcome of the first request with this Idempotency-Key is not known")
}

func answerNotStoredProblem() *Problem {
	return newProblem(http.StatusBadGateway, "answer_not_stored", ExecutionUnknown, "the request ran, but its answer could not be stored yet; repeat it with the same Idempotency-Key")
}
