package control

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/distribution"
	"toucantiller.dev/instance"
	"toucantiller.dev/lease"
	"toucantiller.dev/quarantine"
	"toucantiller.dev/timeline"
	"toucantiller.dev/uptime"
	"toucantiller.dev/usage"
)

// Timing of the leader.
const (
	// tickInterval is how often the replica checks whether it leads.
	tickInterval = 50 * time.Millisecond
	// barrierTimeout is below the election timeout: a leader that cannot confirm its
	// quorum for longer may have been replaced.
	barrierTimeout = time.Second
	// maxQuorumAge is the age of the last confirmed quorum at which a leader stops serving.
	maxQuorumAge = 1500 * time.Millisecond
	// maintainInterval is the time between Maintain commands.
	maintainInterval = 10 * time.Second
	// directoryInterval merges registrations into one published directory.
	directoryInterval = 250 * time.Millisecond
	// stallTolerance is the delay of a tick beyond which the leader was not running, so that
	// keepalives it did not read must not count as missed.
	stallTolerance = lease.TTL / 4
)

// runLeaderLoop runs the leader's periodic tasks while the replica leads.
func (s *Server) runLeaderLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d := leaderSchedule{lastTick: time.Now(), lastMaintain: time.Now()}
	for {
		now := time.Now()
		if s.updateLeadership(now) {
			s.runDueTasks(&d, now)
		}
		d.lastTick = now
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leaderSchedule holds the last beacon number and when each periodic task last ran.
type leaderSchedule struct {
	seq          uint64
	lastTick     time.Time
	lastBeacon   time.Time
	lastMaintain time.Time
	lastRepair   time.Time
}

func (s *Server) runDueTasks(d *leaderSchedule, now time.Time) {
	if now.Sub(d.lastTick) > stallTolerance {
		s.extendLeases(now)
	}
	start := uptime.Now()
	if now.Sub(d.lastBeacon) >= distribution.BeaconInterval-tickInterval/2 && s.confirmQuorum() {
		d.lastBeacon = now
		d.seq++
		s.publishBeacon(start, d.seq)
		s.endExpiredLeases(time.Now())
	}
	if now.Sub(d.lastRepair) >= repairInterval {
		d.lastRepair = now
		s.repairGroup()
	}
	if now.Sub(d.lastMaintain) >= maintainInterval {
		d.lastMaintain = now
		s.adoptLeases(now)
		s.logFailure("maintain", s.proposeMaintain())
	}
}

// updateLeadership reports whether this replica leads, and opens its term when it has
// just been elected.
func (s *Server) updateLeadership(now time.Time) bool {
	status := s.log.Status()
	s.mu.Lock()
	known := s.leading && s.term == status.Term
	if !status.Leading && s.leading {
		s.leading = false
		_ = level.Info(s.opts.Logger).Log("msg", "leadership lost", "leader", status.Leader, "term", status.Term)
	}
	s.mu.Unlock()
	if !status.Leading || known {
		return status.Leading
	}
	if err := s.openTerm(status.Term, now); err != nil {
		s.logFailure("open term", err)
		return false
	}
	return true
}

// openTerm starts a term as the leader: the state is up to date after the Lead command, every
// lease gets a full time to live, and no evidence is carried over from the previous leader.
func (s *Server) openTerm(term uint64, now time.Time) error {
	if _, err := s.propose(&state.Command{Lead: &state.Lead{Term: term}}); err != nil {
		return err
	}
	gateways := s.registeredGateways()
	s.mu.Lock()
	s.leading = true
	s.term = term
	s.leases = lease.NewTable(lease.TTL)
	s.admission = lease.NewAdmission(s.opts.RegistrationsPerSecond, s.opts.RegistrationBurst)
	s.evidence = newEvidenceCollector()
	s.budgets = s.newBudgets(term, gateways, now)
	s.usage = usage.NewCollector(s.opts.Duties.UsageWindow)
	s.detector = quarantine.NewDetector()
	clear(s.lastHeartbeats)
	s.mu.Unlock()
	s.extendLeases(now)
	s.machine.notifyChanged()
	s.opts.Recorder.Record(timeline.Event{Kind: "control.leading"})
	_ = level.Info(s.opts.Logger).Log("msg", "leadership gained", "term", term)
	return nil
}

func (s *Server) extendLeases(now time.Time) {
	var ids []uint64
	s.machine.read(func(st *state.State) { ids = st.Leases() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Extend(ids, now)
}

func (s *Server) adoptLeases(now time.Time) {
	var ids []uint64
	s.machine.read(func(st *state.State) { ids = st.Leases() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Adopt(ids, now)
}

func (s *Server) confirmQuorum() bool {
	ctx, cancel := context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	if err := s.log.ReadBarrier(ctx); err != nil {
		count(s.counts.barrierFailures, 1)
		return false
	}
	return true
}

// publishBeacon publishes a proof that this replica led, with a quorum, after start.
func (s *Server) publishBeacon(start uptime.Instant, seq uint64) {
	s.publish(true)
	s.mu.Lock()
	term := s.term
	s.mu.Unlock()
	beacon := api.Beacon{Revision: s.holder.Revision(), Term: term, Seq: seq}
	if _, err := s.holder.Accept(&api.View{Beacon: beacon}, start); err == nil {
		count(s.counts.beacons, 1)
	}
}

// publish passes the current state to the holder, from which subscribers are served.
func (s *Server) publish(directory bool) {
	view := &api.View{}
	s.machine.read(func(st *state.State) {
		if c := st.Config(); c != nil {
			view.Config = &c.Parts
		}
		if directory {
			view.Directory = st.Directory()
		}
	})
	_, err := s.holder.Accept(view, uptime.Now())
	s.logFailure("publish", err)
}

// publishChanges publishes a configuration as soon as it is committed. Directory changes
// are merged over directoryInterval.
func (s *Server) publishChanges() {
	var due <-chan time.Time
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.machine.changed:
			if s.isLeading() {
				s.publish(false)
			}
			if due == nil {
				due = time.After(directoryInterval)
			}
		case <-due:
			due = nil
			if s.isLeading() {
				s.publish(true)
			}
		}
	}
}

func (s *Server) isLeading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading
}

// endExpiredLeases ends the leases that were not renewed for their time to live.
func (s *Server) endExpiredLeases(now time.Time) {
	s.mu.Lock()
	var ends []state.EndLease
	for _, id := range s.leases.Expired(now) {
		e, _ := s.leases.Get(id)
		ends = append(ends, state.EndLease{Lease: id, Revision: e.Revision})
	}
	s.mu.Unlock()
	if len(ends) == 0 {
		return
	}
	holders := s.leaseHolders(ends)
	if _, err := s.propose(&state.Command{EndLeases: &state.EndLeases{Leases: ends}}); err != nil {
		s.logFailure("end leases", err)
		return
	}
	s.mu.Lock()
	for _, e := range ends {
		s.leases.Remove(e.Lease)
	}
	s.mu.Unlock()
	count(s.counts.expirations, len(ends))
	for _, id := range holders {
		s.opts.Recorder.Record(timeline.Event{Kind: "process.lost", Endpoint: string(id), Detail: "no keepalive for " + lease.TTL.String()})
	}
	_ = level.Info(s.opts.Logger).Log("msg", "leases expired", "count", len(ends))
}

// leaseHolders returns the processes that hold the leases.
func (s *Server) leaseHolders(leases []state.EndLease) []instance.ID {
	out := make([]instance.ID, 0, len(leases))
	s.machine.read(func(st *state.State) {
		for _, e := range leases {
			if id, ok := st.LeaseHolder(e.Lease); ok {
				out = append(out, id)
			}
		}
	})
	return out
}

func (s *Server) proposeMaintain() error {
	_, err := s.propose(&state.Command{Maintain: &state.Maintain{}})
	return err
}

// logFailure logs an error that the replica cannot act on.
func (s *Server) logFailure(step string, err error) {
	var notLeader *NotLeaderError
	if err == nil || errors.As(err, &notLeader) || s.ctx.Err() != nil {
		return
	}
	_ = level.Warn(s.opts.Logger).Log("msg", "step failed", "step", step, "err", err)
}
