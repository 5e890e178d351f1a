package lint_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/contract/lint"
	"toucantiller.dev/endpoint"
)

// edited returns the example bundle and the same with edits, each of which must apply.
func edited(t *testing.T, edits ...string) (before *contract.Bundle, after []byte) {
	t.Helper()
	content, err := os.ReadFile("../../examples/library.yaml")
	assert.NilError(t, err)
	before, err = contract.ParseBundle(content)
	assert.NilError(t, err)
	text := string(content)
	for i := 0; i < len(edits); i += 2 {
		assert.Assert(t, strings.Contains(text, edits[i]), "%s", edits[i])
		text = strings.Replace(text, edits[i], edits[i+1], 1)
	}
	assert.Equal(t, len(contract.Validate([]byte(text), time.Now())), 0)
	return before, []byte(text)
}

func lines(changes []lint.Change) (out []string) {
	for _, c := range changes {
		out = append(out, c.String())
	}
	return out
}

func fields(found []lint.Finding) (out []string) {
	for _, f := range found {
		out = append(out, f.Field+" "+f.Code)
	}
	return out
}

var everywhere = []endpoint.Endpoint{
	{Service: "assistant-models", Version: "v1", Domain: "karratha"}, {Service: "circulation", Version: "v1", Domain: "karratha"},
	{Service: "circulation", Version: "v1", Domain: "kalgoorlie", Leaving: true},
}

// Guards against a change of order that is not seen although the first route decides, and against a
// change of a tier or domain that does not say whom it touches.
func TestCompareSeesOrderAndSaysWhatIsTouched(t *testing.T) {
	before, after := edited(t, "version: 1\n", "version: 2\n",
		"  - name: chat\n        method: POST\n        path: /v1/chat/completions", "  - name: completions\n        method: POST\n        path: /v1/completions",
		"  - name: completions\n        method: POST\n        path: /v1/completions\n        idempotent: true\n  - name: circ", "  - name: chat\n        method: POST\n        path: /v1/chat/completions\n        idempotent: true\n  - name: circ",
		"max_queue_time: 30s", "max_queue_time: 20s",
		"  - name: karratha\n    region: wa-north", "  - name: karratha\n    region: wa-south")
	changes, found := lint.CompareBundle(after, &lint.InForce{Bundle: before, Endpoints: everywhere})
	assert.DeepEqual(t, fields(found), []string(nil))
	assert.DeepEqual(t, lines(changes), []string{
		"changed version: 1 -> 2",
		"changed tiers[reports].max_queue_time: 30s -> 20s (touches account reading-reports)",
		"changed failure_domains[karratha].region: wa-north -> wa-south (touches 2 endpoints)",
		"changed services[assistant-models].routes: chat, completions -> completions, chat (touches service assistant-models, 1 endpoint)",
	})
}

// Guards against a bundle that passes the check and is refused by control because of the moves
// before it.
func TestCompareKnowsMoves(t *testing.T) {
	before, after := edited(t, "version: 1\n", "version: 2\n")
	in := &lint.InForce{Bundle: before, Endpoints: everywhere}
	in.Moves = []lint.Move{{Service: "assistant-models", From: "v1", To: "v2", Done: true}}
	_, found := lint.CompareBundle(after, in)
	assert.DeepEqual(t, fields(found), []string{"services[0].version move"})
	in.Moves = []lint.Move{{Service: "catalogue", From: "v1", To: "v2", UnderWay: true}}
	_, found = lint.CompareBundle(after, in)
	assert.DeepEqual(t, fields(found), []string{"services move"})
	in.Moves = []lint.Move{{Service: "assistant-models", From: "v1", To: "v2"}}
	_, found = lint.CompareBundle(after, in)
	assert.DeepEqual(t, fields(found), []string(nil))
}

// Guards against a configuration that is sent in vain: a service without endpoints, and a document
// whose number is not above that in force.
func TestCompareKnowsEndpointsAndNumbers(t *testing.T) {
	before, after := edited(t, "version: 1\n", "version: 2\n")
	_, found := lint.CompareBundle(after, &lint.InForce{Bundle: before, Endpoints: everywhere[:1]})
	assert.DeepEqual(t, fields(found), []string{"services[1].version no-endpoints"})
	in := &lint.InForce{Document: &contract.Document{Version: 4}}
	changes, found := lint.CompareDocument(&contract.Document{Version: 4, IdleTimeout: time.Minute}, in)
	assert.DeepEqual(t, lines(changes), []string{"changed idle_timeout: not set -> 1m0s"})
	assert.DeepEqual(t, fields(found), []string{"version version"})
	assert.Equal(t, found[0].Severity, lint.Warning, "control acknowledges an older document")
}
