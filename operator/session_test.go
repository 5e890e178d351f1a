package operator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/operator"
)

var start = time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)

// fakeControl is a control leader in memory. It checks signatures as the real one does.
type fakeControl struct {
	now     func() time.Time
	bundle  *contract.Bundle
	content []byte
	by      string
	applied map[uint64]string
	results map[string]*api.ChangeReply
	signed  map[string]string
	status  api.Status
	duties  api.DutiesReply
	// document is in force in place of a bundle.
	document *contract.Document
	// script holds the moves that following calls of Status show.
	script []api.Move
	// live is a move that goes on as time passes.
	live *liveMove
	// lose makes so many answers to changes get lost after they were carried out.
	lose  int
	calls []string
}

func (f *fakeControl) change(c api.Change, carry func() string) (*api.ChangeReply, error) {
	op := c.Op()
	f.calls = append(f.calls, op.ID)
	reply, seen := f.results[op.ID]
	if seen && f.signed[op.ID] != string(api.SigningBytes(c)) {
		return &api.ChangeReply{Outcome: api.OutcomeRefused, Reason: "operation " + op.ID + " was used for another change"}, nil
	}
	if !seen {
		f.signed[op.ID] = string(api.SigningBytes(c))
		reply = &api.ChangeReply{Outcome: api.OutcomeAccepted}
		if reason := f.refusal(c, carry); reason != "" {
			reply = &api.ChangeReply{Outcome: api.OutcomeRefused, Reason: reason}
		} else {
			f.status.Revision++
			reply.Revision = f.status.Revision
		}
		f.results[op.ID] = reply
	}
	if f.lose > 0 {
		f.lose--
		return nil, errors.New("call Control.ApplyBundle 127.0.0.1:7100: connection is silent")
	}
	return reply, nil
}

func (f *fakeControl) refusal(c api.Change, carry func() string) string {
	b := f.bundle
	if a, ok := c.(*api.ApplyBundle); ok && b == nil {
		b, _ = contract.ParseBundle(a.Content)
	}
	if b == nil || !b.VerifyOperator(c.Op().Operator, api.SigningBytes(c), c.Op().Signature) {
		return fmt.Sprintf("the signature of %s does not match the change", c.Op().Operator)
	}
	return carry()
}

func (f *fakeControl) ApplyBundle(_ context.Context, a *api.ApplyBundle) (*api.ChangeReply, error) {
	return f.change(a, func() string {
		var offs []contract.SignOff
		for _, s := range a.Signatures {
			offs = append(offs, contract.SignOff(s))
		}
		if err := contract.Verify(a.Content, offs, f.bundle, f.now()); err != nil {
			return err.Error()
		}
		b, err := contract.ParseBundle(a.Content)
		if err != nil {
			return err.Error()
		}
		if by, taken := f.applied[b.Version]; taken {
			return fmt.Sprintf("version %d was applied by %s", b.Version, by)
		}
		f.applied[b.Version] = fmt.Sprintf("%s with digest %s", a.Operation.Operator, contract.Digest(a.Content)[:12])
		f.bundle, f.content, f.by = b, a.Content, a.Operation.Operator
		f.status.Bundle = contract.BundleRef{Name: b.Name, Version: b.Version, Digest: contract.Digest(a.Content)}
		return ""
	})
}

func (f *fakeControl) SetDomain(_ context.Context, c *api.SetDomain) (*api.ChangeReply, error) {
	return f.change(c, func() string {
		for i, d := range f.status.Domains {
			if d.ID == c.Domain {
				f.status.Domains[i].State = c.State
				return ""
			}
		}
		return fmt.Sprintf("failure domain %s is not in the bundle", c.Domain)
	})
}

func (f *fakeControl) AbortMove(_ context.Context, c *api.AbortMove) (*api.ChangeReply, error) {
	return f.change(c, func() string {
		if f.live == nil {
			return fmt.Sprintf("service %s has no move in progress", c.Service)
		}
		f.live.advance(f.now(), f.status.Domains)
		f.live.State, f.live.Share, f.live.Ended = api.MoveTakenBack, 0, f.now()
		f.live.Cause = fmt.Sprintf("aborted by %s: %s", c.Operation.Operator, c.Reason)
		return ""
	})
}

