package control

import (
	"context"
	"errors"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/failuredomain"
)

// InvalidOrderError is the error of an order that no replica will accept.
type InvalidOrderError struct{ Reason string }

// Error returns the reason.
func (e *InvalidOrderError) Error() string { return e.Reason }

// ApplyDocument makes a document the configuration if its number is higher than the one
// in force, and succeeds without effect otherwise. It fails with *NotLeaderError on a replica
// that does not lead and with *InvalidOrderError for a document that cannot take effect; after any
// other error the document may be in force.
func (s *Server) ApplyDocument(d *contract.Document) error {
	if err := d.Validate(); err != nil {
		count(s.counts.refusals, 1)
		return &InvalidOrderError{err.Error()}
	}
	return s.commitOrder("document", &state.Command{ApplyDocument: d})
}

// Document returns the newest document, nil before the first. The read includes every
// document that was acknowledged before the call.
func (s *Server) Document(ctx context.Context) (*contract.Document, error) {
	if err := s.leaderReadBarrier(ctx); err != nil {
		return nil, err
	}
	var d *contract.Document
	s.machine.read(func(st *state.State) { d = st.Document() })
	return d, nil
}

// SetEvacuated takes a failure domain out of service, or back into it.
func (s *Server) SetEvacuated(domain failuredomain.ID, evacuated bool) error {
	return s.commitOrder("evacuation", &state.Command{SetEvacuated: &state.SetEvacuated{Domain: domain, Evacuated: evacuated}})
}

const (
	// moveTimeFraction is the fraction of a move's time in which the new version gets its full
	// share; the rest is for watching it and for slow commits.
	moveTimeFraction = 0.7
	// watchTimeFraction is the fraction in which the old version stays warm after that.
	watchTimeFraction = 0.15
)

// StartMove asks that a service moves to a version within a time.
func (s *Server) StartMove(service, to string, within time.Duration) error {
	if service == "" || to == "" || within <= 0 {
		return &InvalidOrderError{"a move needs a service, a version and a time"}
	}
	return s.commitOrder("move", &state.Command{StartMove: &state.StartMove{
		Service: service, To: to,
		Within: time.Duration(moveTimeFraction * float64(within)),
		Watch:  time.Duration(watchTimeFraction * float64(within)),
	}})
}

// LatestMove returns the latest move of a service.
func (s *Server) LatestMove(ctx context.Context, service string) (move api.Move, known bool, err error) {
	if err := s.leaderReadBarrier(ctx); err != nil {
		return api.Move{}, false, err
	}
	s.machine.read(func(st *state.State) {
		for _, m := range st.Moves() {
			if m.Service == service {
				move, known = m, true
			}
		}
	})
	return move, known, nil
}

// commitOrder commits an operator's order and logs its outcome.
func (s *Server) commitOrder(object string, c *state.Command) error {
	if err := s.checkLeading(); err != nil {
		return err
	}
	result, err := s.propose(c)
	switch {
	case errors.Is(err, ErrTooLarge):
		err = &InvalidOrderError{err.Error()}
	case err == nil && result.Refused != "":
		err = &InvalidOrderError{result.Refused}
	}
	outcome := api.OutcomeAccepted
	var invalid *InvalidOrderError
	switch {
	case errors.As(err, &invalid):
		outcome = api.OutcomeRefused
		count(s.counts.refusals, 1)
	case err != nil:
		outcome = api.OutcomePending
	default:
		count(s.counts.changes, 1)
	}
	_ = s.opts.Logger.Log("msg", "operator order", "object", object, "outcome", outcome, "revision", s.revision(), "err", err)
	return err
}

// leaderReadBarrier makes a read include every change committed before it.
func (s *Server) leaderReadBarrier(ctx context.Context) error {
	if err := s.checkLeading(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return s.log.ReadBarrier(ctx)
}

// Leader returns the link address of the leader as this replica knows it, "" while none
// is known.
func (s *Server) Leader() string { return s.log.Status().Leader }
