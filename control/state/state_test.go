package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

var (
	epoch = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
)

// bundleText returns a valid bundle by author ada that needs the signature of one other
// operator. weft is the version of service weft, note a comment that varies the digest, and
// move the move section or "".
func bundleText(version uint64, weft, note, move string) []byte {
	var operators strings.Builder
	for _, name := range []string{"ada", "bola"} {
		fmt.Fprintf(&operators, "  - {name: %s, public_key: %s}\n", name, contract.DemoKey(name).Public())
	}
	return fmt.Appendf(nil, `# %s
name: looms
version: %d
author: ada
sign_off: {required: 1, valid_for: 2h}
operators:
%stiers:
  - {name: gold}
failure_domains:
  - {name: lagos-a, region: lagos}
  - {name: lagos-b, region: lagos}
services:
  - {name: weft, kind: model, version: %s}
  - {name: desk, kind: plain, version: d1}
%s`, note, version, operators.String(), weft, move)
}

const moveText = "move: {service: weft, from: v1, to: v2, within: 10m, watch: 1m}\n"

// signedBundle returns an ApplyBundle signed by an operator, with sign-offs by signers.
func signedBundle(id, operator string, at time.Time, content []byte, signers ...string) *api.ApplyBundle {
	c := &api.ApplyBundle{Operation: api.Operation{ID: id, Operator: operator, At: at}, Content: content}
	for _, s := range signers {
		c.Signatures = append(c.Signatures, signOff(content, s, at))
	}
	api.Sign(c, contract.DemoKey(operator), c.Operation.At)
	return c
}

func signOff(content []byte, operator string, at time.Time) api.Signature {
	return api.Signature(contract.Sign(content, operator, contract.DemoKey(operator), at))
}

func applyCommand(t testingT, s *State, c *Command) *Result {
	t.Helper()
	b, err := c.Encode()
	assert.NilError(t, err)
	r, err := DecodeResult(s.Apply(b))
	assert.NilError(t, err)
	return r
}

type testingT interface {
	assert.TestingT
	Helper()
}

// newStateWithBundle returns a state with bundle version 1 in force.
func newStateWithBundle(t testingT, move string) *State {
	t.Helper()
	s := New()
	r := applyCommand(t, s, &Command{At: epoch, ApplyBundle: signedBundle("boot", "ada", epoch, bundleText(1, "v1", "", move), "bola")})
	assert.Equal(t, r.Change.Outcome, api.OutcomeAccepted, r.Change.Reason)
	return s
}

// Guards against changes that are accepted without a valid and recent signature of a known
// operator, and against bundles without the required sign-offs.
func TestRefusesChangesWithoutValidSignatures(t *testing.T) {
	content := bundleText(2, "v1", "next", "")
	lowered := []byte(strings.Replace(string(content), "required: 1", "required: 0", 1))
	alter := func(change func(c *api.ApplyBundle)) *api.ApplyBundle {
		c := signedBundle("op", "ada", epoch, content, "bola")
		change(c)
		return c
	}
	for name, tc := range map[string]struct {
		change *api.ApplyBundle
		at     time.Duration
		want   string
	}{
		"unsigned":               {alter(func(c *api.ApplyBundle) { c.Operation.Signature = nil }), 0, "not signed"},
		"altered content":        {alter(func(c *api.ApplyBundle) { c.Content = bundleText(3, "v1", "", "") }), 0, "does not match"},
		"replayed under new ID":  {alter(func(c *api.ApplyBundle) { c.Operation.ID = "op-again" }), 0, "does not match"},
		"other operator's name":  {alter(func(c *api.ApplyBundle) { c.Operation.Operator = "bola" }), 0, "does not match"},
		"unknown operator":       {signedBundle("op", "chi", epoch, content, "bola"), 0, `operator "chi" is not known`},
		"expired":                {signedBundle("op", "ada", epoch, content, "bola"), 61 * time.Minute, "expired"},
		"from the future":        {signedBundle("op", "ada", epoch.Add(time.Hour), content, "bola"), 0, "future"},
		"no sign-off":            {signedBundle("op", "ada", epoch, content), 0, "0 "},
		"sign-off by author":     {signedBundle("op", "ada", epoch, content, "ada"), 0, "author"},
		"sign-off by stranger":   {signedBundle("op", "ada", epoch, content, "chi"), 0, "chi"},
		"rule lowered by itself": {signedBundle("op", "ada", epoch, lowered), 0, "0 "},
		"sign-off twice by one":  {signedBundle("op", "bola", epoch, []byte(strings.Replace(string(content), "required: 1", "required: 2", 1)), "bola", "bola"), 0, "1 "},
		"version without move":   {signedBundle("op", "ada", epoch, bundleText(2, "v2", "", ""), "bola"), 0, "needs a move"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStateWithBundle(t, "")
			before := s.Revision()
			r := applyCommand(t, s, &Command{At: epoch.Add(tc.at), ApplyBundle: tc.change})
			assert.Equal(t, r.Change.Outcome, api.OutcomeRefused)
			assert.Assert(t, strings.Contains(r.Change.Reason, tc.want), r.Change.Reason)
			assert.Equal(t, s.Revision(), before)
		})
	}
}

