package state

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/duty"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/idempotency"
	"toucantiller.dev/instance"
)

// Retention and timing of state.
const (
	// OperationRetention exceeds OperationValidity, so that a resend within the validity
	// always finds the first outcome.
	OperationRetention = 24 * time.Hour
	// RestorePeriod is how long a restored domain counts as restoring.
	RestorePeriod = time.Minute
	// EndedRetention is how long a late announcement of an endpoint that ended is refused.
	EndedRetention = 10 * time.Minute
	// lostRetention is how long a lost process is kept after it can no longer act on an old
	// configuration. The agents that it ran are given to another process shortly after that
	// time, and until then their hosting still needs the time of the loss.
	lostRetention = 10 * time.Second
	// BundlesKept is the number of the latest bundles whose content is kept.
	BundlesKept = 16
)

// termShift is the number of low bits of a fencing token that count within a term: 2^40
// tokens in each of 2^24 terms.
const termShift = 40

// Data is the whole replicated state. Its encoding is the snapshot.
type Data struct {
	// Now is the highest time of the leader's clock in the commands so far; it never decreases.
	Now               time.Time
	Revision          uint64
	DirectoryRevision uint64
	Term              uint64
	Token             uint64
	NextLease         uint64
	// Current is the version of the bundle in force, 0 before the first.
	Current    uint64
	Bundles    map[uint64]*Bundle
	Operators  map[string][]byte
	Operations map[string]*Operation
	Domains    map[failuredomain.ID]failuredomain.Domain
	// Versions holds the version in force of each service.
	Versions      map[string]string
	Moves         map[string]*api.Move
	Registrations map[instance.ID]*Registration
	Lost          map[instance.ID]*Lost
	Claims        idempotency.Table
	// Document is the document in force, nil where bundles are used.
	Document *contract.Document
	// Ended holds the endpoints that were ended by an EndEndpoint.
	Ended map[endpoint.ID]Ended
	// Control lists the link addresses of the control replicas.
	Control []string
	// ControlSize is the number of voters that the control group is to have.
	ControlSize int
	// Hostings holds where the agents of self-announced endpoints run, by the endpoint's
	// target.
	Hostings map[string]*Hosting
	// Quarantined and Probation hold the parts of prompts that are held back, and those that were
	// until lately.
	Quarantined quarantined
	Probation   quarantined
	// Duties holds who acts for the deployment at the outside system.
	Duties map[duty.Name]*Duty
	Usage  UsageReports
}

// Ended records the end of an endpoint. Announcements with Incarnation or an earlier one are
// out of date and refused.
type Ended struct {
	Incarnation instance.Incarnation
	At          time.Time
}

// Bundle is an applied bundle.
type Bundle struct {
	Ref contract.BundleRef
	// Content is nil for bundles older than the latest BundlesKept.
	Content    []byte
	Author     string
	AppliedBy  string
	AppliedAt  time.Time
	Signatures []api.Signature
}

// Operation is the recorded outcome of an operator's change.
type Operation struct {
	// Digest identifies the content of the change.
	Digest string
	Reply  api.ChangeReply
	At     time.Time
}

// Lost is a process whose lease expired without a request to leave. It may take work on an
// old configuration until the configuration's serve_stale time has passed.
type Lost struct {
	Instance instance.Instance
	Revision uint64
	At       time.Time
}

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	data   Data
	bundle *contract.Bundle
	config *contract.Config
	// directory caches the result of Directory; a change of the directory sets it to nil.
	directory *api.Directory
	// leases holds the instance of each lease in data.Registrations.
	leases map[uint64]instance.ID
}

// New returns the empty state.
func New() *State {
	s := &State{}
	_ = s.reset(Data{}) // fails only on a bundle that cannot be parsed
	return s
}

// Apply executes one command and returns the encoded Result.
func (s *State) Apply(command []byte) []byte {
	var c Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return encodeResult(&Result{Refused: "command cannot be decoded: " + err.Error()})
	}
	return encodeResult(s.apply(&c))
}

