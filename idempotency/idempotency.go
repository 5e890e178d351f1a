// Package idempotency decides which dispatch of a request with an Idempotency-Key may run.
// It has no clock and no storage: the caller supplies the time and makes the table durable
// before it answers.
package idempotency

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
)

// Record is one claim. State is ClaimGranted while its dispatch may be running.
type Record struct {
	BodyDigest string
	Owner      instance.ID
	Target     endpoint.Endpoint
	Dispatch   dispatch.ID
	State      api.ClaimState
	Answer     *dispatch.StoredAnswer
	TTL        time.Duration
	// Expires is when a settled claim may be removed. A claim is settled once its State is no
	// longer ClaimGranted.
	Expires time.Time
}

// Table holds the claims of a deployment. Its zero value is ready for use; callers
// serialize access.
type Table struct {
	// Records is keyed by account, then by key.
	Records map[string]map[string]*Record
	// bytes is the sum of the sizes of the records. Measure sets it after Records was decoded.
	bytes int
}

// recordOverhead is the size of a record in bytes beside its texts and its answer, in memory and
// encoded.
const recordOverhead = 400

// size estimates the size of a record in bytes.
func (r *Record) size() int {
	return recordOverhead + len(r.BodyDigest) + len(r.Owner) + len(r.Target.ID) + len(r.Target.Address) + r.Answer.ContentBytes()
}

// Measure computes the size of a table whose Records were decoded.
func (t *Table) Measure() {
	t.bytes = 0
	for _, keys := range t.Records {
		for _, r := range keys {
			t.bytes += r.size()
		}
	}
}

// Bytes returns the size of the table in bytes, as an estimate.
func (t *Table) Bytes() int { return t.bytes }

// Holds reports whether the table has a claim for the key of an account.
func (t *Table) Holds(account, key string) bool { return t.lookup(account, key) != nil }

// AliveFunc reports whether a gateway incarnation still holds its lease.
type AliveFunc func(owner instance.ID, incarnation instance.Incarnation) bool

// Claim grants the claim to the dispatch that c names, or returns the state that prevents
// it. A claim moves to another dispatch only when c.Previous names the present one, for
// which the caller has proof that it did not run.
func (t *Table) Claim(now time.Time, c *api.Claim, alive AliveFunc) api.ClaimReply {
	r := t.lookup(c.Account, c.Key)
	if r == nil || r.isExpired(now) {
		t.store(c.Account, c.Key, newRecord(now, c))
		return api.ClaimReply{State: api.ClaimGranted, Owner: c.Owner, OwnerAlive: true, Target: c.Target, Dispatch: c.Dispatch}
	}
	if r.BodyDigest != c.BodyDigest {
		return api.ClaimReply{State: api.ClaimConflict}
	}
	switch {
	case r.State != api.ClaimGranted:
		return r.reply(r.State, alive)
	case r.Dispatch == c.Dispatch:
		// A retry after a lost reply.
		return r.reply(api.ClaimGranted, alive)
	case c.Previous != nil && *c.Previous == r.Dispatch:
		t.bytes -= r.size()
		r.Owner, r.Target, r.Dispatch = c.Owner, c.Target, c.Dispatch
		t.bytes += r.size()
		return r.reply(api.ClaimGranted, alive)
	}
	return r.reply(api.ClaimRunning, alive)
}

// Complete stores the outcome of a claim's present dispatch and reports whether the table
// changed. State ClaimGranted releases a running claim. Outcomes of earlier dispatches are
// ignored, a stored answer is final, and an unknown outcome can only become done.
func (t *Table) Complete(now time.Time, c *api.CompleteClaim) bool {
	r := t.lookup(c.Account, c.Key)
	if r == nil || r.Dispatch != c.Dispatch || r.State == api.ClaimDone {
		return false
	}
	switch c.State {
	case api.ClaimGranted:
		if r.State != api.ClaimGranted {
			return false
		}
		t.remove(c.Account, c.Key)
		return true
	case api.ClaimDone:
		t.bytes -= r.size()
		r.Answer = c.Answer
		t.bytes += r.size()
	case api.ClaimUnknown:
		if r.State == api.ClaimUnknown {
			return false
		}
	default:
		return false
	}
	r.State = c.State
	r.Expires = now.Add(r.TTL)
	return true
}

// Sweep removes settled claims past their time to live and returns the number of claims
// changed. A claim that is still running after that time and whose owner's lease has ended
// becomes unknown, so that its key cannot run again for another time to live.
func (t *Table) Sweep(now time.Time, alive AliveFunc) (changed int) {
	for account, keys := range t.Records {
		for key, r := range keys {
			switch {
			case r.isExpired(now):
				t.remove(account, key)
				changed++
			case r.isAbandoned(now, alive):
				r.State = api.ClaimUnknown
				r.Expires = now.Add(r.TTL)
				changed++
			}
		}
	}
	return changed
}

// Len returns the number of claims.
func (t *Table) Len() int {
	n := 0
	for _, keys := range t.Records {
		n += len(keys)
	}
	return n
}

func (t *Table) lookup(account, key string) *Record { return t.Records[account][key] }

func (t *Table) store(account, key string, r *Record) {
	if t.Records == nil {
		t.Records = make(map[string]map[string]*Record)
	}
	if t.Records[account] == nil {
		t.Records[account] = make(map[string]*Record)
	}
	if former := t.Records[account][key]; former != nil {
		t.bytes -= former.size()
	}
	t.Records[account][key] = r
	t.bytes += r.size()
}

func (t *Table) remove(account, key string) {
	if r := t.lookup(account, key); r != nil {
		t.bytes -= r.size()
	}
	delete(t.Records[account], key)
	if len(t.Records[account]) == 0 {
		delete(t.Records, account)
	}
}

func newRecord(now time.Time, c *api.Claim) *Record {
	return &Record{
		BodyDigest: c.BodyDigest,
		Owner:      c.Owner,
		Target:     c.Target,
		Dispatch:   c.Dispatch,
		State:      api.ClaimGranted,
		TTL:        c.TTL,
		Expires:    now.Add(c.TTL),
	}
}

// isExpired reports whether a settled claim is past its time to live. A running claim never
// expires, because its request may run longer than that.
func (r *Record) isExpired(now time.Time) bool {
	return r.State != api.ClaimGranted && now.After(r.Expires)
}

// isAbandoned reports whether a running claim is past its time to live and its owner's lease
// has ended.
func (r *Record) isAbandoned(now time.Time, alive AliveFunc) bool {
	return r.State == api.ClaimGranted && now.After(r.Expires) && !alive(r.Owner, r.Dispatch.Gateway)
}

func (r *Record) reply(state api.ClaimState, alive AliveFunc) api.ClaimReply {
	return api.ClaimReply{
		State:      state,
		Owner:      r.Owner,
		OwnerAlive: alive(r.Owner, r.Dispatch.Gateway),
		Target:     r.Target,
		Dispatch:   r.Dispatch,
		Answer:     r.Answer,
	}
}