// Guards against an expired sign-off that is accepted because the operation was signed
// recently.
func TestRefusesExpiredSignOff(t *testing.T) {
	s := newStateWithBundle(t, "")
	now := epoch.Add(3 * time.Hour)
	c := signedBundle("op", "ada", now, bundleText(2, "v1", "", ""))
	c.Signatures = []api.Signature{signOff(c.Content, "bola", epoch)}
	api.Sign(c, contract.DemoKey("ada"), c.Operation.At)
	r := applyCommand(t, s, &Command{At: now, ApplyBundle: c})
	assert.Equal(t, r.Change.Outcome, api.OutcomeRefused)
}

// Guards against a move that ends at a version other than its target, and against a later
// bundle that reverts it without a move.
func TestMoveFromStartToDone(t *testing.T) {
	s := newStateWithBundle(t, moveText)
	m := s.Moves()[0]
	stage := func(expected int, d api.Decision) string {
		return applyCommand(t, s, &Command{At: epoch, StageMove: &StageMove{Service: "weft", Move: m.ID, Expected: expected, Decision: d}}).Refused
	}
	assert.Equal(t, stage(0, api.Decision{Action: api.DecisionRaise, Stage: 1, Share: 0.05}), "")
	share := s.Config().Services[0].Versions[1]
	assert.Equal(t, share, contract.VersionShare{Version: "v2", Share: 0.05, Unproven: true})
	assert.Assert(t, stage(1, api.Decision{Action: api.DecisionFinish}) != "", "finished without full share")
	assert.Equal(t, stage(1, api.Decision{Action: api.DecisionRaise, Stage: 2, Share: 1}), "")
	assert.Equal(t, s.Moves()[0].State, api.MoveWatching)
	assert.Equal(t, stage(2, api.Decision{Action: api.DecisionFinish}), "")
	assert.DeepEqual(t, s.Config().Services[0].Versions, []contract.VersionShare{{Version: "v2", Share: 1}})
	r := applyCommand(t, s, &Command{At: epoch, ApplyBundle: signedBundle("old", "ada", epoch, bundleText(2, "v1", "", ""), "bola")})
	assert.Equal(t, r.Change.Outcome, api.OutcomeRefused)
}

// model records the outcomes of commands, which must not change, and the numbers that must not
// decrease.
type model struct {
	now            time.Time
	revision       uint64
	directory      uint64
	token          uint64
	outcomes       map[string]string
	sent           map[string]*Command
	appliedDigests map[uint64]string // of accepted bundles, by version
	stage          int
	leases         map[instance.ID]uint64
}

