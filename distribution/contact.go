package distribution

import (
	"context"
	"slices"
	"time"
)

// contactDelay is how long a candidate may take to answer before the next one is called
// too. An answer takes a few round trips; regions are some 100 ms apart.
const contactDelay = 200 * time.Millisecond

// contact is one search for a candidate that answers with a fresh view.
type contact struct {
	s       *Subscriber
	waiting []candidate
	called  []candidate
	// tried holds every address called: two replicas that name each other as the leader
	// must not be called without end.
	tried   []string
	answers chan answer
}

// answer is what a candidate said to a first call.
type answer struct {
	from   candidate
	leader string
	err    error
}

// find calls the waiting candidates in order until one answers with a fresh view. A
// candidate that is silent does not hold up the next: with one call after the other, a
// process that is cut off from five control replicas waited for 5.5 s before it reached
// a peer. find gives up when no candidate is left or the directory is no longer listed,
// so that the list must be made anew.
func (f *contact) find(ctx context.Context, changed func() bool) (candidate, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.answers = make(chan answer)
	next := time.NewTimer(0)
	defer next.Stop()
	for len(f.waiting) > 0 || len(f.called) > 0 {
		select {
		case <-ctx.Done():
			return candidate{}, false
		case <-next.C:
			if f.callNext(ctx) {
				next.Reset(contactDelay)
			}
		case a := <-f.answers:
			f.called = slices.DeleteFunc(f.called, func(c candidate) bool { return c == a.from })
			if f.s.usable(a) {
				f.returnCalled()
				return a.from, true
			}
			if changed() {
				return candidate{}, false
			}
			f.redirect(a.leader)
			next.Reset(0)
		}
	}
	return candidate{}, false
}

// callNext calls the first waiting candidate.
func (f *contact) callNext(ctx context.Context) bool {
	if len(f.waiting) == 0 {
		return false
	}
	c := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.called = append(f.called, c)
	f.tried = append(f.tried, c.address)
	call := f.s.newCall(c, 0)
	// A call that outlives this search must not answer in the next one.
	answers := f.answers
	go func() {
		leader, err := call(ctx)
		select {
		case answers <- answer{from: c, leader: leader, err: err}:
		case <-ctx.Done():
		}
	}()
	return true
}

// redirect puts the leader that a control replica named first.
func (f *contact) redirect(leader string) {
	c := candidate{address: leader, control: true}
	if leader == "" || f.s.failedLately(leader) || slices.Contains(f.tried, leader) {
		return
	}
	f.s.leader = leader
	f.waiting = slices.DeleteFunc(f.waiting, func(w candidate) bool { return w == c })
	f.waiting = slices.Insert(f.waiting, 0, c)
}

// returnCalled makes candidates that have not answered yet wait behind the others.
func (f *contact) returnCalled() {
	f.waiting = append(f.waiting, f.called...)
	f.called = nil
}

// WithSeeds returns the recorded control replicas, followed by the seeds that are not
// among them: a process must find control both after the seeds were replaced and after
// the record became old.
func WithSeeds(recorded, seeds []string) []string {
	out := slices.Clone(recorded)
	for _, s := range seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
