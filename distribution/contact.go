package distribution

import (
	"context"
	"slices"
	"time"

	"toucantiller.dev/instance"
)

// nextCallDelay is how long a candidate may take to answer before the next one is called
// as well. An answer takes a few round trips of about 100 ms between regions.
const nextCallDelay = 200 * time.Millisecond

// candidateSearch looks for a candidate that answers with a fresh view.
type candidateSearch struct {
	s       *Subscriber
	waiting []candidate
	called  []candidate
	// tried holds every address called. It breaks the loop between two replicas that
	// redirect to each other as the leader.
	tried   []string
	answers chan answer
}

// answer is the outcome of a call to a candidate. leader is set when a control replica that
// does not lead redirects to the one that does. path is the view's path.
type answer struct {
	from   candidate
	leader string
	path   []instance.ID
	err    error
}

// departure returns why the sender of an answer that was not accepted is left.
func (a answer) departure(self instance.ID) departure {
	switch {
	case a.err != nil:
		return departureFailed
	case a.leader != "":
		return departureRedirect
	case slices.Contains(a.path, self):
		return departureLoop
	}
	return departureStale
}

// find calls the waiting candidates in order until one answers with a fresh view. Calls
// overlap, because sequential calls took 5.5 s to reach a peer for a process cut off from
// five control replicas. find gives up when no candidate is left, or when changed reports
// that the directory behind the list of candidates has been replaced.
func (f *candidateSearch) find(ctx context.Context, changed func() bool) (answer, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.answers = make(chan answer)
	next := time.NewTimer(0)
	defer next.Stop()
	for len(f.waiting) > 0 || len(f.called) > 0 {
		select {
		case <-ctx.Done():
			return answer{}, false
		case <-next.C:
			if f.callNext(ctx) {
				next.Reset(nextCallDelay)
			}
		case a := <-f.answers:
			f.called = slices.DeleteFunc(f.called, func(c candidate) bool { return c == a.from })
			if f.s.checkAnswer(a) {
				f.requeueCalled()
				return a, true
			}
			if changed() {
				return answer{}, false
			}
			f.redirect(a.leader)
			next.Reset(0)
		}
	}
	return answer{}, false
}

// callNext starts a call to the first waiting candidate and reports whether there was one.
func (f *candidateSearch) callNext(ctx context.Context) bool {
	if len(f.waiting) == 0 {
		return false
	}
	c := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.called = append(f.called, c)
	f.tried = append(f.tried, c.address)
	call := f.s.newCall(c, 0)
	// A call that outlives this search must not deliver its answer to the next one.
	answers := f.answers
	go func() {
		a := call(ctx)
		select {
		case answers <- a:
		case <-ctx.Done():
		}
	}()
	return true
}

// redirect moves the leader named by a control replica to the head of the waiting
// candidates, unless it failed recently or was called before.
func (f *candidateSearch) redirect(leader string) {
	c := candidate{address: leader, control: true}
	if leader == "" || f.s.failedRecently(leader) || slices.Contains(f.tried, leader) {
		return
	}
	f.s.leader = leader
	f.waiting = slices.DeleteFunc(f.waiting, func(w candidate) bool { return w == c })
	f.waiting = slices.Insert(f.waiting, 0, c)
}

// requeueCalled moves candidates that have not answered yet to the end of the waiting ones.
func (f *candidateSearch) requeueCalled() {
	f.waiting = append(f.waiting, f.called...)
	f.called = nil
}

// WithSeeds returns the recorded control replicas, followed by the seeds that are not
// among them. A process must find control both when the replicas in its settings have been
// replaced and when the record is out of date.
func WithSeeds(recorded, seeds []string) []string {
	out := slices.Clone(recorded)
	for _, s := range seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
