package distribution_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/uptime"
)

const sharedRoutes = 300

// sharedDocument has routes of one host with two prefixes each.
func sharedDocument() *contract.Document {
	d := &contract.Document{Version: 1, Services: []*contract.Service{{Name: "lm"}}}
	for i := range sharedRoutes {
		name := fmt.Sprintf("r%d", i)
		split := []contract.WeightedService{{Service: "lm", Weight: 1}}
		d.Routes = append(d.Routes,
			contract.IngressRoute{Name: "short", Host: name, Prefix: "/", Split: split},
			contract.IngressRoute{Name: "long", Host: name, Prefix: "/long/", Split: split})
		d.Accounts = append(d.Accounts, &account.Account{Name: name, KeyHashes: []string{account.HashKey(name)}})
	}
	return d
}

// compileShared compiles the document with lagos-a evacuated at every second revision and a move
// whose share rises.
func compileShared(d *contract.Document, revision uint64) *contract.Config {
	return contract.CompileDocument(contract.DocumentInput{
		Revision: revision, Document: d, Domains: config(revision).Domains,
		Moves: []contract.MoveShare{{Service: "lm", From: "1", To: "2", Share: float64(revision) / 1000}},
	})
}

// overLink returns a view as a subscriber decodes it.
func overLink(t *testing.T, v api.View) *api.View {
	var b bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&b).Encode(&v))
	out := &api.View{}
	assert.NilError(t, gob.NewDecoder(&b).Decode(out))
	return out
}

// readShared reads a holder's configuration as requests do until done is closed.
func readShared(t *testing.T, h *distribution.Holder, done <-chan struct{}) {
	for i := 0; ; i = (i + 1) % sharedRoutes {
		select {
		case <-done:
			return
		default:
		}
		c, name := h.Config(), fmt.Sprintf("r%d", i)
		r, found := c.Ingress.Route(name, "/long/x")
		if !found || r.Name != "long" {
			t.Errorf("revision %d routes %s to %v", c.Revision, name, r)
			return
		}
		_, byName := c.AccountByName(name)
		_, byKey := c.AccountByKey(name)
		if !byName || !byKey {
			t.Errorf("revision %d does not know account %s", c.Revision, name)
			return
		}
	}
}

// Guards against a routing or account index that changes after readers have it: at a change that
// leaves the document as it is, and at a configuration that its publisher reads itself.
func TestChangesLeaveSharedIndexesAlone(t *testing.T) {
	d := sharedDocument()
	chain := []*distribution.Holder{distribution.NewHolder(nil), distribution.NewHolder(nil), distribution.NewHolder(nil)}
	for _, h := range chain {
		_, err := h.Accept(viewOf(compileShared(d, 1)), uptime.Now())
		assert.NilError(t, err)
	}
	done := make(chan struct{})
	var readers sync.WaitGroup
	for _, h := range chain {
		for range 2 {
			readers.Go(func() { readShared(t, h, done) })
		}
	}
	for revision := uint64(2); revision < 60; revision++ {
		own := compileShared(d, revision)
		readers.Go(func() { _, _ = own.AccountByName("r0") })
		for range 2 {
			_, err := chain[0].Accept(viewOf(own), uptime.Now())
			assert.NilError(t, err)
		}
		for i, h := range chain[1:] {
			v := chain[i].Wait(&api.Subscribe{Revision: revision - 1}, nil)
			assert.Assert(t, v.ConfigDelta.SameIngress)
			_, err := h.Accept(overLink(t, v), uptime.Now())
			assert.NilError(t, err)
			assert.Equal(t, h.Revision(), revision)
			assert.Equal(t, drained(h), revision%2 == 1)
		}
		time.Sleep(time.Millisecond)
	}
	close(done)
	readers.Wait()
}

// Guards against a full configuration that is decoded without its routing or account index.
func TestDecodedConfigurationIsIndexed(t *testing.T) {
	source, target := distribution.NewHolder(nil), distribution.NewHolder(nil)
	_, err := source.Accept(viewOf(compileShared(sharedDocument(), 1)), uptime.Now())
	assert.NilError(t, err)
	_, err = target.Accept(overLink(t, source.Wait(&api.Subscribe{}, nil)), uptime.Now())
	assert.NilError(t, err)
	done := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(done) })
	readShared(t, target, done)
	assert.Equal(t, target.Config().Domains["lagos-a"].State, failuredomain.StateDrained)
}

func viewOf(c *contract.Config) *api.View { return &api.View{Config: &c.Parts} }