func (f *fakeControl) ChangeReplicas(_ context.Context, c *api.ChangeReplicas) (*api.ChangeReply, error) {
	reply, err := f.change(c, func() string {
		if c.Action == api.ReplicasRemove && c.Address == f.status.Leader {
			return "remove " + c.Address + ": the leader cannot remove itself; transfer leadership first"
		}
		return ""
	})
	if err == nil && reply.Outcome == api.OutcomeAccepted {
		reply.Detail = fmt.Sprintf("%s: %s", c.Action, c.Address)
	}
	return reply, err
}

func (f *fakeControl) Bundle(context.Context) (*api.BundleReply, error) {
	if f.document != nil {
		return &api.BundleReply{Document: f.document}, nil
	}
	return &api.BundleReply{Content: f.content, Author: f.bundle.Author, AppliedBy: f.by, AppliedAt: start, Signatures: []api.Signature{{Operator: "bashir"}}}, nil
}

func (f *fakeControl) Duties(context.Context) (*api.DutiesReply, error) {
	return &f.duties, nil
}

func (f *fakeControl) Status(context.Context) (*api.Status, error) {
	if f.live != nil {
		f.live.advance(f.now(), f.status.Domains)
		f.status.Moves = []api.Move{f.live.Move}
	}
	if len(f.script) > 0 {
		f.status.Moves = f.script[:1]
		f.script = f.script[1:]
	}
	st := f.status
	return &st, nil
}

// shell runs commands as an operator would and records the session.
type shell struct {
	t       *testing.T
	dir     string
	control *fakeControl
	clock   time.Time
	ids     int
	record  bytes.Buffer
	tty     bool
}

func newShell(t *testing.T) *shell {
	t.Helper()
	s := &shell{t: t, dir: t.TempDir(), clock: start}
	s.control = &fakeControl{now: func() time.Time { return s.clock }, applied: map[uint64]string{}, results: map[string]*api.ChangeReply{}, signed: map[string]string{}}
	s.control.status = api.Status{Replica: "control-1", InForce: true, Domains: []failuredomain.Domain{{ID: "lagos-a", Region: "lagos", State: failuredomain.StateActive}, {ID: "lagos-b", Region: "lagos", State: failuredomain.StateActive}}}
	for _, name := range []string{"weavers.yaml", "weavers-move.yaml"} {
		content, err := os.ReadFile("../examples/" + name)
		assert.NilError(t, err)
		s.write(name, string(content))
	}
	for _, name := range []string{"adaeze", "bashir", "chidinma"} {
		assert.NilError(t, contract.WriteKeyFile(filepath.Join(s.dir, name+".key"), contract.DemoKey(name)))
	}
	return s
}

func (s *shell) write(name, content string) {
	assert.NilError(s.t, os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600))
}

// run executes a command line; @ stands for the folder of the session.
func (s *shell) run(command string) int {
	s.t.Helper()
	var out bytes.Buffer
	env := operator.Env{
		Stdout: &out, Stderr: &out, Terminal: s.tty,
		Now:   func() time.Time { return s.clock },
		NewID: func() string { s.ids++; return fmt.Sprintf("operation-%d", s.ids) },
		Sleep: func(_ context.Context, d time.Duration) bool {
			s.clock = s.clock.Add(d)
			return true
		},
		Connect: func(*operator.CLI) (operator.Control, error) { return s.control, nil },
		HTTP:    http.DefaultClient,
	}
	status := operator.Main(context.Background(), strings.Fields(strings.ReplaceAll(command, "@", s.dir+"/")), env)
	fmt.Fprintf(&s.record, "$ toucanctl %s\n%s[exit %d]\n", strings.ReplaceAll(command, "@", ""), strings.ReplaceAll(out.String(), s.dir+"/", ""), status)
	return status
}

func (s *shell) golden(name string) {
	s.t.Helper()
	golden.Assert(s.t, s.record.String(), name)
}

