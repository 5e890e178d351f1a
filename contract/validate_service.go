package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func (v *validator) services() {
	v.list("services", len(v.bundle.Services))
	names := make(map[string]string)
	models := make(map[string]string)
	for i, s := range v.bundle.Services {
		field := fmt.Sprintf("services[%d]", i)
		v.text(field+".name", s.Name, namePattern)
		v.unique(names, field+".name", s.Name)
		v.text(field+".version", s.Version, versionPattern)
		v.kind(field, s, models)
		v.serviceBounds(field, s)
		v.routes(field, s)
	}
}

func (v *validator) kind(field string, s ServiceSpec, models map[string]string) {
	switch s.Kind {
	case KindModel:
		v.list(field+".models", len(s.Models))
	case KindPlain:
		if len(s.Models) > 0 {
			v.fail(field+".models", "a plain service has no models", "remove models or set kind: model")
		}
	default:
		if !v.broken(field + ".kind") {
			v.fail(field+".kind", fmt.Sprintf("%q is not a kind of service", string(s.Kind)), "use model or plain")
		}
	}
	for i, m := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", field, i)
		v.text(at, m, modelPattern)
		v.unique(models, at, m)
	}
}

func (v *validator) serviceBounds(field string, s ServiceSpec) {
	v.duration(field+".timeout", s.Timeout, 10*time.Millisecond, 24*time.Hour)
	if s.MaxBody < 0 || s.MaxBody > maxBody {
		v.fail(field+".max_body", "out of range", fmt.Sprintf("use 1 to %d bytes", maxBody))
	}
	if s.QueueLength < 0 || s.QueueLength > maxQueueLength {
		v.fail(field+".queue_length", "out of range", fmt.Sprintf("use 1 to %d requests", maxQueueLength))
	}
}

func (v *validator) routes(field string, s ServiceSpec) {
	v.list(field+".routes", len(s.Routes))
	names := make(map[string]string)
	for i, r := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", field, i)
		v.text(at+".name", r.Name, namePattern)
		v.unique(names, at+".name", r.Name)
		v.route(at, r)
		v.reachable(at, r, s.Routes[:i])
	}
}

func (v *validator) route(at string, r RouteSpec) {
	if !v.broken(at+".method") && !slices.Contains(methods, r.Method) {
		v.fail(at+".method", fmt.Sprintf("%q is not a method", r.Method), "use one of "+strings.Join(methods, ", "))
	}
	if !v.broken(at+".path") && !validPath(r.Path) {
		v.fail(at+".path", fmt.Sprintf("%q is not a path", r.Path), "start with \"/\"; a final \"*\" matches every path with that prefix")
	}
	if !v.set(at + ".idempotent") {
		v.fail(at+".idempotent", "the route has no rule", "state idempotent: true if a repeated call does no harm, else false")
	}
	if r.Idempotent && r.ClaimTTL != 0 {
		v.fail(at+".claim_ttl", "an idempotent route makes no claims", "remove claim_ttl or set idempotent: false")
	}
	v.duration(at+".claim_ttl", r.ClaimTTL, time.Minute, 30*24*time.Hour)
}

// reachable reports a route that an earlier one hides, as the first match decides.
func (v *validator) reachable(at string, r RouteSpec, earlier []RouteSpec) {
	if !validPath(r.Path) {
		return
	}
	for _, e := range earlier {
		if e.Method != "*" && e.Method != r.Method || !validPath(e.Path) {
			continue
		}
		prefix, wild := strings.CutSuffix(e.Path, "*")
		if e.Path == r.Path || wild && strings.HasPrefix(strings.TrimSuffix(r.Path, "*"), prefix) {
			v.fail(at+".path", fmt.Sprintf("route %q comes first and matches every such call", e.Name), "list the narrower route first or remove one")
			return
		}
	}
}

func validPath(path string) bool {
	if path == "*" {
		return true
	}
	star := strings.IndexByte(path, '*')
	return strings.HasPrefix(path, "/") && (star < 0 || star == len(path)-1) && !strings.ContainsAny(path, " \t\r\n?#")
}

func (v *validator) move() {
	m := v.bundle.Move
	if m == nil {
		return
	}
	v.moveVersions(m)
	v.deadline(m)
	v.duration("move.watch", m.Watch, time.Second, MaxMoveTime)
}

func (v *validator) moveVersions(m *MoveSpec) {
	if m.Service == "" && !v.broken("move.service") {
		v.fail("move.service", "required and not set", "name the service whose version moves")
	}
	v.reference("move.service", m.Service, "service", v.serviceNames())
	v.text("move.from", m.From, versionPattern)
	v.text("move.to", m.To, versionPattern)
	if m.To != "" && m.To == m.From {
		v.fail("move.to", "the move would change nothing", "name a version other than move.from")
	}
	for _, s := range v.bundle.Services {
		if s.Name == m.Service && m.From != "" && s.Version != m.From {
			v.fail("move.from", fmt.Sprintf("service %q is at version %q", s.Name, s.Version), "start from the version of the service")
		}
	}
}

func (v *validator) deadline(m *MoveSpec) {
	hasDeadline, hasWithin := v.set("move.deadline"), v.set("move.within")
	switch {
	case v.broken("move.deadline") || v.broken("move.within"):
	case hasDeadline && hasWithin:
		v.fail("move.within", "both deadline and within are set", "keep one of them")
	case !hasDeadline && !hasWithin:
		v.fail("move.deadline", "the move has no deadline", "set deadline (a time) or within (a duration from applying)")
	case hasWithin:
		v.duration("move.within", m.Within, MinMoveTime, MaxMoveTime)
	case !m.Deadline.After(v.now):
		v.fail("move.deadline", "the deadline is in the past", "choose a later time")
	case m.Deadline.Sub(v.now) < MinMoveTime:
		v.fail("move.deadline", "the deadline is too near for the new version to ramp up", fmt.Sprintf("leave at least %s", MinMoveTime))
	case m.Deadline.Sub(v.now) > MaxMoveTime:
		v.fail("move.deadline", "the deadline is too far away", fmt.Sprintf("choose a time within %s", MaxMoveTime))
	}
}
