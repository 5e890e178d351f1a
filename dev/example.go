package dev

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/examples"
	"toucantiller.dev/fake"
)

// example is an example bundle with the demo identities that toucan-dev uses.
type example struct {
	content []byte
	bundle  *contract.Bundle
	// model is the name of the model that the built-in callers request; key is their API key, the
	// demo key of the first account.
	model string
	key   string
	// author applies the bundle; signer is another operator, who signs it off.
	author, signer string
}

func loadExample(name string) (example, error) {
	content, err := examples.Files.ReadFile(name + ".yaml")
	if err != nil {
		return example{}, err
	}
	if problems := contract.Validate(content, time.Now()); len(problems) > 0 {
		return example{}, fmt.Errorf("example %s: %v", name, problems[0])
	}
	b, err := contract.ParseBundle(content)
	if err != nil {
		return example{}, err
	}
	ex := example{content: content, bundle: b, author: b.Author, key: "demo-" + b.Accounts[0].Name}
	for _, s := range b.Services {
		if s.Kind == contract.KindModel {
			ex.model = s.Models[0]
		}
	}
	for _, o := range b.Operator {
		if o.Name != b.Author {
			ex.signer = o.Name
			break
		}
	}
	return ex, nil
}

// apply signs the bundle off with the demo key of signer and applies it as author.
func (e *example) apply(ctx context.Context, client *control.Client) error {
	now := time.Now()
	change := &api.ApplyBundle{
		Operation:  api.Operation{ID: operationID(), Operator: e.author},
		Content:    e.content,
		Signatures: []api.Signature{api.Signature(contract.Sign(e.content, e.signer, contract.DemoKey(e.signer), now))},
	}
	api.Sign(change, contract.DemoKey(e.author), now)
	reply, err := client.ApplyBundle(ctx, change)
	if err != nil {
		return err
	}
	if reply.Outcome != api.OutcomeAccepted {
		return errors.New("applying the example bundle: " + reply.Reason)
	}
	return nil
}

func operationID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

// fakeEndpoint is one endpoint of the development deployment.
type fakeEndpoint struct {
	id, service, version, domain string
	engine                       http.Handler
}

// Versions of the model service at the fake endpoints: the initial one, a healthy one to move to, and
// one that fails requests, so that a move to it is taken back.
const (
	versionFirst = "v1"
	versionGood  = "v2"
	versionBad   = "v3"
	// badFailShare is the fraction of requests that the engines of versionBad fail.
	badFailShare = 0.3
)

// speeds are the relative speeds of the model endpoints by failure domain, repeated when there are
// more domains.
var speeds = []float64{1, 0.6, 0.35}

const (
	prefillRate       = 20000 // tokens per second at relative speed 1
	decodeRate        = 400   // tokens per second at relative speed 1
	fullSpeedRequests = 16    // concurrent requests at full speed
	plainDelay        = 2 * time.Millisecond
)

// endpoints returns the fake endpoints: in each failure domain, one for each plain service and one
// for each version of each model service.
func (e *example) endpoints() []fakeEndpoint {
	var out []fakeEndpoint
	for i, d := range e.bundle.Domains {
		for _, s := range e.bundle.Services {
			if s.Kind == contract.KindPlain {
				id := fmt.Sprintf("%s-%s", s.Name, d.Name)
				out = append(out, fakeEndpoint{id: id, service: s.Name, version: s.Version, domain: d.Name, engine: fake.NewPlain(id, plainDelay)})
				continue
			}
			for _, version := range []string{versionFirst, versionGood, versionBad} {
				out = append(out, modelEndpoint(s.Name, version, d.Name, speeds[i%len(speeds)]))
			}
		}
	}
	return out
}

func modelEndpoint(service, version, domain string, speed float64) fakeEndpoint {
	b := fake.Behaviour{PrefillRate: prefillRate * speed, DecodeRate: decodeRate * speed, Batch: fullSpeedRequests}
	if version == versionBad {
		b.FailShare = badFailShare
	}
	id := fmt.Sprintf("%s-%s-%s", service, version, domain)
	return fakeEndpoint{id: id, service: service, version: version, domain: domain, engine: fake.NewModel(id, b)}
}
