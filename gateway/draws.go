package gateway

import (
	"context"
	"sync"
	"time"

	"toucantiller.dev/budget"
	"toucantiller.dev/control/api"
)

// draws joins the draws of calls of one account: while one is in flight, others wait for the next.
type draws struct {
	mu sync.Mutex
	// byAccount holds the draw in flight of each account that has one.
	byAccount map[string]*draw
}

// draw is one draw for the calls that wait for it. Only next changes once it is in flight; the outcome is
// set before done is closed.
type draw struct {
	wallet *budget.Wallet
	// cost is that of all calls, least that of the first one.
	cost, least float64
	// next waits for this one; it is nil if no call came meanwhile.
	next *draw
	done chan struct{}
	// wait is the time until tokens may be granted, if none were.
	wait time.Duration
	err  error
}

// join returns the draw that gets a call its tokens. start is set if the caller must run it.
func (s *draws) join(account string, w *budget.Wallet, cost float64) (d *draw, start bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAccount == nil {
		s.byAccount = make(map[string]*draw)
	}
	running := s.byAccount[account]
	if running == nil {
		d = &draw{wallet: w, cost: cost, least: cost, done: make(chan struct{})}
		s.byAccount[account] = d
		return d, true
	}
	if running.next == nil {
		running.next = &draw{wallet: w, least: cost, done: make(chan struct{})}
	}
	running.next.cost += cost
	return running.next, false
}

// finish publishes the outcome of a draw and returns the one to run next. After a failure there is none:
// the calls that wait share the outcome.
func (s *draws) finish(account string, d *draw) *draw {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := d.next
	if next != nil && d.err != nil {
		next.err = d.err
		close(next.done)
		next = nil
	}
	close(d.done)
	if next == nil {
		delete(s.byAccount, account)
		return nil
	}
	s.byAccount[account] = next
	return next
}

// runDraws runs a draw of an account and those that calls wait for afterwards.
func (l *budgetLeases) runDraws(ctx context.Context, account string, d *draw) {
	for d != nil {
		l.runDraw(ctx, account, d)
		d = l.draws.finish(account, d)
	}
}

func (l *budgetLeases) runDraw(ctx context.Context, account string, d *draw) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	now := l.now()
	want := d.wallet.Missing(d.cost, now)
	if want <= 0 {
		return
	}
	grant, err := l.budgets.DrawBudget(ctx, &api.DrawBudget{
		Gateway: l.self.ID, Account: account, Want: want, Least: min(want, d.least), Returned: d.wallet.Returns(now), ReturnID: returnID(now),
	})
	if err != nil {
		d.err = err
		l.lose(ctx, "draw", err)
		return
	}
	d.wallet.Credit(grant.Tokens, l.now())
	d.wait = grant.Wait
}

const (
	// drawWaitShare is the part of a call's time that it waits for a draw.
	drawWaitShare = 1.0 / 8
	// minDrawWait leaves time for some round trips to the leader.
	minDrawWait = 10 * time.Millisecond
)

// drawWait returns how long a call may wait for a draw. The time of a call whose objective has passed ends
// with its deadline.
func drawWait(c *call, now time.Time) time.Duration {
	until := c.deadline
	if c.objective.After(now) && c.objective.Before(until) {
		until = c.objective
	}
	return min(drawTimeout, max(minDrawWait, time.Duration(drawWaitShare*float64(until.Sub(now)))))
}
