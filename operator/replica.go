package operator

import (
	"errors"
	"io"
	"strconv"

	"toucantiller.dev/control/api"
)

type replicaStatusCmd struct{}

type replicaAddCmd struct {
	changer
	Address string `arg:"" help:"Link address of the replica, as ip:port."`
}

type replicaRemoveCmd struct {
	changer
	Address string `arg:"" help:"Link address of the replica, as ip:port."`
}

type replicas struct {
	Term     uint64        `json:"term"`
	Voters   int           `json:"voters"`
	Quorum   int           `json:"quorum"`
	Replicas []replicaView `json:"replicas"`
}

type replicaView struct {
	Address string `json:"address"`
	// ID is a string since JSON readers round integers above 2^53.
	ID     string `json:"id"`
	Role   string `json:"role"`
	Leader bool   `json:"leader"`
}

func (r *replicas) text(w io.Writer) {
	var rows [][]string
	for _, x := range r.Replicas {
		leader := "no"
		if x.Leader {
			leader = "yes"
		}
		rows = append(rows, []string{x.Address, x.ID, x.Role, leader})
	}
	table(w, []string{"ADDRESS", "ID", "ROLE", "LEADER"}, rows)
	line(w, "%s, quorum %d, term %d", count(r.Voters, "voter"), r.Quorum, r.Term)
}

// Run lists the members of the control group.
func (c *replicaStatusCmd) Run(s *session) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	out := &replicas{Term: st.Term, Replicas: []replicaView{}}
	for _, r := range st.Replicas {
		view := replicaView{Address: r.Address, ID: strconv.FormatUint(r.ID, 10), Role: "learner", Leader: r.Voter && r.Address == st.Leader}
		if r.Voter {
			view.Role = "voter"
			out.Voters++
		}
		out.Replicas = append(out.Replicas, view)
	}
	out.Quorum = out.Voters/2 + 1
	return s.print(out)
}

// Run adds a replica.
func (c *replicaAddCmd) Run(s *session) error {
	return s.changeReplicas(c.changer, api.ReplicasAdd, c.Address)
}

// Run removes a replica.
func (c *replicaRemoveCmd) Run(s *session) error {
	return s.changeReplicas(c.changer, api.ReplicasRemove, c.Address)
}

type replicasChanged struct {
	Operation string      `json:"operation"`
	Outcome   api.Outcome `json:"outcome"`
	Reason    string      `json:"reason,omitempty"`
	Detail    string      `json:"detail,omitempty"`
}

func (r *replicasChanged) text(w io.Writer) {
	if r.Outcome != api.OutcomeAccepted {
		line(w, "refused: %s", r.Reason)
		return
	}
	line(w, "accepted: %s", r.Detail)
}

func (s *session) changeReplicas(who changer, action api.ReplicasAction, address string) error {
	change := &api.ChangeReplicas{Action: action, Address: address}
	reply, err := s.submit(who, change, func(control Control) (*api.ChangeReply, error) {
		ctx, cancel := s.timeout()
		defer cancel()
		return control.ChangeReplicas(ctx, change)
	})
	if err != nil {
		return err
	}
	out := &replicasChanged{Operation: change.Operation.ID, Outcome: reply.Outcome, Reason: reply.Reason, Detail: reply.Detail}
	if reply.Outcome != api.OutcomeAccepted {
		return errors.Join(s.print(out), ErrRefused)
	}
	return s.print(out)
}
