package gateway

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"toucantiller.dev/admission"
	"toucantiller.dev/budget"
	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

const (
	// renewalsPerLease is the number of renewals in the time of a lease, so that some may be lost.
	renewalsPerLease = 8
	// minRenewalInterval and maxRenewalInterval bound the time between renewals. The shorter one applies
	// while the leader is away or what callers ask for shifts.
	minRenewalInterval = 250 * time.Millisecond
	maxRenewalInterval = time.Second
	// renewalTimeout bounds one renewal.
	renewalTimeout = 500 * time.Millisecond
)

// budgetLeases keeps this gateway's lease on shares of the accounts' limits and spends calls' tokens from
// it.
type budgetLeases struct {
	budgets  Budgets
	self     instance.Instance
	duration time.Duration
	wallets  *wallets
	metrics  *metrics
	logger   log.Logger
	// inBackground runs a task that outlives its call.
	inBackground func(task func(ctx context.Context))
	// base is a moment on the clock that counts time in suspend, and baseTime what now returned then.
	base     uptime.Instant
	baseTime time.Time
	draws    draws

	// early asks for a renewal at once.
	early chan struct{}

	// away is set while the leader cannot be reached. It changes with the wallets and awaySince, which is when
	// that began, under mu.
	away      atomic.Bool
	mu        sync.Mutex
	awaySince time.Time
}

// newLeases prepares leases on the accounts' limits, if the options ask for them.
func (g *Gateway) newLeases(m metric.Meter) error {
	if g.opt.BudgetLease <= 0 || g.opt.Budgets == nil {
		return nil
	}
	g.leases = &budgetLeases{
		budgets: g.opt.Budgets, self: g.opt.Instance, duration: g.opt.BudgetLease, wallets: &g.wallets, metrics: g.metrics, logger: g.opt.Logger,
		inBackground: func(task func(context.Context)) { g.tasks.Go(func() { task(g.taskCtx) }) },
		base:         uptime.Now(), baseTime: time.Now(), early: make(chan struct{}, 1),
	}
	return registerLeases(m, g.leases)
}

// keepLeases renews the lease in the background until the gateway stops. Wallets are there before the
// first request comes.
func (g *Gateway) keepLeases() {
	if g.leases == nil {
		return
	}
	g.tasks.Go(func() {
		g.leases.keep(g.taskCtx, func() {
			if g.opt.View.Config() != nil {
				g.currentRouting()
			}
		})
	})
}

// budgetNow returns the time for wallets; now is that of the clock.
func (g *Gateway) budgetNow(now time.Time) time.Time {
	if g.leases == nil {
		return now
	}
	return g.leases.now()
}

// now returns the time on a clock that counts time in suspend: a lease ends also while the machine sleeps.
func (l *budgetLeases) now() time.Time { return l.baseTime.Add(uptime.Now().Sub(l.base)) }

// returnID numbers the returns of a gateway; the numbers rise also over its restarts.
func returnID(now time.Time) uint64 { return uint64(now.UnixNano()) } //nolint:gosec // after 1970

// keep renews the lease until ctx ends. prepare is called first each time.
func (l *budgetLeases) keep(ctx context.Context, prepare func()) {
	ticker := time.NewTicker(minRenewalInterval)
	defer ticker.Stop()
	interval := min(max(l.duration/renewalsPerLease, minRenewalInterval), maxRenewalInterval)
	var last time.Time
	for {
		prepare()
		now := l.now()
		if l.wallets.endLease(now) {
			l.metrics.leasesExpired.increment()
			_ = l.logger.Log("msg", "budget lease ended", "away", l.away.Load())
		}
		// The ticker may be early by a little.
		if l.away.Load() || now.Sub(last) > interval-minRenewalInterval/2 || l.wallets.shifted(now) {
			last = now
			l.renew(ctx, now)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.early:
		case <-ticker.C:
		}
	}
}

// renew asks the leader for a lease in place of the one held.
func (l *budgetLeases) renew(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	in := l.wallets.renewal(now)
	in.Gateway, in.Incarnation, in.Duration, in.ReturnID = l.self.ID, l.self.Incarnation, l.duration, returnID(now)
	out, err := l.budgets.RenewBudget(ctx, in)
	if err != nil {
		l.lose(ctx, "renewal", err)
		return
	}
	if out.Duration > 0 {
		l.metrics.leasesRenewed.increment()
		l.wallets.hold(&out.Grant, now, l.now())
	}
	l.reach()
}

// lose records that the leader does not answer. Calls are then decided without it until a renewal
// succeeds.
func (l *budgetLeases) lose(ctx context.Context, step string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !unanswered(ctx, err) || l.away.Load() {
		return
	}
	now := l.now()
	l.awaySince = now
	left := l.wallets.setAway(true, now)
	l.away.Store(true)
	select {
	case l.early <- struct{}{}:
	default:
	}
	_ = l.logger.Log("msg", "budget leader away, spending the lease", "step", step, "left", left, "err", err)
}

// unanswered reports whether a call failed because the leader did not answer it: an error of the leader
// itself is an answer, and the gateway's own stop says nothing about the leader.
func unanswered(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return !errors.Is(ctx.Err(), context.Canceled)
	}
	var answer rpc.ServerError
	return !errors.As(err, &answer)
}

// reach records that the leader answers.
func (l *budgetLeases) reach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.away.Load() {
		return
	}
	now := l.now()
	left := l.wallets.setAway(false, now)
	l.away.Store(false)
	_ = l.logger.Log("msg", "budget leader back", "away", now.Sub(l.awaySince), "left", left)
}

// spend charges a call's cost to its account's wallet, or refuses the call. It waits for a draw only for
// a part of the call's time.
func (l *budgetLeases) spend(ctx context.Context, c *call, w *budget.Wallet) *admission.Refusal {
	cost := float64(c.cost)
	ok, draw, _, wait := w.Take(cost, l.now())
	if draw {
		ok, wait = l.drawFor(ctx, c, w)
	}
	if ok {
		return nil
	}
	if l.away.Load() {
		l.metrics.refusedAway.increment()
	}
	return refuseRate(c, wait)
}

// drawFor draws tokens for a call together with others, and charges the call's cost.
func (l *budgetLeases) drawFor(ctx context.Context, c *call, w *budget.Wallet) (ok bool, wait time.Duration) {
	cost, name := float64(c.cost), c.account.Name
	d, start := l.draws.join(name, w, cost)
	if start {
		l.inBackground(func(ctx context.Context) { l.runDraws(ctx, name, d) })
	}
	timer := time.NewTimer(drawWait(c, time.Now()))
	defer timer.Stop()
	answered := false
	select {
	case <-d.done:
		answered = d.err == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	ok, wait = w.TakeDrawn(cost, l.now())
	if answered && d.wait > 0 {
		wait = min(wait, d.wait)
	}
	return ok, wait
}