// Guards against a revision that decreases, two bundles applied as one version, a resend with
// another outcome, a stage applied twice or skipped, a token that does not increase, and
// replicas that differ after a snapshot.
func TestStateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now: epoch, outcomes: map[string]string{}, sent: map[string]*Command{},
			appliedDigests: map[uint64]string{}, leases: map[instance.ID]uint64{},
		}
		s, replica := New(), New()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(-5, 60).Draw(t, "seconds")) * time.Second)
			c := m.drawCommand(t, s, i)
			c.At = m.now
			encoded, err := c.Encode()
			assert.NilError(t, err)
			result := s.Apply(encoded)
			assert.DeepEqual(t, result, replica.Apply(encoded))
			r, err := DecodeResult(result)
			assert.NilError(t, err)
			m.checkResult(t, s, c, r)
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				snapshot, err := s.Snapshot()
				assert.NilError(t, err)
				replica = New()
				assert.NilError(t, replica.Restore(snapshot))
				assert.DeepEqual(t, s.Directory(), replica.Directory())
			}
		}
	})
}

// drawCommand draws a command, which may be a resend of an earlier one, with the same or with
// altered content.
func (m *model) drawCommand(t *rapid.T, s *State, step int) *Command {
	id := fmt.Sprintf("op-%d", step)
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0, 1:
		operator := rapid.SampledFrom([]string{"ada", "bola", "chi"}).Draw(t, "operator")
		version := uint64(rapid.IntRange(1, 4).Draw(t, "version"))
		move := rapid.SampledFrom([]string{"", moveText}).Draw(t, "move")
		return &Command{ApplyBundle: signedBundle(id, operator, m.now, bundleText(version, "v1", id, move), "bola")}
	case 2:
		domain := rapid.SampledFrom([]failuredomain.ID{"lagos-a", "lagos-b", "nowhere"}).Draw(t, "domain")
		state := rapid.SampledFrom([]failuredomain.State{failuredomain.StateActive, failuredomain.StateDrained}).Draw(t, "state")
		c := &api.SetDomain{Operation: api.Operation{ID: id, Operator: "ada", At: m.now}, Domain: domain, State: state}
		api.Sign(c, contract.DemoKey("ada"), c.Operation.At)
		return &Command{SetDomain: c}
	case 3:
		if len(m.sent) > 0 {
			return m.resend(t)
		}
	case 4:
		return m.drawStage(t, s)
	case 5:
		i := instance.Instance{ID: instance.ID(rapid.SampledFrom([]string{"g", "h"}).Draw(t, "id")), Incarnation: instance.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))}
		return &Command{Register: &api.Register{Instance: i, Endpoint: &endpoint.Endpoint{ID: i.ID, Incarnation: i.Incarnation}}}
	case 6:
		return &Command{EndLeases: &EndLeases{Leases: []EndLease{{Lease: uint64(rapid.IntRange(1, 4).Draw(t, "lease"))}}}}
	case 7:
		action := rapid.SampledFrom([]api.ReplicasAction{api.ReplicasAdd, api.ReplicasRemove, "replace"}).Draw(t, "action")
		c := &api.ChangeReplicas{Operation: api.Operation{ID: id, Operator: "ada"}, Action: action, Address: "a"}
		api.Sign(c, contract.DemoKey("ada"), m.now)
		return &Command{ChangeReplicas: c}
	case 8:
		outcome := rapid.SampledFrom([]api.Outcome{api.OutcomeAccepted, api.OutcomeRefused}).Draw(t, "outcome")
		ended := fmt.Sprintf("op-%d", rapid.IntRange(0, step).Draw(t, "ended"))
		return &Command{EndReplicas: &EndReplicas{Operation: ended, Reply: api.ChangeReply{Outcome: outcome, Reason: id}}}
	}
	return rapid.SampledFrom([]*Command{{NextToken: &NextToken{}}, {Lead: &Lead{Term: s.Term() + 1}}, {Maintain: &Maintain{}}}).Draw(t, "other")
}