func (s *State) apply(c *Command) *Result {
	if at := c.At.UTC(); at.After(s.data.Now) {
		s.data.Now = at
	}
	switch {
	case c.ApplyBundle != nil:
		return s.applyChange(c.ApplyBundle, func() api.ChangeReply { return s.applyBundle(c.ApplyBundle) })
	case c.SetDomain != nil:
		return s.applyChange(c.SetDomain, func() api.ChangeReply { return s.setDomain(c.SetDomain) })
	case c.AbortMove != nil:
		return s.applyChange(c.AbortMove, func() api.ChangeReply { return s.abortMove(c.AbortMove) })
	case c.ChangeReplicas != nil:
		return s.applyChange(c.ChangeReplicas, func() api.ChangeReply { return s.changeReplicas(c.ChangeReplicas) })
	case c.EndReplicas != nil:
		return s.endReplicas(c.EndReplicas)
	case c.StageMove != nil:
		return s.stageMove(c.StageMove)
	case c.Register != nil:
		return s.register(c.Register)
	case c.EndLeases != nil:
		return s.endLeases(c.EndLeases)
	case c.Claim != nil || c.CompleteClaim != nil:
		return s.applyClaims([]ClaimStep{{Claim: c.Claim, Complete: c.CompleteClaim}})
	case len(c.Claims) > 0:
		return s.applyClaims(c.Claims)
	case c.Maintain != nil:
		return s.maintain()
	case c.Lead != nil:
		return s.startTerm(c.Lead)
	case c.ApplyDocument != nil:
		return s.applyDocument(c.ApplyDocument)
	case c.SetEvacuated != nil:
		return s.setEvacuated(c.SetEvacuated)
	case c.StartMove != nil:
		return s.startDocumentMove(c.StartMove)
	case c.EndEndpoint != nil:
		return s.endEndpoint(c.EndEndpoint)
	case c.SetControl != nil:
		return s.setControl(c.SetControl)
	case c.SetHostings != nil:
		return s.setHostings(c.SetHostings)
	case c.SetQuarantine != nil:
		return s.setQuarantine(c.SetQuarantine)
	case c.AssignDuty != nil:
		return s.assignDuty(c.AssignDuty)
	case c.FixUsage != nil:
		return s.fixUsage(c.FixUsage)
	case c.EndUsage != nil:
		return s.endUsage(c.EndUsage)
	case c.NextToken != nil:
		s.data.Token++
		return &Result{Token: s.data.Token}
	}
	return &Result{Refused: "command is empty"}
}

func (s *State) applyClaims(steps []ClaimStep) *Result {
	r := &Result{Claims: make([]*api.ClaimReply, len(steps))}
	for i, step := range steps {
		switch {
		case step.Claim != nil:
			reply := s.data.Claims.Claim(s.data.Now, step.Claim, s.holdsLease)
			r.Claims[i] = &reply
		case step.Complete != nil:
			s.data.Claims.Complete(s.data.Now, step.Complete)
		}
	}
	return r
}

func (s *State) startTerm(c *Lead) *Result {
	if c.Term > s.data.Term {
		s.data.Term = c.Term
		s.data.Token = max(s.data.Token+1, c.Term<<termShift)
	}
	return &Result{Token: s.data.Token}
}

func (s *State) maintain() *Result {
	s.data.Claims.Sweep(s.data.Now, s.holdsLease)
	for id, op := range s.data.Operations {
		if s.data.Now.Sub(op.At) > OperationRetention {
			delete(s.data.Operations, id)
		}
	}
	for id, lost := range s.data.Lost {
		if s.data.Now.Sub(lost.At) > s.serveStale()+lostRetention {
			delete(s.data.Lost, id)
		}
	}
	for id, e := range s.data.Ended {
		if s.data.Now.Sub(e.At) > EndedRetention {
			delete(s.data.Ended, id)
		}
	}
	s.dropUnusedHostings()
	s.endQuarantines()
	s.activateDomains()
	return &Result{}
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) { return msgpack.Marshal(&s.data) }

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	var d Data
	if err := msgpack.Unmarshal(snapshot, &d); err != nil {
		return err
	}
	return s.reset(d)
}

func (s *State) reset(d Data) error {
	initMap(&d.Bundles)
	initMap(&d.Operators)
	initMap(&d.Operations)
	initMap(&d.Domains)
	initMap(&d.Versions)
	initMap(&d.Moves)
	initMap(&d.Registrations)
	initMap(&d.Lost)
	initMap(&d.Ended)
	initMap(&d.Hostings)
	initMap(&d.Duties)
	if d.Quarantined == nil {
		d.Quarantined = make(quarantined)
	}
	if d.Probation == nil {
		d.Probation = make(quarantined)
	}
	next := State{data: d, leases: make(map[uint64]instance.ID, len(d.Registrations))}
	for id, r := range d.Registrations {
		next.leases[r.Lease] = id
	}
	if b, ok := d.Bundles[d.Current]; ok {
		parsed, err := contract.ParseBundle(b.Content)
		if err != nil {
			return err
		}
		next.bundle = parsed
	}
	next.data.Claims.Measure()
	*s = next
	s.compileConfig()
	return nil
}

func initMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = make(map[K]V)
	}
}

func encodeResult(r *Result) []byte {
	b, err := msgpack.Marshal(r)
	if err != nil {
		panic("state: result cannot be encoded: " + err.Error()) // Result has only encodable fields
	}
	return b
}
