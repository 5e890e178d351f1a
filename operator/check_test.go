package operator_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/contract/lint"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/program"
)

// Guards against a mistake that the check does not find on its line, and against a finding where
// there is no mistake.
func TestCheckFindsEachPlantedMistake(t *testing.T) {
	content := readFile(t, "testdata/check-planted.yaml")
	var want, got []string
	for i, text := range strings.Split(content, "\n") {
		if _, code, planted := strings.Cut(text, "# planted: "); planted {
			want = append(want, fmt.Sprintf("line %d %s", i+1, code))
		}
	}
	for _, f := range lint.Bundle([]byte(content), start) {
		got = append(got, fmt.Sprintf("line %d %s", f.Line, f.Code))
	}
	assert.Assert(t, len(want) >= 20)
	assert.DeepEqual(t, got, want)
}

// Guards against findings on configurations without a mistake.
func TestCheckSaysNothingOnExamples(t *testing.T) {
	s := newShell(t)
	files, err := filepath.Glob("../examples/*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8)
	for _, f := range append(files, "../platform/testdata/check/plain.json") {
		assert.Equal(t, s.run("bundle check --offline "+f), 0, "%s", s.record.String())
	}
}

// Guards against a check that changes something, hides a difference or prints a key, and against
// a wrong exit status.
func TestSessionCheck(t *testing.T) {
	s := newShell(t)
	s.write("planted.yaml", readFile(t, "testdata/check-planted.yaml"))
	assert.Equal(t, s.run("bundle check @planted.yaml"), 1)
	assert.Equal(t, s.run("bundle check @missing.yaml"), 2)
	s.run("bundle sign @weavers.yaml" + asBashir)
	s.run("bundle apply @weavers.yaml" + asAdaeze)
	s.control.status.Endpoints = []endpoint.Endpoint{{ID: "a", Service: "weft-lm", Version: "v1", Domain: "lagos-a"}, {ID: "b", Service: "member-desk", Version: "v1", Domain: "lagos-b"}}
	calls := len(s.control.calls)
	assert.Equal(t, s.run("bundle check @weavers.yaml"), 0)
	assert.Equal(t, s.run("bundle check @weavers-move.yaml"), 1)
	changed := readFile(t, s.dir+"/weavers-move.yaml")
	for _, edit := range [][2]string{{"version: 2\n", "version: 1\n"}, {"weight: 4", "weight: 5"}, {"serve_stale: 10m", "serve_stale: 5m"}} {
		assert.Assert(t, strings.Contains(changed, edit[0]), "%s", edit[0])
		changed = strings.Replace(changed, edit[0], edit[1], 1)
	}
	s.write("changed.yaml", changed)
	s.control.status.Moves = []api.Move{{Service: "weft-lm", From: "v1", To: "v3", State: api.MoveRunning}}
	assert.Equal(t, s.run("bundle check @changed.yaml"), 1)
	assert.Equal(t, s.run("bundle check -o json @changed.yaml"), 1)
	assert.Equal(t, s.run("bundle check ../platform/testdata/check/plain.json"), 2)
	assert.Equal(t, len(s.control.calls), calls, "a check must change nothing")
	s.golden("check.golden")
}

// Guards against a mistake in a document that is not found, against the loss of a field in the
// comparison, and against keys in output.
func TestSessionCheckDocument(t *testing.T) {
	s := newShell(t)
	planted := readFile(t, "../platform/testdata/check/planted.json")
	s.write("planted.json", planted)
	assert.Equal(t, s.run("bundle check @planted.json"), 1)
	s.write("broken.json", "{\n  \"version\": 1,\n  \"routes\": [}\n}\n")
	assert.Equal(t, s.run("bundle check @broken.json"), 1)
	plain := readFile(t, "../platform/testdata/check/plain.json")
	s.write("plain.json", plain)
	assert.Equal(t, s.run("bundle check @plain.json"), 1)
	inForce, err := program.DecodeDocument([]byte(plain))
	assert.NilError(t, err)
	inForce.Content = nil
	s.control.document = inForce
	s.control.status.Bundle = contract.BundleRef{Name: "document", Version: 7}
	assert.Equal(t, s.run("bundle check @plain.json"), 0)
	next := strings.NewReplacer(`"version": 7`, `"version": 8`, `"weight": 1}`, `"weight": 2}`, "planted-key-1", "planted-key-5", `"max_conns": 8`, `"max_conns": 9`, `"rate_per_s": 100`, `"rate_per_s": 90`).Replace(plain)
	s.write("next.json", next)
	for _, service := range []string{"books", "books", "engines"} {
		s.control.status.Endpoints = append(s.control.status.Endpoints, endpoint.Endpoint{Service: service})
	}
	assert.Equal(t, s.run("bundle check @next.json"), 1)
	assert.Assert(t, !strings.Contains(s.record.String(), "planted-key"))
	s.golden("check-document.golden")
}

// Guards against output in JSON without a list, which other programs read.
func TestCheckListsAreNeverNull(t *testing.T) {
	s := newShell(t)
	assert.Equal(t, s.run("bundle check --offline -o json @weavers.yaml"), 0)
	body := s.record.String()
	body = body[strings.Index(body, "{") : strings.LastIndex(body, "}")+1]
	var out map[string]any
	assert.NilError(t, json.Unmarshal([]byte(body), &out))
	for _, list := range []string{"findings", "changes"} {
		assert.Assert(t, out[list] != nil, "%s", list)
	}
	assert.Assert(t, slices.Contains([]any{"--offline"}, out["not_compared"]))
}