func (m *model) resend(t *rapid.T) *Command {
	ids := make([]string, 0, len(m.sent))
	for i := range 40 {
		if _, ok := m.sent[fmt.Sprintf("op-%d", i)]; ok {
			ids = append(ids, fmt.Sprintf("op-%d", i))
		}
	}
	id := rapid.SampledFrom(ids).Draw(t, "resend")
	if rapid.Bool().Draw(t, "alter") {
		c := &api.SetDomain{Operation: api.Operation{ID: id, Operator: "bola", At: m.now}, Domain: "lagos-b", State: failuredomain.StateDrained}
		api.Sign(c, contract.DemoKey("bola"), c.Operation.At)
		return &Command{SetDomain: c}
	}
	first := m.sent[id]
	c := &Command{ApplyBundle: first.ApplyBundle, SetDomain: first.SetDomain, ChangeReplicas: first.ChangeReplicas}
	if c.SetDomain != nil && rapid.Bool().Draw(t, "sign again") {
		again := *c.SetDomain
		api.Sign(&again, contract.DemoKey(again.Operation.Operator), m.now)
		c.SetDomain = &again
	}
	return c
}

func (m *model) drawStage(t *rapid.T, s *State) *Command {
	c := &StageMove{Service: "weft", Expected: rapid.IntRange(0, 4).Draw(t, "expected")}
	if moves := s.Moves(); len(moves) > 0 {
		c.Move = moves[0].ID
	}
	c.Decision = api.Decision{
		Action: rapid.SampledFrom([]api.DecisionAction{api.DecisionRaise, api.DecisionRaise, api.DecisionHold, api.DecisionTakeBack, api.DecisionFinish}).Draw(t, "action"),
		Stage:  rapid.IntRange(0, 5).Draw(t, "stage"),
		Share:  rapid.SampledFrom([]float64{0.01, 0.1, 0.5, 1}).Draw(t, "share"),
	}
	return &Command{StageMove: c}
}

func (m *model) checkResult(t *rapid.T, s *State, c *Command, r *Result) {
	if s.Revision() < m.revision || s.DirectoryRevision() < m.directory {
		t.Fatalf("revision reverted from %d to %d", m.revision, s.Revision())
	}
	if cfg := s.Config(); cfg != nil && cfg.Revision != s.Revision() {
		t.Fatalf("configuration of revision %d at revision %d", cfg.Revision, s.Revision())
	}
	switch {
	case c.ApplyBundle != nil:
		m.checkOperation(t, c, c.ApplyBundle, r, s.Revision())
		m.checkOneBundlePerVersion(t, c.ApplyBundle, r)
	case c.SetDomain != nil:
		m.checkOperation(t, c, c.SetDomain, r, s.Revision())
	case c.ChangeReplicas != nil:
		m.checkOperation(t, c, c.ChangeReplicas, r, s.Revision())
	case c.EndReplicas != nil:
		m.checkEnd(t, c.EndReplicas, r)
	case c.StageMove != nil:
		m.checkStage(t, s, c.StageMove, r)
	case c.NextToken != nil, c.Lead != nil:
		if r.Token <= m.token {
			t.Fatalf("token %d follows %d", r.Token, m.token)
		}
		m.token = r.Token
	case c.Register != nil:
		if held, ok := m.leases[c.Register.Instance.ID]; ok && r.Register.Lease < held {
			t.Fatalf("lease %d follows %d", r.Register.Lease, held)
		}
		m.leases[c.Register.Instance.ID] = r.Register.Lease
		if got := s.Directory().Endpoints; len(got) == 0 {
			t.Fatalf("a registered endpoint is not in the directory")
		}
	}
	if moves := s.Moves(); len(moves) > 0 {
		m.stage = moves[0].Stage
	}
	m.revision, m.directory = s.Revision(), s.DirectoryRevision()
}

func (m *model) checkOperation(t *rapid.T, command *Command, c api.Change, r *Result, revision uint64) {
	id := c.Op().ID
	content := string(api.ContentBytes(c))
	outcome := outcomeOf(r)
	first, seen := m.sent[id]
	switch {
	case !seen && strings.Contains(r.Change.Reason, "not known"), !seen && strings.Contains(r.Change.Reason, "no bundle"):
		return // a change that no known operator signed is not recorded
	case !seen:
		m.sent[id] = command
		m.outcomes[id] = outcome
	case string(api.ContentBytes(changeOf(first))) == content:
		assert.Equal(t, outcome, m.outcomes[id], "resend got another outcome")
		assert.Equal(t, revision, m.revision, "resend changed the configuration")
	default:
		assert.Equal(t, r.Change.Outcome, api.OutcomeRefused, "operation ID used twice")
	}
}

