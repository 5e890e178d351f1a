package budget

import (
	"errors"
	"maps"
	"math"
	"time"

	"toucantiller.dev/instance"
)

// Fleet maps the gateways that are registered to their incarnations.
type Fleet map[instance.ID]instance.Incarnation

var (
	// ErrSuperseded is returned to a gateway that has a lease of a later leader.
	ErrSuperseded = errors.New("a later leader grants leases")
	// ErrReplaced is returned to a gateway of which a later incarnation has asked for a lease.
	ErrReplaced = errors.New("a later incarnation of the gateway has asked for a lease")
)

// ledger is a leader's record of what is out on lease. For each account, the shares that may be held
// at any moment do not exceed leasableShare in sum. It has no clock and no locks.
type ledger struct {
	terms LeaseTerms
	began time.Time
	// unheard holds the gateways that may hold leases of earlier leaders and have not told what they
	// hold. While there are any, all that is leasable counts as leased.
	unheard Fleet
	holders map[instance.ID]*holder
	// totals is what the holders have and ask for in sum.
	totals  totals
	seq     uint64
	expired uint64
	// expireNext is when leases are next looked at for their end.
	expireNext time.Time
}

// totals are sums over all holders, kept so that a grant takes time by accounts and not by gateways.
type totals struct {
	// other is the sum of the holders' shares of the accounts that they do not list.
	other    float64
	accounts map[string]*accountTotal
}

// accountTotal is what one account adds.
type accountTotal struct {
	// extra is by how much the holders' shares exceed those of accounts that they do not list.
	extra float64
	// asked is the rate asked for, and squares the sum of the squares of each holder's.
	asked, squares float64
	// users is the number of shares and demands in the sums.
	users int
}

// holder is a gateway with leases. It uses one of its grants at a time.
type holder struct {
	incarnation instance.Incarnation
	grants      []grant
	// asked and counted are in the totals; counted are the largest shares of all grants.
	asked   map[string]float64
	counted Shares
}

// grant is a lease that a gateway uses or may come to use.
type grant struct {
	// seq is 0 for one that an earlier leader granted.
	seq    uint64
	end    time.Time
	shares Shares
}

// expireInterval is the least time between two looks for leases that have ended. One that is found late
// counts for longer.
const expireInterval = 100 * time.Millisecond

// shareTolerance is the difference below which two shares count as the same, in spite of rounding.
const shareTolerance = 1e-9

// newLedger returns the ledger of a new leader; fleet are the gateways to which earlier ones may have
// granted leases.
func newLedger(terms LeaseTerms, fleet Fleet, now time.Time) *ledger {
	return &ledger{terms: terms, began: now, unheard: maps.Clone(fleet), holders: make(map[instance.ID]*holder), totals: totals{accounts: make(map[string]*accountTotal)}}
}

// reserved returns the share of an account's limit that may be held on lease.
func (l *ledger) reserved(account string) float64 {
	if len(l.unheard) > 0 {
		return max(l.totals.share(account), leasableShare)
	}
	return l.totals.share(account)
}

// share returns the sum of the holders' shares of an account's limit.
func (t *totals) share(account string) float64 {
	if a := t.accounts[account]; a != nil {
		return t.other + a.extra
	}
	return t.other
}

// add changes an account's sums.
func (t *totals) add(account string, extra, asked float64, users int) {
	a := t.accounts[account]
	if a == nil {
		a = &accountTotal{}
		t.accounts[account] = a
	}
	a.extra += extra
	a.asked += asked
	a.squares += math.Copysign(asked*asked, asked)
	a.users += users
	if a.users == 0 {
		delete(t.accounts, account)
	}
}

// addShares adds a holder's shares; sign is -1 to take them out.
func (t *totals) addShares(s Shares, sign int) {
	t.other += float64(sign) * s.Other
	for account, share := range s.Accounts {
		t.add(account, float64(sign)*(share-s.Other), 0, sign)
	}
}

// addAsked adds what a holder's callers ask for; sign is -1 to take it out.
func (t *totals) addAsked(asked map[string]float64, sign int) {
	for account, rate := range asked {
		t.add(account, 0, float64(sign)*rate, sign)
	}
}

// recount brings a holder's grants into the totals.
func (l *ledger) recount(h *holder) {
	l.totals.addShares(h.counted, -1)
	h.counted = h.widest()
	l.totals.addShares(h.counted, 1)
}

// remove forgets a holder.
func (l *ledger) remove(id instance.ID) {
	h := l.holders[id]
	l.totals.addShares(h.counted, -1)
	l.totals.addAsked(h.asked, -1)
	delete(l.holders, id)
	if len(l.holders) == 0 {
		l.totals.other = 0 // without what rounding left
	}
}

// widest returns the largest share that the holder may have of each account's limit.
func (h *holder) widest() Shares {
	out := Shares{Accounts: make(map[string]float64)}
	for i := range h.grants {
		out.Other = max(out.Other, h.grants[i].shares.Other)
		for account := range h.grants[i].shares.Accounts {
			out.Accounts[account] = 0
		}
	}
	for account := range out.Accounts {
		for i := range h.grants {
			out.Accounts[account] = max(out.Accounts[account], h.grants[i].shares.Of(account))
		}
	}
	return out
}