const (
	asAdaeze   = " --operator adaeze --key @adaeze.key"
	asBashir   = " --operator bashir --key @bashir.key"
	asChidinma = " --operator chidinma --key @chidinma.key"
)

// Guards against a bundle whose problems are reported one at a time or without place and
// remedy.
func TestSessionValidate(t *testing.T) {
	s := newShell(t)
	bad, err := os.ReadFile("testdata/many-problems.yaml")
	assert.NilError(t, err)
	s.write("many-problems.yaml", string(bad))
	s.write("broken.yaml", "name: [weavers\n")
	assert.Equal(t, s.run("bundle validate @weavers.yaml"), 0)
	assert.Equal(t, s.run("bundle validate @many-problems.yaml"), 1)
	assert.Equal(t, s.run("bundle validate @broken.yaml -o json"), 1)
	assert.Equal(t, s.run("bundle validate @missing.yaml"), 2)
	s.golden("validate.golden")
}

// Guards against applying what is not signed off, what was changed after signing, and an
// operator's own sign-off.
func TestSessionSignAndApply(t *testing.T) {
	s := newShell(t)
	assert.Equal(t, s.run("bundle apply @weavers.yaml"+asAdaeze), 1)
	assert.Equal(t, s.run("bundle sign @weavers.yaml"+asAdaeze), 1)
	assert.Equal(t, s.run("bundle sign @weavers.yaml"+asBashir), 0)
	assert.Equal(t, s.run("bundle apply @weavers.yaml"+asAdaeze), 0)
	assert.Equal(t, s.run("bundle show"), 0)
	assert.Equal(t, s.run("bundle sign @weavers-move.yaml"+asBashir), 0)
	content, err := os.ReadFile(filepath.Join(s.dir, "weavers-move.yaml"))
	assert.NilError(t, err)
	s.write("weavers-move.yaml", string(content)+"# one more line\n")
	assert.Equal(t, s.run("bundle apply @weavers-move.yaml"+asAdaeze), 1)
	s.clock = s.clock.Add(25 * time.Hour)
	s.write("weavers-move.yaml", string(content))
	assert.Equal(t, s.run("bundle apply @weavers-move.yaml -o json"+asAdaeze), 1)
	s.golden("sign-apply.golden")
}

// Guards against a second winner of a version, and against an outcome that is reported
// without knowing it.
func TestSessionTwoOperatorsRace(t *testing.T) {
	s := newShell(t)
	s.write("other.yaml", strings.Replace(readFile(t, s.dir+"/weavers.yaml"), "serve_stale: 10m", "serve_stale: 5m", 1))
	s.run("bundle sign @weavers.yaml" + asBashir)
	s.run("bundle sign @other.yaml" + asBashir)
	assert.Equal(t, s.run("bundle apply @weavers.yaml"+asAdaeze), 0)
	assert.Equal(t, s.run("bundle apply @other.yaml"+asChidinma), 1)
	s.control.lose = 1
	assert.Equal(t, s.run("domain drain lagos-a"+asAdaeze), 1)
	s.clock = s.clock.Add(time.Minute)
	lost := s.control.calls[len(s.control.calls)-1]
	assert.Equal(t, s.run("domain drain lagos-a --operation "+lost+asAdaeze), 0)
	assert.Equal(t, s.run("domain restore lagos-a --operation "+lost+asAdaeze), 1)
	assert.Equal(t, s.run("domain restore lagos-a --operation 1"+asAdaeze), 2)
	assert.Equal(t, s.control.status.Revision, uint64(2), "a repeated change must happen once")
	s.golden("race.golden")
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(content)
}

