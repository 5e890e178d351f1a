package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/bits"
	"net/http"
	"strconv"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/policy"
	"toucantiller.dev/schedule"
	"toucantiller.dev/timeline"
)

// directBufferSize is the size in bytes of one read of an answer.
const directBufferSize = 8 << 10

// directConnectionShare is the share of an endpoint's connections that one gateway may open.
// All gateways together must stay below what the endpoint accepts.
const directConnectionShare = 1.0 / 16

// directConnections returns the bound on this gateway's connections to one endpoint.
func directConnections(accepted int) int {
	if accepted <= 0 {
		return 0
	}
	return max(2, int(directConnectionShare*float64(accepted)))
}

// directEngine returns the client of an endpoint without an agent.
func (g *Gateway) directEngine(target string, accepted int) endpoint.Engine {
	if e, ok := g.engines.Load(target); ok {
		return e.(endpoint.Engine)
	}
	e, _ := g.engines.LoadOrStore(target, g.opt.NewEngine(target, directConnections(accepted)))
	return e.(endpoint.Engine)
}

// dropEngines closes the clients of endpoints that are no longer registered.
func (g *Gateway) dropEngines(endpoints []endpoint.Endpoint) {
	known := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		known[endpoints[i].Target] = true
	}
	g.engines.Range(func(target, e any) bool {
		if !known[target.(string)] {
			g.engines.Delete(target)
			if c, ok := e.(io.Closer); ok {
				_ = c.Close() // only idle connections are closed, which cannot fail
			}
		}
		return true
	})
}

// runDirect sends the call to an endpoint without an agent, at most once.
func (a *attempt) runDirect(ctx context.Context) attemptResult {
	c := a.call
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	engine := a.gateway.directEngine(a.endpoint.Target, c.service.MaxConnections)
	answer, err := engine.Submit(ctx, &endpoint.Request{
		ID: a.id.String(), Method: c.method, Path: c.path, Header: c.passedHeaders, Body: c.body, Host: c.host,
		Endpoint: a.endpoint.ID, Incarnation: a.endpoint.Incarnation, Account: c.account.Name, Timeout: time.Until(c.deadline),
	})
	if err != nil {
		return a.submitFailed(ctx, err)
	}
	defer answer.Body.Close()
	a.observeSelfReport(answer.Report, answer.Status/100 != 2)
	a.out.start(a.endpoint, answer.Status, answer.Header)
	a.recordStarted()
	buffer := make([]byte, directBufferSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			a.handleData(buffer[:n])
			a.out.flush()
		}
		if errors.Is(err, io.EOF) {
			a.recordBegun()
			a.recordSuccess(&dispatch.End{})
			return attemptResult{}
		}
		if err != nil {
			return a.directOutcomeUnknown(ctx, err)
		}
	}
}

// observeSelfReport learns from what the endpoint says of its load, and from the time to the start
// of its answer unless it failed or is a refusal: the rest depends on the caller, too.
func (a *attempt) observeSelfReport(r endpoint.SelfReport, failed bool) {
	if !a.followsLoad(r) {
		return
	}
	now := time.Now()
	limit, changed := a.candidate.ObserveAnswer(schedule.Answered{
		Kind: a.workKind(), Took: now.Sub(a.began), Report: r, Failed: failed,
	}, now)
	if changed {
		a.gateway.opt.Timeline.Record(timeline.Event{
			Kind: "endpoint.limit", Request: a.call.id, Endpoint: string(a.endpoint.ID),
			Detail: fmt.Sprintf("takes %d of %d requests at once well", limit, r.Slots),
		})
	}
}

// followsLoad reports whether placement follows what the endpoint of a plain service states. One
// that states no slowdown is followed only if the settings ask for it.
func (a *attempt) followsLoad(r endpoint.SelfReport) bool {
	opt := &a.gateway.opt
	return opt.Without.InForce(policy.EndpointSpeed) && a.call.service.Kind == contract.KindPlain &&
		r.Stated() && (opt.FollowLoad || r.Slowdown > 0)
}

// largeBody is the size of a body in bytes from which the kind of work depends on it.
const largeBody = 4 << 10

// workKind names the requests that take about as long: those of one route, by size if large.
func (a *attempt) workKind() string {
	class := bits.Len(uint(len(a.call.body) / largeBody))
	if class == 0 {
		return a.call.route.Name
	}
	return a.call.route.Name + "/" + strconv.Itoa(class)
}

// submitFailed handles a direct call that got no answer.
func (a *attempt) submitFailed(ctx context.Context, err error) attemptResult {
	var refused *endpoint.RefusedError
	switch {
	case errors.As(err, &refused):
		a.observeSelfReport(refused.Report, true)
		a.suspendFor(refused.RetryAfter)
		if refused.Misdirected || refused.Leaving {
			a.suspend()
		}
		return a.notRunResult(dispatch.RefusalCode(refused), err)
	case errors.Is(err, endpoint.ErrNotSent):
		if ctx.Err() == nil {
			a.suspend()
		}
		return a.notRunResult(dispatch.CodeUnreachable, err)
	}
	return a.directOutcomeUnknown(ctx, err)
}

// directOutcomeUnknown handles a direct call whose outcome is unknown.
func (a *attempt) directOutcomeUnknown(ctx context.Context, err error) attemptResult {
	if stopEnds(ctx) {
		return attemptResult{problem: stoppedProblem()}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return attemptResult{problem: newProblem(statusClientClosed, "caller_left", ExecutionUnknown, "the caller closed the connection")}
	}
	if ctx.Err() == nil {
		a.recordBegun()
	}
	a.recordFailure(ctx.Err() == nil)
	if now := time.Now(); ctx.Err() != nil && a.firstByte.IsZero() {
		a.candidate.ObserveOverdue(a.workKind(), now.Sub(a.began), now)
	}
	a.gateway.opt.Timeline.Record(timeline.Event{Kind: "dispatch.lost", Request: a.call.id, Endpoint: string(a.endpoint.ID), Detail: err.Error()})
	if ctx.Err() != nil {
		return attemptResult{problem: newProblem(http.StatusGatewayTimeout, "deadline", ExecutionUnknown, "%v", err)}
	}
	return attemptResult{problem: newProblem(http.StatusBadGateway, "endpoint_lost", ExecutionUnknown, "%v", err)}
}
