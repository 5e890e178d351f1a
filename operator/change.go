package operator

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

// pollInterval is how often a waiting command asks for the status.
const pollInterval = 500 * time.Millisecond

// maxNamed bounds how many processes one line names.
const maxNamed = 5

func newOperationID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

type changed struct {
	Operation string      `json:"operation"`
	Outcome   api.Outcome `json:"outcome"`
	Reason    string      `json:"reason,omitempty"`
	Revision  uint64      `json:"revision,omitempty"`
	InForce   bool        `json:"in_force"`
	Behind    []string    `json:"behind,omitempty"`
}

func (r *changed) text(w io.Writer) {
	if r.Outcome != api.OutcomeAccepted {
		line(w, "refused: %s", r.Reason)
		return
	}
	line(w, "accepted: revision %d, %s", r.Revision, inForce(r.InForce, r.Behind))
}

// change signs and sends one operator change and prints its outcome.
func (s *session) change(who changer, wait bool, change api.Change, send func(Control) (*api.ChangeReply, error)) error {
	reply, err := s.submit(who, change, send)
	if err != nil {
		return err
	}
	out := &changed{Operation: change.Op().ID, Outcome: reply.Outcome, Reason: reply.Reason, Revision: reply.Revision}
	if reply.Outcome != api.OutcomeAccepted {
		return errors.Join(s.print(out), ErrRefused)
	}
	s.inForce(out, wait)
	return s.print(out)
}

// submit signs and sends one operator change.
func (s *session) submit(who changer, change api.Change, send func(Control) (*api.ChangeReply, error)) (*api.ChangeReply, error) {
	key, err := contract.ReadKeyFile(who.Key)
	if err != nil {
		return nil, usageError{err}
	}
	control, err := s.connect()
	if err != nil {
		return nil, err
	}
	op := change.Op()
	id, at, err := s.operation(who.Operation)
	if err != nil {
		return nil, usageError{err}
	}
	op.ID = id
	op.Operator = who.Operator
	api.Sign(change, key, at)
	reply, err := send(control)
	if err != nil {
		return nil, fmt.Errorf("the outcome is not known; repeat the command with --operation %s to learn it: %w", op.ID, err)
	}
	return reply, nil
}

// operation returns the ID and the signing time of a change. The ID ends in the signing
// time, as a repeated change must be the same in every byte to get the first outcome.
func (s *session) operation(repeated string) (string, time.Time, error) {
	if repeated == "" {
		at := s.Now().UTC()
		return fmt.Sprintf("%s.%s", s.NewID(), strconv.FormatInt(at.UnixNano(), 36)), at, nil
	}
	cut := strings.LastIndexByte(repeated, '.')
	nanos, err := strconv.ParseInt(repeated[cut+1:], 36, 64)
	if cut < 0 || err != nil {
		return "", time.Time{}, errors.New("--operation: not an operation ID that toucanctl printed")
	}
	return repeated, time.Unix(0, nanos).UTC(), nil
}

// inForce fills in whether the revision is in force; it asks until it is when wait is set.
func (s *session) inForce(out *changed, wait bool) {
	deadline := s.Now().Add(s.cli.Timeout)
	for {
		st, err := s.status()
		if err == nil {
			out.InForce = st.InForce && st.Revision >= out.Revision
			out.Behind = behind(st)
		}
		if out.InForce || !wait || s.Now().After(deadline) || !s.Sleep(s.ctx, pollInterval) {
			return
		}
	}
}

func (s *session) status() (*api.Status, error) {
	control, err := s.connect()
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.timeout()
	defer cancel()
	st, err := control.Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("no status: %w", err)
	}
	return st, nil
}

// behind lists the processes that have not confirmed the revision.
func behind(st *api.Status) []string {
	out := []string{}
	for _, p := range st.Processes {
		if p.Revision < st.Revision {
			out = append(out, string(p.Instance.ID))
		}
	}
	slices.Sort(out)
	return out
}

// inForce words the state of a revision. Only control's own statement makes it "in force
// everywhere": a process list without laggards may be incomplete.
func inForce(everywhere bool, behind []string) string {
	if everywhere {
		return "in force everywhere"
	}
	if len(behind) == 0 {
		return "not yet confirmed everywhere"
	}
	names := behind[:min(len(behind), maxNamed)]
	rest := ""
	if n := len(behind) - len(names); n > 0 {
		rest = fmt.Sprintf(" and %d more", n)
	}
	return fmt.Sprintf("not yet in force at %s: %s%s", count(len(behind), "process"), strings.Join(names, ", "), rest)
}