// Guards against "in force everywhere" that control did not state.
func TestSessionDomains(t *testing.T) {
	s := newShell(t)
	s.run("bundle sign @weavers.yaml" + asBashir)
	s.run("bundle apply @weavers.yaml" + asAdaeze)
	s.control.status.InForce = false
	s.control.status.Processes = []api.ProcessStatus{{Instance: instance.Instance{ID: "gateway-1", Domain: "lagos-a"}, Revision: 1}, {Instance: instance.Instance{ID: "gateway-2", Domain: "lagos-b"}, Revision: 2}}
	assert.Equal(t, s.run("domain drain lagos-a"+asAdaeze), 0)
	s.control.status.Processes = nil
	assert.Equal(t, s.run("domain status"), 0)
	s.control.status.InForce = true
	assert.Equal(t, s.run("domain restore lagos-a --wait"+asAdaeze), 0)
	assert.Equal(t, s.run("domain status lagos-a -o json"), 0)
	assert.Equal(t, s.run("domain drain karratha"+asAdaeze), 1)
	assert.Equal(t, s.run("domain drain lagos-a --operator adaeze --key @bashir.key"), 1)
	assert.Equal(t, s.run("domain drain"), 2)
	s.golden("domains.golden")
}

// Guards against a control replica whose role is not told plainly, an unknown outcome that
// is reported as known, and a change of the group without the operator's key.
func TestSessionReplicas(t *testing.T) {
	s := newShell(t)
	s.run("bundle sign @weavers.yaml" + asBashir)
	s.run("bundle apply @weavers.yaml" + asAdaeze)
	s.control.status.Leader, s.control.status.Term = "10.0.0.1:7400", 7
	s.control.status.Replicas = []api.Replica{
		{Address: "10.0.0.1:7400", ID: 11400714819323198485, Voter: true},
		{Address: "10.0.0.2:7400", ID: 4354685564936845355, Voter: true},
		{Address: "10.0.0.3:7400", ID: 7046029254386353131, Voter: true},
		{Address: "10.0.0.3:7400", ID: 1181783497276652981},
	}
	assert.Equal(t, s.run("replica status"), 0)
	assert.Equal(t, s.run("replica status -o json"), 0)
	s.control.lose = 1
	assert.Equal(t, s.run("replica add 10.0.0.3:7400"+asAdaeze), 1)
	lost := s.control.calls[len(s.control.calls)-1]
	assert.Equal(t, s.run("replica add 10.0.0.3:7400 --operation "+lost+asAdaeze), 0)
	assert.Equal(t, s.run("replica remove 10.0.0.3:7400 --operation "+lost+asAdaeze), 1)
	assert.Equal(t, s.run("replica remove 10.0.0.2:7400 -o json"+asAdaeze), 0)
	assert.Equal(t, s.run("replica remove 10.0.0.1:7400"+asAdaeze), 1)
	assert.Equal(t, s.run("replica add 10.0.0.3:7400 --operator adaeze --key @bashir.key"), 1)
	assert.Equal(t, s.run("replica add"), 2)
	s.golden("replicas.golden")
}

func move(state api.MoveState, stage int, share float64, after time.Duration, cause string) api.Move {
	m := api.Move{Service: "weft-lm", From: "v1", To: "v2", State: state, Stage: stage, Share: share, Started: start, Deadline: start.Add(30 * time.Minute), Cause: cause}
	if state == api.MoveDone || state == api.MoveTakenBack {
		m.Ended = start.Add(after)
	}
	return m
}

func goodMove() []api.Move {
	return []api.Move{
		move(api.MoveRunning, 1, 0.01, 0, "next stage planned at 12:04:30 UTC"),
		move(api.MoveRunning, 1, 0.01, 0, "next stage planned at 12:04:30 UTC"),
		move(api.MoveRunning, 2, 0.03, 0, "next stage planned at 12:10:30 UTC"),
		move(api.MoveWatching, 6, 1, 0, "full share; watched until 12:30:24 UTC"),
		move(api.MoveDone, 7, 1, 30*time.Minute, "all traffic moved, no difference that counts in 11237 answers"),
	}
}