// checkEnd checks that only the first EndReplicas of a pending change sets its outcome.
func (m *model) checkEnd(t *rapid.T, c *EndReplicas, r *Result) {
	first, known := m.outcomes[c.Operation]
	switch {
	case !known:
		assert.Assert(t, r.Refused != "")
	case strings.HasPrefix(first, string(api.OutcomePending)):
		assert.Equal(t, r.Change.Outcome, c.Reply.Outcome)
		assert.Equal(t, r.Change.Reason, c.Reply.Reason)
		m.outcomes[c.Operation] = outcomeOf(r)
	default:
		assert.Equal(t, outcomeOf(r), first, "a change ended twice")
	}
}

func outcomeOf(r *Result) string {
	return fmt.Sprintf("%s %s %d", r.Change.Outcome, r.Change.Reason, r.Change.Revision)
}

func changeOf(c *Command) api.Change {
	switch {
	case c.ApplyBundle != nil:
		return c.ApplyBundle
	case c.ChangeReplicas != nil:
		return c.ChangeReplicas
	}
	return c.SetDomain
}

func (m *model) checkOneBundlePerVersion(t *rapid.T, c *api.ApplyBundle, r *Result) {
	b, err := contract.ParseBundle(c.Content)
	assert.NilError(t, err)
	digest := contract.Digest(c.Content)
	applied, taken := m.appliedDigests[b.Version]
	switch {
	case r.Change.Outcome == api.OutcomeAccepted && taken && applied != digest:
		t.Fatalf("two different bundles were applied as version %d", b.Version)
	case r.Change.Outcome == api.OutcomeAccepted:
		m.appliedDigests[b.Version] = digest
	case taken && m.outcomes[c.Operation.ID] != "" && !strings.Contains(r.Change.Reason, "was used for") && !strings.Contains(r.Change.Reason, "in force") && !strings.Contains(r.Change.Reason, applied):
		t.Fatalf("the refusal does not name the digest of the applied bundle: %s", r.Change.Reason)
	}
}

func (m *model) checkStage(t *rapid.T, s *State, c *StageMove, r *Result) {
	moves := s.Moves()
	if r.Refused != "" || len(moves) == 0 {
		return
	}
	if c.Expected != m.stage {
		t.Fatalf("a stage change that expects stage %d was applied at stage %d", c.Expected, m.stage)
	}
	if c.Decision.Action == api.DecisionRaise && moves[0].Stage != m.stage+1 {
		t.Fatalf("stage went from %d to %d", m.stage, moves[0].Stage)
	}
}

// Guards against a claim whose owner is reported as alive after it restarted under a new
// incarnation.
func TestClaimOwnerNotAliveAfterRestart(t *testing.T) {
	s := newStateWithBundle(t, "")
	applyCommand(t, s, &Command{At: epoch, Register: &api.Register{Instance: instance.Instance{ID: "g", Incarnation: 1}}})
	claim := func(d dispatch.ID) *api.ClaimReply {
		return applyCommand(t, s, &Command{At: epoch, Claim: &api.Claim{Account: "mill", Key: "k", TTL: time.Hour, Owner: "g", Dispatch: d}}).Claims[0]
	}
	assert.Equal(t, claim(dispatch.ID{Request: "r1", Gateway: 1}).State, api.ClaimGranted)
	assert.Assert(t, claim(dispatch.ID{Request: "r2", Gateway: 1}).OwnerAlive)
	applyCommand(t, s, &Command{At: epoch, Register: &api.Register{Instance: instance.Instance{ID: "g", Incarnation: 2}}})
	reply := claim(dispatch.ID{Request: "r3", Gateway: 2})
	assert.Equal(t, reply.State, api.ClaimRunning)
	assert.Assert(t, !reply.OwnerAlive)
}
