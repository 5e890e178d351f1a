package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

func document(version uint64, content string) *contract.Document {
	return &contract.Document{
		Version: version, Content: []byte(content),
		Services: []*contract.Service{{Name: "lm", Kind: contract.KindModel}},
		Routes: []contract.IngressRoute{{
			Name: "chat", Host: "h", Prefix: "/chat/", Kind: contract.RouteStream, Timeout: time.Second,
			Split: []contract.WeightedService{{Service: "lm", Weight: 1}},
		}},
		Accounts: []*account.Account{{Name: "mills", KeyHashes: []string{"k"}}},
	}
}

func announce(id string, incarnation uint64, target, version string) *Command {
	e := &endpoint.Endpoint{ID: instance.ID(id), Incarnation: instance.Incarnation(incarnation), Service: "lm", Version: version, Target: target}
	return &Command{At: epoch, Register: &api.Register{Instance: instance.Instance{ID: e.ID, Incarnation: e.Incarnation}, Endpoint: e}}
}

// Guards against a document of an older or the same version that takes effect or is refused,
// and against a document that is lost by a snapshot.
func TestOnlyNewerDocumentTakesEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		highest, content := uint64(0), ""
		for i := range rapid.IntRange(1, 20).Draw(t, "documents") {
			version := uint64(rapid.IntRange(1, 10).Draw(t, "version"))
			text := fmt.Sprintf("content %d", i)
			r := applyCommand(t, s, &Command{At: epoch, ApplyDocument: document(version, text)})
			assert.Equal(t, r.Refused, "")
			if version > highest {
				highest, content = version, text
			}
			assert.Equal(t, s.Document().Version, highest)
			assert.Equal(t, string(s.Document().Content), content)
			assert.Equal(t, s.Config().Ingress.Version, highest)
		}
		snapshot, err := s.Snapshot()
		assert.NilError(t, err)
		restored := New()
		assert.NilError(t, restored.Restore(snapshot))
		assert.Equal(t, string(restored.Document().Content), content)
		_, ok := restored.Config().Ingress.Route("h", "/chat/x")
		assert.Assert(t, ok, "the routes of a restored document are not indexed")
	})
}

// Guards against an invalid document that is put in force.
func TestInvalidDocumentIsRefused(t *testing.T) {
	for name, invalidate := range map[string]func(*contract.Document){
		"unknown service":      func(d *contract.Document) { d.Routes[0].Split[0].Service = "gone" },
		"weights of 0":         func(d *contract.Document) { d.Routes[0].Split[0].Weight = 0 },
		"timeout of 0":         func(d *contract.Document) { d.Routes[0].Timeout = 0 },
		"same host and prefix": func(d *contract.Document) { d.Routes = append(d.Routes, d.Routes[0]) },
		"key of two accounts": func(d *contract.Document) {
			d.Accounts = append(d.Accounts, &account.Account{Name: "b", KeyHashes: []string{"k"}})
		},
		"prefix without last slash": func(d *contract.Document) { d.Routes[0].Prefix = "/chat" },
		"no version":                func(d *contract.Document) { d.Version = 0 },
	} {
		s := New()
		d := document(1, "x")
		invalidate(d)
		assert.Assert(t, applyCommand(t, s, &Command{At: epoch, ApplyDocument: d}).Refused != "", name)
		assert.Assert(t, s.Document() == nil, name)
	}
}

// Guards against a delayed announcement that takes effect: of an endpoint that ended, of an
// earlier incarnation, or of an endpoint whose address another one has taken since.
func TestLateAnnouncementsAreRefused(t *testing.T) {
	s := New()
	assert.Equal(t, applyCommand(t, s, announce("a", 10, "1:1", "v1")).Refused, "")
	assert.Assert(t, applyCommand(t, s, announce("a", 9, "1:1", "v1")).Refused != "")
	assert.Equal(t, applyCommand(t, s, announce("b", 20, "1:1", "v1")).Refused, "", "the address was used again")
	assert.Equal(t, len(s.Directory().Endpoints), 1)
	assert.Assert(t, applyCommand(t, s, announce("a", 10, "1:1", "v1")).Refused != "")

	applyCommand(t, s, &Command{At: epoch, EndEndpoint: &EndEndpoint{ID: "b"}})
	assert.Equal(t, len(s.Directory().Endpoints), 0)
	assert.Assert(t, applyCommand(t, s, announce("b", 20, "1:1", "v1")).Refused != "", "the endpoint has ended")
	assert.Equal(t, applyCommand(t, s, announce("b", 21, "1:1", "v1")).Refused, "", "a new incarnation under the same ID")
	applyCommand(t, s, &Command{At: epoch, EndEndpoint: &EndEndpoint{ID: "b", Incarnation: 20}})
	assert.Equal(t, len(s.Directory().Endpoints), 1, "a late end of the earlier incarnation")
}

// Guards against an evacuation that is lost when a document changes, and against a repeated
// command that changes the configuration again.
func TestEvacuationSurvivesNewDocument(t *testing.T) {
	s := New()
	applyCommand(t, s, &Command{At: epoch, ApplyDocument: document(1, "x")})
	order := &Command{At: epoch, SetEvacuated: &SetEvacuated{Domain: "lagos-a", Evacuated: true}}
	applyCommand(t, s, order)
	revision := s.Revision()
	applyCommand(t, s, order)
	assert.Equal(t, s.Revision(), revision)
	applyCommand(t, s, &Command{At: epoch, ApplyDocument: document(2, "y")})
	assert.Equal(t, s.Config().Domains["lagos-a"].State, failuredomain.StateDrained)
	applyCommand(t, s, &Command{At: epoch, SetEvacuated: &SetEvacuated{Domain: "lagos-a"}})
	assert.Assert(t, s.Config().Domains["lagos-a"].AcceptsWork())
}

// Guards against a move under a document that starts from the wrong version, and against a
// resent command that is refused or starts the move again.
func TestMoveUnderDocument(t *testing.T) {
	s := New()
	applyCommand(t, s, &Command{At: epoch, ApplyDocument: document(1, "x")})
	applyCommand(t, s, announce("a", 1, "1:1", "v1"))
	applyCommand(t, s, announce("b", 1, "1:2", "v2"))
	order := &Command{At: epoch, StartMove: &StartMove{Service: "lm", To: "v2", Within: time.Minute}}
	assert.Equal(t, applyCommand(t, s, order).Refused, "")
	assert.Equal(t, applyCommand(t, s, order).Refused, "")
	assert.Equal(t, len(s.Moves()), 1)
	assert.Equal(t, s.Moves()[0].From, "v1")
	service, _ := s.Config().ServiceByName("lm")
	assert.Equal(t, service.Versions[0].Version, "v1")
	assert.Assert(t, applyCommand(t, s, &Command{At: epoch, StartMove: &StartMove{Service: "gone", To: "v2", Within: time.Minute}}).Refused != "")
}
