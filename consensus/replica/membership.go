package replica

import (
	"context"
	"fmt"

	"toucantiller.dev/consensus"
)

// ForeignGroupError is returned by IsMember at a replica of another group.
type ForeignGroupError struct{ Group consensus.GroupID }

// Error names the group.
func (e *ForeignGroupError) Error() string {
	return fmt.Sprintf("the replica does not belong to group %x", uint64(e.Group))
}

// IsMember reports, on the leader, whether the committed membership of a group names a replica.
// The answer holds every change that was committed before the call, so that a replica that
// belonged to the group before and is not named has been removed.
func (r *Replica) IsMember(ctx context.Context, group consensus.GroupID, id consensus.ID) (bool, error) {
	if err := r.ReadBarrier(ctx); err != nil {
		return false, err
	}
	member := false
	err := r.retryEachTick(ctx, func() (bool, error) {
		s := r.core.Status()
		if s.Group != group {
			return false, &ForeignGroupError{group}
		}
		_, member = r.core.Members().Find(id)
		return r.core.MembersIndex() <= s.Commit, r.requireLeader()
	})
	return member, err
}
