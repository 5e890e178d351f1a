package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
)

func signedReplicaChange(id string, action api.ReplicasAction, address string) *api.ChangeReplicas {
	c := &api.ChangeReplicas{Operation: api.Operation{ID: id, Operator: "ada"}, Action: action, Address: address}
	api.Sign(c, contract.DemoKey("ada"), time.Now())
	return c
}

func members(t *testing.T, c *control.Client) []api.Replica {
	t.Helper()
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	return status.Replicas
}

// follower returns the address of a replica that does not lead.
func (g *group) follower(t *testing.T, c *control.Client) string {
	t.Helper()
	leader := g.leader(t, c)
	for _, addr := range replicas {
		if addr != leader {
			return addr
		}
	}
	return ""
}

// Guards against a change of the control group by someone who is not an operator in the bundle
// in force, with an invalid or expired signature, and one that removes the leader.
func TestReplicaChangesAreRefused(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		target := g.follower(t, c)
		before := members(t, c)
		assert.Equal(t, len(before), len(replicas))
		refused := func(change *api.ChangeReplicas, reason string) {
			t.Helper()
			reply, err := c.ChangeReplicas(t.Context(), change)
			assert.NilError(t, err)
			assert.Equal(t, reply.Outcome, api.OutcomeRefused)
			assert.Assert(t, reply.Reason != "")
			assert.ErrorContains(t, errorOf(reply), reason)
			assert.DeepEqual(t, members(t, c), before)
		}
		refused(signedReplicaChange("early", api.ReplicasRemove, target), "no bundle is in force")
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))

		unsigned := signedReplicaChange("unsigned", api.ReplicasRemove, target)
		unsigned.Operation.Signature = nil
		refused(unsigned, "is not signed")
		altered := signedReplicaChange("altered", api.ReplicasRemove, "control-9")
		altered.Address = target
		refused(altered, "does not match")
		turned := signedReplicaChange("turned", api.ReplicasAdd, target)
		turned.Action = api.ReplicasRemove
		refused(turned, "does not match")
		foreign := signedReplicaChange("foreign", api.ReplicasRemove, target)
		api.Sign(foreign, contract.DemoKey("bola"), time.Now())
		refused(foreign, "does not match")
		unknown := signedReplicaChange("unknown", api.ReplicasRemove, target)
		unknown.Operation.Operator = "chidinma"
		api.Sign(unknown, contract.DemoKey("chidinma"), time.Now())
		refused(unknown, "is not known")
		expired := signedReplicaChange("expired", api.ReplicasRemove, target)
		api.Sign(expired, contract.DemoKey("ada"), time.Now().Add(-api.OperationValidity-time.Minute))
		refused(expired, "expired")
		refused(signedReplicaChange("action", "replace", target), "no action")
		refused(signedReplicaChange("address", api.ReplicasAdd, ""), "no address")
		refused(signedReplicaChange("leader", api.ReplicasRemove, g.leader(t, c)), "transfer leadership first")
	})
}

type replyError struct{ *api.ChangeReply }

func (e replyError) Error() string { return e.Reason }

func errorOf(r *api.ChangeReply) error { return replyError{r} }

// Guards against a resent change that is executed twice, and against an error when an added
// replica is a member already or a removed one is no member.
func TestResentReplicaChangeHappensOnce(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		target := g.follower(t, c)
		present := apply(t, c.ChangeReplicas, signedReplicaChange("add-1", api.ReplicasAdd, target))
		assert.Equal(t, present.Detail, target+" is a member already")
		self := apply(t, c.ChangeReplicas, signedReplicaChange("add-2", api.ReplicasAdd, g.leader(t, c)))
		assert.Equal(t, self.Detail, g.leader(t, c)+" is a member already")
		remove := signedReplicaChange("remove-1", api.ReplicasRemove, target)
		first := apply(t, c.ChangeReplicas, remove)
		assert.Equal(t, first.Detail, target+" was removed")
		assert.Equal(t, len(members(t, c)), 2)
		assert.DeepEqual(t, apply(t, c.ChangeReplicas, remove), first)
		absent := apply(t, c.ChangeReplicas, signedReplicaChange("remove-2", api.ReplicasRemove, target))
		assert.Equal(t, absent.Detail, target+" is no member")

		// A removed replica can join again only with an empty data folder.
		reply, err := c.ChangeReplicas(t.Context(), signedReplicaChange("add-3", api.ReplicasAdd, target))
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, api.OutcomeRefused)
		assert.ErrorContains(t, errorOf(reply), "empty data folder")
		g.stop(t, target)
		g.folders[target] = t.TempDir()
		g.start(t, target)
		added := apply(t, c.ChangeReplicas, signedReplicaChange("add-4", api.ReplicasAdd, target))
		assert.Equal(t, added.Detail, target+" was added")
		assert.DeepEqual(t, apply(t, c.ChangeReplicas, remove), first)
		assert.Equal(t, len(members(t, c)), 3, "a resend removed the replica again")
	})
}

// Guards against an addition that cannot be continued after the caller gave up or the leader
// changed, one that leaves the lost replica's former ID in the quorum, and an error that
// reports a replica that could not be dialed instead of the leader's answer.
func TestReplicaIsReplacedAcrossLeaderChange(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		// With five voters a quorum remains while the lost replica and the leader are down.
		lost := g.follower(t, c)
		g.folders["control-3"] = t.TempDir()
		g.start(t, "control-3")
		apply(t, c.ChangeReplicas, signedReplicaChange("add-1", api.ReplicasAdd, "control-3"))
		g.folders["control-4"] = t.TempDir()
		g.start(t, "control-4")
		apply(t, c.ChangeReplicas, signedReplicaChange("add-2", api.ReplicasAdd, "control-4"))
		before := members(t, c)
		assert.Equal(t, len(before), 5)

		g.stop(t, lost)
		g.folders[lost] = t.TempDir()
		change := signedReplicaChange("add-3", api.ReplicasAdd, lost)
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		_, err := c.ChangeReplicas(ctx, change)
		assert.ErrorContains(t, err, "replica "+lost+" does not answer")
		g.stop(t, g.leader(t, c))
		time.Sleep(3 * time.Second)
		g.start(t, lost)
		reply := apply(t, c.ChangeReplicas, change)
		assert.Equal(t, reply.Detail, lost+" was added")
		after := members(t, c)
		assert.Equal(t, len(after), 5)
		for i := range after {
			assert.Equal(t, after[i].Address, before[i].Address)
			assert.Assert(t, after[i].Voter)
			assert.Equal(t, after[i].ID != before[i].ID, after[i].Address == lost)
		}
	})
}
