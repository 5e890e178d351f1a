package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"toucantiller.dev/control/api"
)

const (
	// memberInterval is the time between two checks of whether the replica was removed.
	memberInterval = 500 * time.Millisecond
	// memberTimeout bounds one query; it leaves time to ask another replica.
	memberTimeout = 2 * barrierTimeout
)

// Member tells a replica whether the group has removed it. Only a leader whose quorum confirms
// it answers, from the committed membership of the replica's own group.
func (v *service) Member(in *api.MemberQuery, out *api.MemberReply) error {
	if err := v.s.checkLeading(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	ctx, cancel := context.WithTimeout(v.s.ctx, barrierTimeout)
	defer cancel()
	member, err := v.s.log.IsMember(ctx, in.Group, in.ID)
	if err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	*out = api.MemberReply{Group: in.Group, ID: in.ID, Removed: !member}
	return nil
}

// watchMembership lets a replica that the group removed, for example while it was cut off, join
// again under a new identity.
func (s *Server) watchMembership() {
	client := NewClient(s.opts.Network, nil)
	defer client.Close()
	for sleep(s.ctx, memberInterval) == nil {
		s.checkMembership(client)
	}
}

func (s *Server) checkMembership(client *Client) {
	if addresses := s.peerAddresses(); len(addresses) > 0 {
		client.SetAddresses(addresses)
	}
	status := s.log.Status()
	if s.mayBeRemoved(status) {
		s.discardIfRemoved(client, status)
	}
	// Without the check of Discarded, a founder would ask before its group exists.
	if s.log.Status().Discarded && !s.isVoter() {
		s.askToJoin(s.ctx, client, false)
	}
}

// mayBeRemoved reports whether a replica that belongs to a group does not take part in it. A
// removed replica that is a voter in its own view starts elections and knows no leader.
func (s *Server) mayBeRemoved(status LogStatus) bool {
	return status.Group != 0 && !status.Leading && (status.Leader == "" || !s.isVoter())
}

// discardIfRemoved gives up the replica's identity and log if the group has removed it.
func (s *Server) discardIfRemoved(client *Client, status LogStatus) {
	removed, err := s.askIfRemoved(client, status)
	if err == nil && removed {
		err = s.log.Discard(s.ctx)
		_ = s.opts.Logger.Log("msg", "removed from the control group; joining as a new replica", "id", status.ID, "err", err)
	}
	s.logFailure("check membership", err)
}

func (s *Server) askIfRemoved(client *Client, status LogStatus) (bool, error) {
	ctx, cancel := context.WithTimeout(s.ctx, memberTimeout)
	defer cancel()
	reply, err := call(ctx, client, "Member", &api.MemberQuery{Group: status.Group, ID: status.ID}, func(r *api.MemberReply) (string, bool) { return r.Leader, true })
	if err != nil {
		return false, err
	}
	if reply.Group != status.Group || reply.ID != status.ID {
		return false, fmt.Errorf("answer for replica %x of group %x", reply.ID, reply.Group)
	}
	return reply.Removed, nil
}

// peerAddresses returns the link addresses of the other replicas that this one knows, and of the
// seeds. It is empty after Discard if there are no seeds.
func (s *Server) peerAddresses() []string {
	var out []string
	for _, m := range s.log.Members() {
		out = append(out, m.Address)
	}
	out = append(out, s.recordedAddresses()...)
	if s.opts.Seeds != nil {
		out = append(out, s.opts.Seeds()...)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == s.opts.Self.LinkAddress })
}
