package control

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/timeline"
)

var replicaEvents = map[api.ReplicasAction]timeline.Kind{
	api.ReplicasAdd:    "replica.added",
	api.ReplicasRemove: "replica.removed",
}

// errReplicasBusy tells the caller to repeat its change later.
var errReplicasBusy = errors.New("another change of the control replicas is in progress")

// ChangeReplicas adds a replica to the control group or removes one. The state machine
// verifies the operation and keeps it pending; the leader carries it out and commits the
// outcome. A call that runs out of time leaves it pending, and a resend continues it.
func (v *service) ChangeReplicas(in *api.ChangeReplicas, out *api.ChangeReply) error {
	// A member is added in several steps, which a removal in between would undo in part.
	if !v.s.replicaChangeMu.TryLock() {
		_, err := redirect(errReplicasBusy)
		return err
	}
	defer v.s.replicaChangeMu.Unlock()
	result, err := v.s.changeReplicas(in)
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if result.Change == nil {
		return errors.New(result.Refused)
	}
	*out = *result.Change
	v.recordChange(in, "replica", out)
	return nil
}

func (s *Server) changeReplicas(in *api.ChangeReplicas) (*state.Result, error) {
	if err := s.checkLeading(); err != nil {
		return nil, err
	}
	result, err := s.propose(&state.Command{ChangeReplicas: in})
	if err != nil || result.Change == nil || result.Change.Outcome != api.OutcomePending {
		return result, err
	}
	reply, err := s.executeReplicaChange(in)
	if err != nil {
		return nil, err
	}
	return s.propose(&state.Command{EndReplicas: &state.EndReplicas{Operation: in.Operation.ID, Reply: reply}})
}

// executeReplicaChange changes the group and returns the outcome, or an error after which the change
// may be repeated.
func (s *Server) executeReplicaChange(in *api.ChangeReplicas) (api.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, replicasTimeout)
	defer cancel()
	before := s.log.Members()
	run, done, unchanged := s.log.AddReplica, "%s was added", "%s is a member already"
	if in.Action == api.ReplicasRemove {
		run, done, unchanged = s.log.RemoveReplica, "%s was removed", "%s is no member"
	}
	err := run(ctx, in.Address)
	var refused *ReplicaChangeRefusedError
	if errors.As(err, &refused) {
		return api.ChangeReply{Outcome: api.OutcomeRefused, Reason: fmt.Sprintf("%s %s: %v", in.Action, in.Address, err)}, nil
	}
	if err != nil {
		return api.ChangeReply{}, err
	}
	if slices.Equal(before, s.log.Members()) {
		done = unchanged
	}
	return api.ChangeReply{Outcome: api.OutcomeAccepted, Detail: fmt.Sprintf(done, in.Address)}, nil
}
