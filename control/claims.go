package control

import (
	"errors"
	"sync"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
)

const (
	// claimBatches is the number of commands of claims that are under way at once. Claims
	// that come while all are under way share the next command.
	claimBatches = 4
	// claimBatchSteps and claimBatchBytes bound a command of claims; bytes counts answers.
	claimBatchSteps = 256
	claimBatchBytes = 256 << 10
)

// claimQueue joins claims and completions that are waiting into one command.
type claimQueue struct {
	slots chan struct{}

	mu   sync.Mutex
	next *claimBatch
}

// claimBatch is one command. outcomes is valid once done is closed.
type claimBatch struct {
	steps    []state.ClaimStep
	bytes    int
	done     chan struct{}
	outcomes []claimOutcome
}

// claimOutcome is the reply to one step; it is nil for a completion.
type claimOutcome struct {
	reply *api.ClaimReply
	err   error
}

func newClaimQueue() *claimQueue {
	return &claimQueue{slots: make(chan struct{}, claimBatches)}
}

// join adds a step to the next batch and returns its place there. The caller with place
// 0 must run the batch.
func (q *claimQueue) join(step state.ClaimStep) (b *claimBatch, place int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = &claimBatch{done: make(chan struct{})}
	}
	b, place = q.next, len(q.next.steps)
	b.steps = append(b.steps, step)
	if step.Complete != nil && step.Complete.Answer != nil {
		b.bytes += len(step.Complete.Answer.Body)
	}
	if len(b.steps) >= claimBatchSteps || b.bytes >= claimBatchBytes {
		q.next = nil
	}
	return b, place
}

// close ends a batch's growth.
func (q *claimQueue) close(b *claimBatch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == b {
		q.next = nil
	}
}

// proposeClaim commits one step, in a command with others that wait, and returns the
// reply to a claim. It returns only after the commit, so a granted claim is durable.
func (s *Server) proposeClaim(step state.ClaimStep) (*api.ClaimReply, error) {
	b, place := s.claims.join(step)
	if place == 0 {
		s.claims.slots <- struct{}{}
		s.claims.close(b)
		b.outcomes = s.commitClaims(b.steps)
		<-s.claims.slots
		close(b.done)
	}
	<-b.done
	return b.outcomes[place].reply, b.outcomes[place].err
}

// commitClaims commits steps in one command. When that is too large for the log, which
// then has taken nothing, each step goes alone, so that only the large ones are refused.
func (s *Server) commitClaims(steps []state.ClaimStep) []claimOutcome {
	result, err := s.propose(&state.Command{Claims: steps})
	if err == nil && len(result.Claims) != len(steps) {
		err = errors.New(result.Refused)
	}
	out := make([]claimOutcome, len(steps))
	for i := range steps {
		switch {
		case errors.Is(err, ErrTooLarge) && len(steps) > 1:
			out[i] = s.commitClaims(steps[i : i+1])[0]
		case err != nil:
			out[i].err = err
		default:
			out[i].reply = result.Claims[i]
		}
	}
	return out
}
