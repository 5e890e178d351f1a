package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"toucantiller.dev/admission"
)

const (
	// answerMargin is how long before the end of a stop the requests still open are answered.
	// It covers writing the answers.
	answerMargin = 100 * time.Millisecond
	// maxAnswerMarginShare bounds answerMargin, as a part of the time of a short stop.
	maxAnswerMarginShare = 0.25
)

// errStopEnds is the cause of a request's context that a stop has cancelled.
var errStopEnds = errors.New("the gateway stops before the answer is complete")

// setStopDeadline sets when a stop that is bound by ctx ends the requests still open, shortly
// before ctx ends.
func (g *Gateway) setStopDeadline(ctx context.Context) {
	end, ok := ctx.Deadline()
	if !ok {
		return
	}
	margin := min(answerMargin, time.Duration(maxAnswerMarginShare*float64(time.Until(end))))
	end = end.Add(-margin)
	g.stopDeadline.Store(&end)
}

// shutdown closes the listener and waits for open requests. It ends those still open at the
// stop deadline and waits until ctx ends for their answers to be written.
func (g *Gateway) shutdown(ctx context.Context) error {
	by := g.stopDeadline.Load()
	if by == nil {
		return g.server.Shutdown(ctx)
	}
	unforced, cancel := context.WithDeadline(ctx, *by)
	defer cancel()
	if g.server.Shutdown(unforced) == nil {
		return nil
	}
	g.endAnswers(errStopEnds)
	return g.server.Shutdown(ctx)
}

// refuseBeyondStop returns the problem of a call that a stop could end before its deadline; nil
// for other calls. Another gateway can take it.
func (g *Gateway) refuseBeyondStop(c *call) *Problem {
	if by := g.stopDeadline.Load(); by != nil && c.deadline.After(*by) {
		return retryProblem(string(admission.ReasonHandedBack), "the gateway stops before the request's deadline")
	}
	return nil
}

// stopEnds reports whether a stop has cancelled a request's context.
func stopEnds(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopEnds) }

// handedBackProblem is the problem of a call that a stopping gateway has not run.
func handedBackProblem() *Problem {
	return retryProblem(string(admission.ReasonHandedBack), "the gateway is stopping")
}

// stoppedProblem is the problem of a call that may have run when a stop ended it.
func stoppedProblem() *Problem {
	return newProblem(http.StatusGatewayTimeout, "gateway_stopped", ExecutionUnknown, "%v", errStopEnds)
}
