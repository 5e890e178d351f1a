package control

import (
	"errors"
	"sync"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/dispatch"
)

const (
	// maxClaimBatches is the number of claim commands in flight at once. Claims that arrive
	// while all are in flight share the next command.
	maxClaimBatches = 4
	// maxClaimBatchSteps and maxClaimBatchBytes bound one command; bytes counts the bodies of answers.
	maxClaimBatchSteps = 256
	maxClaimBatchBytes = 256 << 10
)

// claimQueue batches waiting claims and completions into one command.
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
	return &claimQueue{slots: make(chan struct{}, maxClaimBatches)}
}

// add adds a step to the next batch and returns its index there. The caller with index
// 0 must commit the batch.
func (q *claimQueue) add(step state.ClaimStep) (b *claimBatch, index int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = &claimBatch{done: make(chan struct{})}
	}
	b, index = q.next, len(q.next.steps)
	b.steps = append(b.steps, step)
	if step.Complete != nil && step.Complete.Answer != nil {
		b.bytes += len(step.Complete.Answer.Body)
	}
	if len(b.steps) >= maxClaimBatchSteps || b.bytes >= maxClaimBatchBytes {
		q.next = nil
	}
	return b, index
}

// close stops a batch from taking more steps.
func (q *claimQueue) close(b *claimBatch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == b {
		q.next = nil
	}
}

// DefaultMaxClaimBytes bounds the claims with their stored answers, in bytes.
const DefaultMaxClaimBytes = 64 << 20

// errClaimsFull is the error of a claim with a new key while the claims have their full size.
var errClaimsFull = errors.New("no space for further Idempotency-Keys")

// checkClaimSpace returns errClaimsFull for a claim that would add a record beyond the bound. The
// claims that are held can still be read, moved and completed. Replicas need not agree on the
// bound, since only the leader checks it.
func (s *Server) checkClaimSpace(in *api.Claim) error {
	full := false
	s.machine.read(func(st *state.State) {
		full = st.ClaimBytes() >= s.opts.MaxClaimBytes && !st.HoldsClaim(in.Account, in.Key)
	})
	if full {
		count(s.counts.claimsRefused, 1)
		return errClaimsFull
	}
	return nil
}

// answerShare is the multiple of MaxClaimBytes that claims take with the answers of those that were
// granted before the bound was reached.
const answerShare = 2

// boundAnswer returns a completion without the body of its answer if the claims have no space for it.
// A repeat of the request then learns that it ran, but not its answer.
func (s *Server) boundAnswer(in *api.CompleteClaim) *api.CompleteClaim {
	if in.Answer == nil {
		return in
	}
	held := 0
	s.machine.read(func(st *state.State) { held = st.ClaimBytes() })
	if held+len(in.Answer.Body) <= answerShare*s.opts.MaxClaimBytes {
		return in
	}
	out := *in
	out.Answer = &dispatch.StoredAnswer{Status: in.Answer.Status, TooLarge: true}
	return &out
}

// proposeClaim commits one step, batched with other waiting steps, and returns the
// reply to a claim. It returns only after the commit, so a granted claim is durable.
func (s *Server) proposeClaim(step state.ClaimStep) (*api.ClaimReply, error) {
	b, index := s.claims.add(step)
	if index == 0 {
		s.claims.slots <- struct{}{}
		s.claims.close(b)
		b.outcomes = s.commitClaims(b.steps)
		<-s.claims.slots
		close(b.done)
	}
	<-b.done
	return b.outcomes[index].reply, b.outcomes[index].err
}

// commitClaims commits steps in one command. If the log rejects that for its size, nothing
// was committed, and each step is proposed alone so that only the large ones are refused.
func (s *Server) commitClaims(steps []state.ClaimStep) []claimOutcome {
	result, err := s.propose(&state.Command{Claims: steps})
	if err == nil && len(result.Claims) != len(steps) {
		err = errors.New(result.Refused)
	}
	out := make([]claimOutcome, len(steps))
	for i := range steps {
		switch {
		case (errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoSpace)) && len(steps) > 1:
			out[i] = s.commitClaims(steps[i : i+1])[0]
		case err != nil:
			out[i].err = err
		default:
			out[i].reply = result.Claims[i]
		}
	}
	return out
}
