package budget

import (
	"errors"
	"maps"
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
	seq     uint64
	expired uint64
}

// holder is a gateway with leases. It uses one of its grants at a time.
type holder struct {
	incarnation instance.Incarnation
	grants      []grant
	asked       map[string]float64
}

// grant is a lease that a gateway uses or may come to use.
type grant struct {
	// seq is 0 for one that an earlier leader granted.
	seq    uint64
	end    time.Time
	shares Shares
}

// newLedger returns the ledger of a new leader; fleet are the gateways to which earlier ones may have
// granted leases.
func newLedger(terms LeaseTerms, fleet Fleet, now time.Time) *ledger {
	return &ledger{terms: terms, began: now, unheard: maps.Clone(fleet), holders: make(map[instance.ID]*holder)}
}

// reserved returns the share of an account's limit that may be held on lease.
func (l *ledger) reserved(account string) float64 {
	sum := l.reservedByOthers(account, "")
	if len(l.unheard) > 0 {
		return max(sum, leasableShare)
	}
	return sum
}

// reservedByOthers returns the share of an account's limit that gateways other than the given one
// are known to hold.
func (l *ledger) reservedByOthers(account string, gateway instance.ID) float64 {
	sum := 0.0
	for id, h := range l.holders {
		if id != gateway {
			sum += h.reserved(account)
		}
	}
	return sum
}

// reserved returns the largest share that the holder may have of an account's limit.
func (h *holder) reserved(account string) float64 {
	share := 0.0
	for i := range h.grants {
		share = max(share, h.grants[i].shares.Of(account))
	}
	return share
}

// expire forgets the leases that have ended, and the gateways whose leases of earlier leaders must have
// ended by now.
func (l *ledger) expire(now time.Time) {
	for id, h := range l.holders {
		h.drop(func(g *grant) bool { return now.After(g.end) })
		if len(h.grants) == 0 {
			delete(l.holders, id)
			l.expired++
		}
	}
	if now.Sub(l.began) > l.terms.Longest+l.terms.Overlap {
		clear(l.unheard)
	}
}

// settle forgets the gateways that hold no leases of earlier leaders, as they are no longer registered:
// registrations outlive leases, and a process has ended when another registers in its place.
func (l *ledger) settle(fleet Fleet) {
	for id, incarnation := range l.unheard {
		if current, ok := fleet[id]; !ok || current != incarnation {
			delete(l.unheard, id)
		}
	}
}

// drop removes the grants that match.
func (h *holder) drop(match func(*grant) bool) {
	kept := h.grants[:0]
	for i := range h.grants {
		if !match(&h.grants[i]) {
			kept = append(kept, h.grants[i])
		}
	}
	clear(h.grants[len(kept):])
	h.grants = kept
}

// renew grants a lease for at most a duration.
func (l *ledger) renew(r *Renewal, fleet Fleet, longest time.Duration, now time.Time) (Grant, error) {
	if r.Held.Term > l.terms.Term {
		return Grant{}, ErrSuperseded
	}
	h := l.holders[r.Gateway]
	if h != nil && r.Incarnation < h.incarnation {
		return Grant{}, ErrReplaced
	}
	if h == nil || r.Incarnation > h.incarnation {
		h = &holder{incarnation: r.Incarnation}
		l.holders[r.Gateway] = h
	}
	l.learn(h, r, now)
	shares := l.shares(r, fleet)
	l.seq++
	duration := min(r.Duration, l.terms.Duration, longest)
	// An earlier leader must not pass on what a later one has renewed.
	h.grants = append(h.grants, grant{seq: l.seq, end: now.Add(duration + l.terms.Overlap), shares: shares})
	return Grant{Term: l.terms.Term, Seq: l.seq, Duration: duration, Shares: shares}, nil
}

// learn takes over what a gateway tells about itself.
func (l *ledger) learn(h *holder, r *Renewal, now time.Time) {
	h.asked = r.Asked
	switch {
	case r.Held.Term == l.terms.Term:
		// The holder does not return to a grant before the one that it uses.
		h.drop(func(g *grant) bool { return g.seq < r.Held.Seq })
	case r.Held.Term > 0 && r.Held.Left > 0:
		h.grants = append(h.grants, grant{end: now.Add(r.Held.Left + l.terms.Overlap), shares: r.Held.Shares})
	}
	// What was sent while an earlier leader could grant leases may be out of date.
	if now.Sub(l.began) > l.terms.Overlap+l.terms.MessageLife {
		delete(l.unheard, r.Gateway)
	}
}

// shares decides what a gateway gets. Accounts that no gateway has told about are shared evenly.
func (l *ledger) shares(r *Renewal, fleet Fleet) Shares {
	gateways := float64(max(len(fleet), len(l.holders)))
	even := leasableShare / gateways
	out := Shares{Other: l.available("", even, r), Accounts: make(map[string]float64)}
	for account, total := range l.demand() {
		target := even
		if total > 0 {
			target = evenShare*even + (1-evenShare)*leasableShare*r.Asked[account]/total
		}
		if share := l.available(account, target, r); share != out.Other {
			out.Accounts[account] = share
		}
	}
	return out
}

// demand returns the rates asked for over all gateways, for the accounts that any gateway has told
// about or has a share of its own of.
func (l *ledger) demand() map[string]float64 {
	out := make(map[string]float64)
	for _, h := range l.holders {
		for account, asked := range h.asked {
			out[account] += asked
		}
		for i := range h.grants {
			for account := range h.grants[i].shares.Accounts {
				out[account] += 0
			}
		}
	}
	return out
}

// available returns how much of a share the gateway may have. Before all leases of earlier leaders
// are known, a gateway keeps what it holds.
func (l *ledger) available(account string, target float64, r *Renewal) float64 {
	free := max(0, leasableShare-l.reservedByOthers(account, r.Gateway))
	if len(l.unheard) == 0 {
		return min(target, free)
	}
	if r.Held.Term == 0 || r.Held.Left <= 0 {
		return 0
	}
	return min(r.Held.Shares.Of(account), free)
}