// expire forgets the leases that have ended, and the gateways whose leases of earlier leaders must have
// ended by now.
func (l *ledger) expire(now time.Time) {
	if now.Before(l.expireNext) {
		return
	}
	l.expireNext = now.Add(expireInterval)
	for id, h := range l.holders {
		if h.drop(func(g *grant) bool { return now.After(g.end) }) {
			l.recount(h)
		}
		if len(h.grants) == 0 {
			l.remove(id)
			l.expired++
		}
	}
	if now.Sub(l.began) > l.terms.Longest+l.terms.Overlap {
		clear(l.unheard)
	}
}

// forgetUnregistered forgets the gateways that hold no leases of earlier leaders, as they are no longer registered:
// registrations outlive leases, and a process has ended when another registers in its place.
func (l *ledger) forgetUnregistered(fleet Fleet) {
	for id, incarnation := range l.unheard {
		if current, ok := fleet[id]; !ok || current != incarnation {
			delete(l.unheard, id)
		}
	}
}

// drop removes the grants that match and reports whether there were any.
func (h *holder) drop(match func(*grant) bool) bool {
	kept := h.grants[:0]
	for i := range h.grants {
		if !match(&h.grants[i]) {
			kept = append(kept, h.grants[i])
		}
	}
	clear(h.grants[len(kept):])
	dropped := len(kept) < len(h.grants)
	h.grants = kept
	return dropped
}

// renew grants a lease for at most a duration.
func (l *ledger) renew(r *Renewal, fleet Fleet, canSpend spendable, longest time.Duration, now time.Time) (Grant, error) {
	if r.Held.Term > l.terms.Term {
		return Grant{}, ErrSuperseded
	}
	h := l.holders[r.Gateway]
	if h != nil && r.Incarnation < h.incarnation {
		return Grant{}, ErrReplaced
	}
	if h != nil && r.Incarnation > h.incarnation {
		l.remove(r.Gateway)
		h = nil
	}
	if h == nil {
		h = &holder{incarnation: r.Incarnation}
		l.holders[r.Gateway] = h
	}
	l.learn(h, r, now)
	shares := l.shares(r, fleet, canSpend)
	l.seq++
	duration := min(r.Duration, l.terms.Duration, longest)
	// An earlier leader must not pass on what a later one has renewed.
	h.grants = append(h.grants, grant{seq: l.seq, end: now.Add(duration + l.terms.Overlap), shares: shares})
	l.recount(h)
	return Grant{Term: l.terms.Term, Seq: l.seq, Duration: duration, Shares: shares}, nil
}

// learn takes over what a gateway tells about itself.
func (l *ledger) learn(h *holder, r *Renewal, now time.Time) {
	l.totals.addAsked(h.asked, -1)
	h.asked = r.Asked
	l.totals.addAsked(h.asked, 1)
	switch {
	case r.Held.Term == l.terms.Term:
		// The holder does not return to a grant before the one that it uses.
		h.drop(func(g *grant) bool { return g.seq < r.Held.Seq })
	case r.Held.Term > 0 && r.Held.Left > 0:
		h.grants = append(h.grants, grant{end: now.Add(r.Held.Left + l.terms.Overlap), shares: r.Held.Shares})
	}
	l.recount(h)
	// What was sent while an earlier leader could grant leases may be out of date.
	if now.Sub(l.began) > l.terms.Overlap+l.terms.MessageLife {
		delete(l.unheard, r.Gateway)
	}
}

// spendable returns the tokens that a wallet with a share of an account's limit, and another of those that are not
// listed, can spend at once.
type spendable func(account string, share, other float64) float64

// targetShare returns the share of a gateway to which a part of an account's requests come.
func targetShare(even, part float64) float64 {
	return evenShare*even + (1-evenShare)*leasableShare*part
}

// shares decides what a gateway gets. Accounts that no gateway has told about are shared evenly. If the share
// that a mean request meets could not pay for it, the account stays with the pool, which can.
func (l *ledger) shares(r *Renewal, fleet Fleet, canSpend spendable) Shares {
	gateways := float64(max(len(fleet), len(l.holders)))
	even := leasableShare / gateways
	out := Shares{Other: l.available("", even, r), Accounts: make(map[string]float64)}
	for account, total := range l.totals.accounts {
		target := even
		if total.asked > minAsked/2 {
			target = targetShare(even, r.Asked[account]/total.asked)
			if canSpend(account, targetShare(even, total.squares/(total.asked*total.asked)), out.Other) < r.Cost[account] {
				target = 0
			}
		}
		if share := l.available(account, target, r); math.Abs(share-out.Other) > shareTolerance {
			out.Accounts[account] = share
		}
	}
	return out
}

// available returns how much of a share the gateway may have. Before all leases of earlier leaders
// are known, a gateway keeps what it holds.
func (l *ledger) available(account string, target float64, r *Renewal) float64 {
	byOthers := l.totals.share(account) - l.holders[r.Gateway].counted.Of(account)
	free := max(0, leasableShare-byOthers)
	if len(l.unheard) == 0 {
		return min(target, free)
	}
	if r.Held.Term == 0 || r.Held.Left <= 0 {
		return 0
	}
	return min(r.Held.Shares.Of(account), free)
}
