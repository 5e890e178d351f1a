package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

// Guards against a pending change that somebody without the operator's key can make the leader
// execute, that is executed after its signature expired, or whose outcome changes.
func TestPendingReplicaChange(t *testing.T) {
	s := newStateWithBundle(t, "")
	signedAt := s.Now()
	sign := func(key string, at time.Time) *Command {
		c := &api.ChangeReplicas{Operation: api.Operation{ID: "add", Operator: "ada"}, Action: api.ReplicasAdd, Address: "a"}
		api.Sign(c, contract.DemoKey(key), at)
		return &Command{At: s.Now(), ChangeReplicas: c}
	}
	end := func(outcome api.Outcome, detail string) *Command {
		return &Command{EndReplicas: &EndReplicas{Operation: "add", Reply: api.ChangeReply{Outcome: outcome, Detail: detail}}}
	}
	assert.Equal(t, applyCommand(t, s, end(api.OutcomeAccepted, "early")).Refused, "operation add is not known")
	assert.Equal(t, applyCommand(t, s, sign("ada", signedAt)).Change.Outcome, api.OutcomePending)
	assert.Equal(t, applyCommand(t, s, sign("bola", signedAt)).Change.Outcome, api.OutcomeRefused)
	late := sign("ada", signedAt)
	late.At = signedAt.Add(api.OperationValidity + time.Minute)
	assert.Equal(t, applyCommand(t, s, late).Change.Outcome, api.OutcomeRefused)
	assert.Equal(t, applyCommand(t, s, sign("ada", s.Now())).Change.Outcome, api.OutcomePending)

	first := applyCommand(t, s, end(api.OutcomeAccepted, "a was added")).Change
	assert.Equal(t, first.Detail, "a was added")
	assert.Equal(t, first.Revision, s.Revision())
	assert.DeepEqual(t, applyCommand(t, s, end(api.OutcomeRefused, "other")).Change, first)
	assert.DeepEqual(t, applyCommand(t, s, sign("ada", s.Now())).Change, first)
}
