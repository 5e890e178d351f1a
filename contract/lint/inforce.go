package lint

import (
	"fmt"
	"slices"
	"strings"

	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
)

// Move is the latest move of a service.
type Move struct {
	Service, From, To string
	// UnderWay is set until the move is done or taken back; Done is set when it is done.
	UnderWay, Done bool
}

// InForce is what a deployment runs with.
type InForce struct {
	// Bundle or Document is what is in force; both are nil before the first.
	Bundle    *contract.Bundle
	Document  *contract.Document
	Endpoints []endpoint.Endpoint
	Moves     []Move
}

// CompareBundle returns what a bundle differs in from the one in force, and why it could not take its
// place now.
func CompareBundle(content []byte, in *InForce) ([]Change, []Finding) {
	b, positions := contract.Outline(content)
	before := in.Bundle
	if before == nil {
		before = &contract.Bundle{}
	}
	changes := compare(before, b)
	if len(changes) == 0 {
		return nil, nil
	}
	t := toucher{in: in, accountsOfTier: accountsOfTier(before, b)}
	t.fill(changes)
	var out findings
	if b.Version > 0 && b.Version <= before.Version {
		out.fail(CodeVersion, "version", "version %d is in force; the new one must be higher", before.Version)
	}
	for i, s := range b.Services {
		in.checkVersion(&out, fmt.Sprintf("services[%d].version", i), before, s)
	}
	in.checkMoves(&out, b)
	return changes, out.placed(positions)
}

// checkVersion finds a service whose version is not that in force, or has no endpoints.
func (in *InForce) checkVersion(out *findings, field string, before *contract.Bundle, s contract.ServiceSpec) {
	for _, old := range before.Services {
		if version := in.versionOf(old); old.Name == s.Name && version != s.Version {
			out.fail(CodeMove, field, "service %q is at version %q; another version needs a move", s.Name, version)
		}
	}
	if in.count(s.Name, s.Version, "") == 0 {
		out.warn(CodeNoEndpoints, field, "no endpoint of service %q has version %q", s.Name, s.Version)
	}
}

// versionOf returns the version of a service of the bundle in force: a move that is done changes it.
func (in *InForce) versionOf(s contract.ServiceSpec) string {
	for _, m := range in.Moves {
		if m.Service == s.Name && m.Done {
			return m.To
		}
	}
	return s.Version
}

func (in *InForce) checkMoves(out *findings, b *contract.Bundle) {
	for _, m := range in.Moves {
		if !m.UnderWay {
			continue
		}
		if !slices.ContainsFunc(b.Services, func(s contract.ServiceSpec) bool { return s.Name == m.Service }) {
			out.fail(CodeMove, "services", "service %q has a move to %q under way and is not in the bundle", m.Service, m.To)
		}
		if b.Move != nil && b.Move.Service == m.Service && b.Move.To != m.To {
			out.fail(CodeMove, "move.service", "service %q has a move to %q under way", m.Service, m.To)
		}
	}
	if b.Move != nil && b.Move.To != "" && in.count(b.Move.Service, b.Move.To, "") == 0 {
		out.warn(CodeNoEndpoints, "move.to", "no endpoint of service %q has version %q", b.Move.Service, b.Move.To)
	}
}

// CompareDocument returns what a document differs in from the one in force, and why it could not take
// its place now.
func CompareDocument(d *contract.Document, in *InForce) ([]Change, []Finding) {
	before := in.Document
	if before == nil {
		before = &contract.Document{}
	}
	changes := compare(fieldsOf(before), fieldsOf(d))
	if len(changes) == 0 {
		return nil, nil
	}
	t := toucher{in: in, routes: slices.Concat(before.Routes, d.Routes)}
	t.fill(changes)
	var out findings
	if d.Version > 0 && d.Version <= before.Version {
		// Control acknowledges an older document and keeps the one that it has.
		out.warn(CodeVersion, "version", "version %d is in force; a document that is not above it changes nothing", before.Version)
	}
	for i, s := range d.Services {
		if in.count(s.Name, "", "") == 0 {
			out.warn(CodeNoEndpoints, fmt.Sprintf("services[%d].name", i), "service %q has no endpoint", s.Name)
		}
	}
	return changes, out
}

func fieldsOf(d *contract.Document) documentFields {
	return documentFields{
		Version: d.Version, Routes: d.Routes, Services: d.Services, Accounts: d.Accounts,
		IdleTimeout: d.IdleTimeout, HeadTimeout: d.HeadTimeout, MaxHead: d.MaxHead,
	}
}

// count returns the number of endpoints that stay, of a service, a version or a domain; "" stands for
// all.
func (in *InForce) count(service, version, domain string) int {
	n := 0
	for _, e := range in.Endpoints {
		if !e.Leaving && matches(service, e.Service) && matches(version, e.Version) && matches(domain, string(e.Domain)) {
			n++
		}
	}
	return n
}

func matches(want, value string) bool { return want == "" || want == value }

// toucher says what changes touch.
type toucher struct {
	in             *InForce
	accountsOfTier map[string][]string
	routes         []contract.IngressRoute
}

func accountsOfTier(bundles ...*contract.Bundle) map[string][]string {
	out := make(map[string][]string)
	for _, b := range bundles {
		for _, a := range b.Accounts {
			if name := "account " + a.Name; !slices.Contains(out[a.Tier], name) {
				out[a.Tier] = append(out[a.Tier], name)
			}
		}
	}
	return out
}

func (t *toucher) fill(changes []Change) {
	for i := range changes {
		changes[i].Touches = append([]string{}, t.touches(changes[i])...)
	}
}

func (t *toucher) touches(c Change) []string {
	list, rest, _ := strings.Cut(c.Field, "[")
	name, _, _ := strings.Cut(rest, "]")
	switch {
	case list == "accounts" && name != "":
		return []string{"account " + name}
	case list == "services" && name != "":
		return t.service(name)
	case list == "routes" && name != "":
		return t.route(name)
	case list == "tiers" && name != "":
		return t.accountsOfTier[name]
	case list == "failure_domains" && name != "":
		return []string{endpointCount(t.in.count("", "", name))}
	case list == "move":
		return t.underWay("")
	}
	return nil
}

// service returns a service, the routes that lead to it, its endpoints and its move.
func (t *toucher) service(name string) []string {
	out := []string{"service " + name}
	for _, r := range t.routes {
		leads := slices.ContainsFunc(r.Split, func(w contract.WeightedService) bool { return w.Service == name })
		if route := "route " + r.Name; leads && !slices.Contains(out, route) {
			out = append(out, route)
		}
	}
	return append(append(out, endpointCount(t.in.count(name, "", ""))), t.underWay(name)...)
}

// route returns a route and the services that it leads to.
func (t *toucher) route(name string) []string {
	out := []string{"route " + name}
	for _, r := range t.routes {
		for _, w := range r.Split {
			if service := "service " + w.Service; r.Name == name && !slices.Contains(out, service) {
				out = append(out, service)
			}
		}
	}
	return out
}

// underWay returns the moves under way of a service, or of all for "".
func (t *toucher) underWay(service string) []string {
	var out []string
	for _, m := range t.in.Moves {
		if m.UnderWay && matches(service, m.Service) {
			out = append(out, fmt.Sprintf("move of %s %s -> %s under way", m.Service, m.From, m.To))
		}
	}
	return out
}

func endpointCount(n int) string {
	if n == 1 {
		return "1 endpoint"
	}
	return fmt.Sprintf("%d endpoints", n)
}
