package budget

import (
	"time"

	"toucantiller.dev/instance"
)

// LeaseTerms are the terms on which a leader leases shares of the limits to gateways.
type LeaseTerms struct {
	// Term is the leader's term. Those of later leaders are higher.
	Term uint64
	// Duration is the longest time for which a lease is granted.
	Duration time.Duration
	// Longest is the longest time for which an earlier leader may have granted one.
	Longest time.Duration
	// Overlap is the time for which an earlier leader may still grant leases.
	Overlap time.Duration
	// MessageLife is the time after which a message that was sent no longer arrives.
	MessageLife time.Duration
}

const (
	// leasableShare is the part of the limits that is leased at most. The rest is for draws.
	leasableShare = 0.9
	// evenShare is the part of what is leased that all gateways have alike, whatever they ask for.
	evenShare = 0.2
	// leasedBurst is the part of the burst that leases carry, so that wallets keep it. The pool has
	// the rest.
	leasedBurst = 0.6
)

// The parts of the tolerance's slack with leases. The rest covers gateways whose lease has ended and
// two leaders that grant draws at a time.
const (
	// leasedGrantedSlack is what the burst is widened by.
	leasedGrantedSlack = 0.3
	// leasedInitialSlack is what a new pool starts with.
	leasedInitialSlack = 0.15
	// overdraftSlack is what wallets together may spend in advance while they cannot draw: a share of
	// a limit may never hold the tokens of one request.
	overdraftSlack = 0.4
)

// endMargin is the part of a lease's duration by which its holder ends it before the leader does, as
// their clocks may differ in speed.
const endMargin = 1.0 / 16

// minAsked is the rate in tokens a second below which an account counts as idle at a gateway.
const minAsked = 1

// widenLeased returns the limit plus the part of the tolerance that pool and leases grant together.
func (t Tolerance) widenLeased(limit Limit) Limit {
	factor := 1 + grantedOverrun*t.Overrun
	return Limit{Rate: factor * limit.Rate, Burst: factor*limit.Burst + leasedGrantedSlack*t.Slack}
}

// overdraft returns what a gateway may spend in advance of each account while it cannot draw; share is that of
// the accounts that its grant does not list.
func (t Tolerance) overdraft(share float64) float64 {
	return overdraftSlack * t.Slack * share / leasableShare
}

// Shares are parts of the accounts' limits, in [0,1].
type Shares struct {
	// Other is the share of each account that Accounts does not list.
	Other    float64
	Accounts map[string]float64
}

// Of returns the share of an account.
func (s Shares) Of(account string) float64 {
	if share, ok := s.Accounts[account]; ok {
		return share
	}
	return s.Other
}

// Held is what a gateway holds on lease.
type Held struct {
	// Term and Seq identify the grant; Term is 0 if nothing is held.
	Term, Seq uint64
	// Left is the time until the lease ends at the gateway.
	Left   time.Duration
	Shares Shares
}

// Renewal asks for a lease on shares of all accounts' limits, in place of what is held.
type Renewal struct {
	Gateway     instance.ID
	Incarnation instance.Incarnation
	// Duration is the time for which the gateway asks.
	Duration time.Duration
	Held     Held
	// Asked is the rate, in tokens a second, that callers of the gateway lately asked for, by account.
	// It leaves out accounts for which there were none.
	Asked map[string]float64
	// Cost is the mean cost of a request, in tokens, for the accounts in Asked.
	Cost map[string]float64
}

// Grant is a lease on shares of all accounts' limits. The holder of an earlier one of the same
// leader replaces it.
type Grant struct {
	Term, Seq uint64
	// Duration is counted by the holder from when it asked; 0 means that nothing was granted.
	Duration time.Duration
	Shares   Shares
	// Tolerance is that of the leader.
	Tolerance Tolerance
}

// Lease returns the account's lease under a grant that was asked for at a time.
func (g *Grant) Lease(account string, asked time.Time) Lease {
	return Lease{
		Share:     g.Shares.Of(account),
		Overdraft: g.Tolerance.overdraft(g.Shares.Other),
		Tolerance: g.Tolerance,
		End:       g.End(asked),
	}
}

// End returns when the grant ends at its holder, which asked for it at a time.
func (g *Grant) End(asked time.Time) time.Time {
	return asked.Add(g.Duration - time.Duration(endMargin*float64(g.Duration)))
}

// Lease is a share of an account's limit that a wallet spends without drawing.
type Lease struct {
	// Share is the part of the limit, in [0,1].
	Share float64
	// Overdraft is the number of tokens that the wallet may spend in advance while it cannot draw.
	Overdraft float64
	Tolerance Tolerance
	End       time.Time
}

// rate returns the tokens a second that the lease gives of a limit.
func (l *Lease) rate(limit Limit) float64 { return l.Share * l.Tolerance.widenLeased(limit).Rate }

// burst returns the tokens that the wallet may keep.
func (l *Lease) burst(limit Limit) float64 {
	return burstPart(l.Share) * l.Tolerance.widenLeased(limit).Burst
}

// burstPart returns the part of a burst that a leased share carries.
func burstPart(share float64) float64 { return leasedBurst * share / leasableShare }