// Guards against a move whose end is not told plainly, and against a wrong exit status.
func TestSessionMoves(t *testing.T) {
	s := newShell(t)
	s.run("move status")
	s.control.script = goodMove()
	assert.Equal(t, s.run("move watch weft-lm"), 0)
	assert.Equal(t, s.run("move status"), 0)
	back := move(api.MoveTakenBack, 3, 0, 11*time.Minute, "v2 is worse than v1: failed answers on route chat:\n 31.2% over 16 answers of v2, 0.5% over 128 of v1")
	back.Evidence = []api.MoveEvidence{{Route: "chat", Measure: "errors", Old: 0.005, New: 0.312, OldN: 128, NewN: 16, LogEvidence: 14.2}}
	s.control.script = []api.Move{move(api.MoveRunning, 2, 0.03, 0, "next stage planned at 12:10:30 UTC"), back}
	assert.Equal(t, s.run("move watch"), 1)
	assert.Equal(t, s.run("move status weft-lm"), 1)
	assert.Equal(t, s.run("move status -o json"), 1)
	assert.Equal(t, s.run("move status circulation"), 1)
	s.tty = true
	s.control.script = goodMove()
	assert.Equal(t, s.run("move watch"), 0)
	s.golden("moves.golden")
}

// Guards against a time line that loses or misorders events, or fails because one process
// does not answer.
func TestSessionTimeline(t *testing.T) {
	s := newShell(t)
	events := map[string]string{
		"gateway-1": `[{"at":{"wall":1936008000000000000,"logical":0},"process":"gateway-1","seq":1,"kind":"request.received","request":"r1"},{"at":{"wall":1936008000250000000,"logical":1},"process":"gateway-1","seq":2,"kind":"request.done","request":"r1","cause":"agent-1/1"}]`,
		"agent-1":   `[{"at":{"wall":1936008000250000000,"logical":0},"process":"agent-1","seq":1,"kind":"dispatch.committed","request":"r1","endpoint":"agent-1","detail":"<script>"},{"at":{"wall":1,"logical":0},"process":"agent-1","seq":2,"kind":"dispatch.committed","request":"r2"}]`,
	}
	for id, body := range events {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer server.Close()
		s.control.status.Processes = append(s.control.status.Processes, api.ProcessStatus{Instance: instance.Instance{ID: instance.ID(id), AdminAddress: strings.TrimPrefix(server.URL, "http://")}})
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	s.control.status.Processes = append(s.control.status.Processes, api.ProcessStatus{Instance: instance.Instance{ID: "gateway-2", AdminAddress: strings.TrimPrefix(gone.URL, "http://")}})
	defer gone.Close()
	assert.Equal(t, s.run("timeline --request r1"), 0)
	assert.Equal(t, s.run("timeline --request r1 --html @page.html"), 0)
	page := readFile(t, s.dir+"/page.html")
	assert.Assert(t, strings.Contains(page, "<th>agent-1</th><th>gateway-1</th>") && !strings.Contains(page, "<script>\n<"))
	assert.Assert(t, !strings.Contains(page, "<br><script>"), "details must be escaped")
	record := strings.ReplaceAll(s.record.String(), strings.TrimPrefix(gone.URL, "http://"), "127.0.0.1:9")
	golden.Assert(t, record, "timeline.golden")
	golden.Assert(t, strings.ReplaceAll(page, strings.TrimPrefix(gone.URL, "http://"), "127.0.0.1:9"), "timeline.html.golden")
}

// Guards against key material in output, and against keys that others can read.
func TestSessionKeys(t *testing.T) {
	s := newShell(t)
	assert.Equal(t, s.run("key generate --out @demo.key --demo adaeze"), 0)
	assert.Equal(t, s.run("key generate --out @demo.key"), 1)
	assert.Equal(t, s.run("key generate"), 2)
	assert.NilError(t, os.Chmod(filepath.Join(s.dir, "bashir.key"), 0o644))
	assert.Equal(t, s.run("bundle sign @weavers.yaml"+asBashir), 2)
	s.write("not.key", "hello\n")
	assert.Equal(t, s.run("bundle sign @weavers.yaml --operator bashir --key @not.key"), 2)
	secret := strings.Fields(readFile(t, s.dir+"/adaeze.key"))[1]
	assert.Assert(t, !strings.Contains(s.record.String(), secret))
	s.golden("keys.golden")
}
