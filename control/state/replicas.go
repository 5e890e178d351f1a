package state

import "toucantiller.dev/control/api"

// changeReplicas returns a pending outcome for a valid change: the leader executes it and then
// commits EndReplicas with the final outcome.
func (s *State) changeReplicas(c *api.ChangeReplicas) api.ChangeReply {
	switch c.Action {
	case api.ReplicasAdd, api.ReplicasRemove:
	default:
		return s.refusedReply("control replicas have no action %q", c.Action)
	}
	if c.Address == "" {
		return s.refusedReply("the change names no address")
	}
	return api.ChangeReply{Outcome: api.OutcomePending}
}

// endReplicas records the outcome of a pending change. Only the first outcome is recorded, as
// two leaders may both have executed the change.
func (s *State) endReplicas(c *EndReplicas) *Result {
	op, ok := s.data.Operations[c.Operation]
	if !ok {
		return &Result{Refused: "operation " + c.Operation + " is not known"}
	}
	if op.Reply.Outcome == api.OutcomePending {
		op.Reply = c.Reply
		op.Reply.Revision = s.data.Revision
	}
	reply := op.Reply
	return &Result{Change: &reply}
}
