package state

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/failuredomain"
)

func (s *State) applyBundle(c *api.ApplyBundle) api.ChangeReply {
	b, err := contract.ParseBundle(c.Content)
	if err != nil {
		return s.refusedReply("the bundle is not valid: %v", err)
	}
	if reason := s.checkBundleVersion(b); reason != "" {
		return s.refusedReply("%s", reason)
	}
	operators, err := operatorKeys(b)
	if err != nil {
		return s.refusedReply("%v", err)
	}
	if reason := s.checkSignOffs(c); reason != "" {
		return s.refusedReply("%s", reason)
	}
	if reason := s.checkServices(b); reason != "" {
		return s.refusedReply("%s", reason)
	}
	s.installBundle(b, c, operators)
	return acceptedReply()
}

// checkBundleVersion returns why the bundle's version cannot be applied, with the bundle that
// has this or a higher version, or "".
func (s *State) checkBundleVersion(b *contract.Bundle) string {
	if b.Version == 0 {
		return "the bundle has no version"
	}
	if applied, ok := s.data.Bundles[b.Version]; ok {
		return fmt.Sprintf("version %d was applied by %s with digest %s", b.Version, applied.AppliedBy, applied.Ref.Digest)
	}
	if b.Version < s.data.Current {
		current := s.data.Bundles[s.data.Current]
		return fmt.Sprintf("version %d is in force, applied by %s with digest %s", s.data.Current, current.AppliedBy, current.Ref.Digest)
	}
	return ""
}

// checkSignOffs verifies the sign-offs against the operators and the sign-off rule of the
// bundle in force. It returns why they do not suffice, or "".
func (s *State) checkSignOffs(c *api.ApplyBundle) string {
	signatures := make([]contract.SignOff, len(c.Signatures))
	for i, sig := range c.Signatures {
		signatures[i] = contract.SignOff(sig)
	}
	if err := contract.Verify(c.Content, signatures, s.bundle, s.data.Now); err != nil {
		return err.Error()
	}
	return ""
}

// checkServices returns why the services and the move of a bundle cannot be applied, or "". A
// version changes only by a move, and a service with a move in progress cannot be removed.
func (s *State) checkServices(b *contract.Bundle) string {
	versions := make(map[string]string, len(b.Services))
	for _, svc := range b.Services {
		versions[svc.Name] = svc.Version
		if inForce, ok := s.data.Versions[svc.Name]; ok && inForce != svc.Version {
			return fmt.Sprintf("service %s is at version %s; a bundle that states %s needs a move", svc.Name, inForce, svc.Version)
		}
	}
	for name, m := range s.data.Moves {
		if _, ok := versions[name]; !ok && inProgress(m) {
			return fmt.Sprintf("service %s has a move to %s in progress", name, m.To)
		}
	}
	return s.checkMove(b, versions)
}

// checkMove returns why the move of a bundle cannot start, or "". versions holds the version
// of each of the bundle's services.
func (s *State) checkMove(b *contract.Bundle, versions map[string]string) string {
	if b.Move == nil {
		return ""
	}
	version, ok := versions[b.Move.Service]
	if !ok {
		return fmt.Sprintf("the move names service %s, which the bundle does not have", b.Move.Service)
	}
	if s.data.Versions[b.Move.Service] == b.Move.To {
		return ""
	}
	if version != b.Move.From {
		return fmt.Sprintf("the move of %s starts from %s, the service is at %s", b.Move.Service, b.Move.From, version)
	}
	if m := s.data.Moves[b.Move.Service]; m != nil && inProgress(m) && m.To != b.Move.To {
		return fmt.Sprintf("service %s has a move to %s in progress", b.Move.Service, m.To)
	}
	return ""
}

func (s *State) installBundle(b *contract.Bundle, c *api.ApplyBundle, operators map[string][]byte) {
	s.data.Current = b.Version
	s.data.Bundles[b.Version] = &Bundle{
		Ref:        contract.BundleRef{Name: b.Name, Version: b.Version, Digest: contract.Digest(c.Content)},
		Content:    c.Content,
		Author:     b.Author,
		AppliedBy:  c.Operation.Operator,
		AppliedAt:  s.data.Now,
		Signatures: c.Signatures,
	}
	s.dropOldContent()
	s.bundle = b
	s.data.Operators = operators
	s.installDomains(b)
	s.installVersions(b)
	s.raiseRevision()
	s.startMove(b.Move)
	s.compileConfig()
}

func (s *State) dropOldContent() {
	if len(s.data.Bundles) <= BundlesKept {
		return
	}
	oldest := s.data.Current
	for v, b := range s.data.Bundles {
		if b.Content != nil && v < oldest {
			oldest = v
		}
	}
	s.data.Bundles[oldest].Content = nil
	s.data.Bundles[oldest].Signatures = nil
}

func (s *State) installDomains(b *contract.Bundle) {
	next := make(map[failuredomain.ID]failuredomain.Domain, len(b.Domains))
	for _, spec := range b.Domains {
		id := failuredomain.ID(spec.Name)
		d, ok := s.data.Domains[id]
		if !ok {
			d = failuredomain.Domain{State: failuredomain.StateActive, ChangedAt: s.data.Now}
		}
		d.ID = id
		d.Region = failuredomain.Region(spec.Region)
		next[id] = d
	}
	s.data.Domains = next
}

func (s *State) installVersions(b *contract.Bundle) {
	next := make(map[string]string, len(b.Services))
	for _, svc := range b.Services {
		next[svc.Name] = svc.Version
	}
	s.data.Versions = next
}

func operatorKeys(b *contract.Bundle) (map[string][]byte, error) {
	keys := make(map[string][]byte, len(b.Operator))
	for _, o := range b.Operator {
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("operator %s: the public key is not %d bytes in base64", o.Name, ed25519.PublicKeySize)
		}
		keys[o.Name] = key
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("the bundle lists no operators")
	}
	return keys, nil
}
