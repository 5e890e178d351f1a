package state

import "toucantiller.dev/control/api"

// changeReplicas leaves a valid change pending: the leader carries it out and then
// commits EndReplicas.
func (s *State) changeReplicas(c *api.ChangeReplicas) api.ChangeReply {
	switch c.Action {
	case api.ReplicasAdd, api.ReplicasRemove:
	default:
		return s.refused("control replicas have no action %q", c.Action)
	}
	if c.Address == "" {
		return s.refused("the change names no address")
	}
	return api.ChangeReply{Outcome: api.OutcomePending}
}

// endReplicas records the outcome of a pending change. The first outcome stands when a
// change was carried out by two leaders.
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
