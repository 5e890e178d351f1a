package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/distribution"
)

const (
	// repairInterval is the time between checks of the control group.
	repairInterval = 500 * time.Millisecond
	// silentVoterTimeout is the silence after which a voter beyond the group's size is removed.
	// If it is alive, it learns of its removal and joins again.
	silentVoterTimeout = 1500 * time.Millisecond
	// joinInterval is the time between two requests to join.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request to join; it covers the catch-up of a small log.
	joinTimeout = replicasTimeout + time.Second
)

var errSelfRepairOff = errors.New("operators change the control replicas of this deployment")

// JoinReplica adds a replica that lost its disk, that is new, or that was removed from the
// control group. The joining replica calls it.
func (v *service) JoinReplica(in *api.JoinReplica, out *api.JoinReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	if !v.s.opts.SelfRepair {
		return errSelfRepairOff
	}
	if !v.s.replicaChangeMu.TryLock() {
		_, err := redirect(errReplicasBusy)
		return err
	}
	defer v.s.replicaChangeMu.Unlock()
	ctx, cancel := context.WithTimeout(v.s.ctx, replicasTimeout)
	defer cancel()
	err := v.s.addJoiningReplica(ctx, in)
	_ = v.s.opts.Logger.Log("msg", "replica asked to join", "address", in.Address, "founding", in.Founding, "err", err)
	out.Leader, err = redirect(err)
	return err
}

// addJoiningReplica adds a replica and then removes a silent voter that is surplus with it; a
// founding replica enlarges the group.
func (s *Server) addJoiningReplica(ctx context.Context, in *api.JoinReplica) error {
	if err := s.log.AddReplica(ctx, in.Address); err != nil {
		return err
	}
	if in.Founding {
		s.recordGroup(s.log.Members(), countVoters(s.log.Members()))
	}
	s.removeSurplusVoter(ctx)
	return nil
}

// targetSize is the number of voters that the group should have.
func (s *Server) targetSize() int {
	recorded := 0
	s.machine.read(func(st *state.State) { recorded = st.ControlSize() })
	return max(recorded, s.log.FoundingVoters())
}

// removeSurplusVoter removes the voter that has been silent longest if the group is larger than
// it should be. The group never becomes smaller than its target size.
func (s *Server) removeSurplusVoter(ctx context.Context) {
	members := s.log.Members()
	if countVoters(members) <= s.targetSize() {
		return
	}
	silent, since := longestSilent(members, s.log.Silence())
	if since < silentVoterTimeout {
		return
	}
	err := s.log.RemoveReplica(ctx, silent.Address)
	_ = s.opts.Logger.Log("msg", "removed a silent replica", "address", silent.Address, "silent", since, "err", err)
}

// repairGroup removes a silent voter beyond the group's size, and records the members so
// that other processes can find control.
func (s *Server) repairGroup() {
	members := s.log.Members()
	s.recordGroup(members, 0)
	if !s.opts.SelfRepair || countVoters(members) <= s.targetSize() || !s.replicaChangeMu.TryLock() {
		return
	}
	defer s.replicaChangeMu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, replicasTimeout)
	defer cancel()
	s.removeSurplusVoter(ctx)
}

// recordGroup records the members, and size as the number of voters if the group has grown.
func (s *Server) recordGroup(members []api.Replica, size int) {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if slices.Equal(addresses, s.recordedAddresses()) && size <= s.targetSize() {
		return
	}
	_, err := s.propose(&state.Command{SetControl: &state.SetControl{Addresses: addresses, Size: size}})
	s.logFailure("record control replicas", err)
}

// recordedAddresses returns the recorded link addresses of the control replicas.
func (s *Server) recordedAddresses() (addresses []string) {
	s.machine.read(func(st *state.State) { addresses = st.Control() })
	return addresses
}

func countVoters(members []api.Replica) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

// longestSilent returns the voter that has been silent longest, and for how long.
func longestSilent(members []api.Replica, silence map[uint64]time.Duration) (worst api.Replica, since time.Duration) {
	for _, m := range members {
		if m.Voter && silence[m.ID] > since {
			worst, since = m, silence[m.ID]
		}
	}
	return worst, since
}

// Join asks the control replicas to add this one until it votes in a group. seeds are the link
// addresses to ask, beside those that the settings name later; founding is set while the deployment
// starts for the first time.
func (s *Server) Join(ctx context.Context, seeds []string, founding bool) {
	client := NewClient(s.opts.Network, seeds)
	defer client.Close()
	for ctx.Err() == nil && !s.isVoter() {
		client.SetAddresses(distribution.WithSeeds(s.peerAddresses(), seeds))
		s.askToJoin(ctx, client, founding)
		_ = sleep(ctx, joinInterval) // the loop ends with ctx
	}
}

// askToJoin asks once to be added to the group.
func (s *Server) askToJoin(ctx context.Context, client *Client, founding bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := call(ctx, client, "JoinReplica", &api.JoinReplica{Address: s.opts.Self.LinkAddress, Founding: founding}, func(r *api.JoinReply) (string, bool) { return r.Leader, true })
	_ = s.opts.Logger.Log("msg", "asked to join the control group", "seeds", len(client.addresses()), "err", err)
}

// isVoter reports whether the replica is a voter as far as it knows. A replica that was removed
// may not know of it.
func (s *Server) isVoter() bool {
	id := s.log.Status().ID
	return slices.ContainsFunc(s.log.Members(), func(m api.Replica) bool { return m.ID == id && m.Voter })
}
