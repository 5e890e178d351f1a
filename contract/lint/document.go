package lint

import (
	"fmt"
	"slices"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
)

// Document returns the findings on a document, errors first. They name fields by the document's own
// form; the format in which it was received has no positions.
func Document(d *contract.Document) []Finding {
	var out findings
	for _, f := range d.Faults() {
		out.fail(CodeInvalid, f.Field, "%v", f.Err)
	}
	for i := range d.Routes {
		out.checkRoute(fmt.Sprintf("routes[%d]", i), &d.Routes[i])
	}
	for i, s := range d.Services {
		out.checkService(fmt.Sprintf("services[%d]", i), s, d.Routes)
	}
	for i, a := range d.Accounts {
		out.checkAccount(fmt.Sprintf("accounts[%d]", i), a)
	}
	return out
}

func (f *findings) checkRoute(field string, r *contract.IngressRoute) {
	if r.Host == "" {
		f.warn(CodeUnreachable, field+".host", "route %q has no host, and calls name one", r.Name)
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		f.warn(CodeContradiction, field+".objective", "the objective %s of route %q is above its timeout %s", r.Objective, r.Name, r.Timeout)
	}
	if r.MaxAttempts > 1 && !r.Repeatable() && !r.Resumable {
		f.warn(CodeNoEffect, field+".max_attempts", "%d attempts on route %q, whose requests may not be repeated", r.MaxAttempts, r.Name)
	}
	if r.Kind == contract.RouteStream {
		if r.Timeout > 0 && r.MaxPause > r.Timeout {
			f.warn(CodeContradiction, field+".max_pause", "the longest pause %s of route %q is above its timeout %s", r.MaxPause, r.Name, r.Timeout)
		}
	} else {
		if r.MaxPause > 0 {
			f.warn(CodeNoEffect, field+".max_pause", "route %q has no stream", r.Name)
		}
		if r.Resumable {
			f.warn(CodeNoEffect, field+".resumable", "route %q has no stream", r.Name)
		}
	}
	f.checkSplit(field, r)
}

func (f *findings) checkSplit(field string, r *contract.IngressRoute) {
	for i, s := range r.Split {
		at := fmt.Sprintf("%s.split[%d]", field, i)
		if s.Weight == 0 {
			f.warn(CodeZeroWeight, at+".weight", "service %q gets nothing from route %q", s.Service, r.Name)
		}
		if slices.ContainsFunc(r.Split[:i], func(o contract.WeightedService) bool { return o.Service == s.Service }) {
			f.warn(CodeNoEffect, at+".service", "route %q lists service %q before; the weights add up", r.Name, s.Service)
		}
	}
}

func (f *findings) checkService(field string, s *contract.Service, routes []contract.IngressRoute) {
	reaches := func(r contract.IngressRoute) bool {
		return slices.ContainsFunc(r.Split, func(w contract.WeightedService) bool { return w.Service == s.Name && w.Weight > 0 })
	}
	if !slices.ContainsFunc(routes, reaches) {
		f.warn(CodeUnreachable, field+".name", "no route reaches service %q", s.Name)
	}
	if s.MaxConnections > 0 && s.Slots > s.MaxConnections {
		f.warn(CodeContradiction, field+".max_connections", "service %q takes %d connections and has %d slots", s.Name, s.MaxConnections, s.Slots)
	}
}

func (f *findings) checkAccount(field string, a *account.Account) {
	if len(a.KeyHashes) == 0 {
		f.warn(CodeAccountNoKey, field+".key_hashes", "no key belongs to account %q, so its limits apply to nobody", a.Name)
	}
	switch {
	case a.TokensPerSecond > 0 && a.TokenBurst <= 0:
		f.warn(CodeBurstBelowCost, field+".token_burst", "account %q has a rate and no burst; only the limit's tolerance can admit a request", a.Name)
	case a.TokensPerSecond > 0 && a.TokenBurst < float64(a.PlainTokens):
		f.warn(CodeBurstBelowCost, field+".token_burst", "the burst %g of account %q is below the %d charged for a request that states no size; only the limit's tolerance can admit one", a.TokenBurst, a.Name, a.PlainTokens)
	case a.TokensPerSecond == 0 && a.TokenBurst > 0:
		f.warn(CodeNoEffect, field+".token_burst", "account %q has a burst without a rate, which bounds nothing", a.Name)
	}
}
