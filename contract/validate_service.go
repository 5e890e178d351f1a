package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func (v *validator) checkServices() {
	v.checkNotEmpty("services", len(v.bundle.Services))
	names := make(map[string]string)
	models := make(map[string]string)
	for i, s := range v.bundle.Services {
		field := fmt.Sprintf("services[%d]", i)
		v.checkText(field+".name", s.Name, namePattern)
		v.checkUnique(names, field+".name", s.Name)
		v.checkText(field+".version", s.Version, versionPattern)
		v.checkKind(field, s, models)
		v.checkServiceBounds(field, s)
		v.checkRoutes(field, s)
	}
}

func (v *validator) checkKind(field string, s ServiceSpec, models map[string]string) {
	switch s.Kind {
	case KindModel:
		v.checkNotEmpty(field+".models", len(s.Models))
	case KindPlain:
		if len(s.Models) > 0 {
			v.report(field+".models", "a plain service has no models", "remove models or set kind: model")
		}
	default:
		if !v.hasProblem(field + ".kind") {
			v.report(field+".kind", fmt.Sprintf("%q is not a kind of service", string(s.Kind)), "use model or plain")
		}
	}
	for i, m := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", field, i)
		v.checkText(at, m, modelPattern)
		v.checkUnique(models, at, m)
	}
}

func (v *validator) checkServiceBounds(field string, s ServiceSpec) {
	v.checkDuration(field+".timeout", s.Timeout, 10*time.Millisecond, 24*time.Hour)
	if s.MaxBody < 0 || s.MaxBody > maxBody {
		v.report(field+".max_body", "out of range", fmt.Sprintf("use 1 to %d bytes", maxBody))
	}
	if s.QueueLength < 0 || s.QueueLength > maxQueueLength {
		v.report(field+".queue_length", "out of range", fmt.Sprintf("use 1 to %d requests", maxQueueLength))
	}
}

func (v *validator) checkRoutes(field string, s ServiceSpec) {
	v.checkNotEmpty(field+".routes", len(s.Routes))
	names := make(map[string]string)
	for i, r := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", field, i)
		v.checkText(at+".name", r.Name, namePattern)
		v.checkUnique(names, at+".name", r.Name)
		v.checkRoute(at, r)
		v.checkReachable(at, r, s.Routes[:i])
	}
}

func (v *validator) checkRoute(at string, r RouteSpec) {
	if !v.hasProblem(at+".method") && !slices.Contains(routeMethods, r.Method) {
		v.report(at+".method", fmt.Sprintf("%q is not a method", r.Method), "use one of "+strings.Join(routeMethods, ", "))
	}
	if !v.hasProblem(at+".path") && !validPath(r.Path) {
		v.report(at+".path", fmt.Sprintf("%q is not a path", r.Path), "start with \"/\"; a final \"*\" matches every path with that prefix")
	}
	if !v.isSet(at + ".idempotent") {
		v.report(at+".idempotent", "the route has no rule", "state idempotent: true if a repeated call does no harm, else false")
	}
	if r.Idempotent && r.ClaimTTL != 0 {
		v.report(at+".claim_ttl", "an idempotent route makes no claims", "remove claim_ttl or set idempotent: false")
	}
	v.checkDuration(at+".claim_ttl", r.ClaimTTL, time.Minute, 30*24*time.Hour)
}

// checkReachable reports a route that can never match because an earlier one matches all of
// its requests; the first matching route applies.
func (v *validator) checkReachable(at string, r RouteSpec, earlier []RouteSpec) {
	if !validPath(r.Path) {
		return
	}
	for _, e := range earlier {
		if e.Method != "*" && e.Method != r.Method || !validPath(e.Path) {
			continue
		}
		prefix, wild := strings.CutSuffix(e.Path, "*")
		if e.Path == r.Path || wild && strings.HasPrefix(strings.TrimSuffix(r.Path, "*"), prefix) {
			v.report(at+".path", fmt.Sprintf("route %q comes first and matches every such call", e.Name), "list the narrower route first or remove one")
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

func (v *validator) checkMove() {
	m := v.bundle.Move
	if m == nil {
		return
	}
	v.checkMoveVersions(m)
	v.checkDeadline(m)
	v.checkDuration("move.watch", m.Watch, time.Second, MaxMoveTime)
}

func (v *validator) checkMoveVersions(m *MoveSpec) {
	if m.Service == "" && !v.hasProblem("move.service") {
		v.report("move.service", "required and not set", "name the service whose version moves")
	}
	v.checkReference("move.service", m.Service, "service", v.serviceNames())
	v.checkText("move.from", m.From, versionPattern)
	v.checkText("move.to", m.To, versionPattern)
	if m.To != "" && m.To == m.From {
		v.report("move.to", "the move would change nothing", "name a version other than move.from")
	}
	for _, s := range v.bundle.Services {
		if s.Name == m.Service && m.From != "" && s.Version != m.From {
			v.report("move.from", fmt.Sprintf("service %q is at version %q", s.Name, s.Version), "start from the version of the service")
		}
	}
}

func (v *validator) checkDeadline(m *MoveSpec) {
	hasDeadline, hasWithin := v.isSet("move.deadline"), v.isSet("move.within")
	switch {
	case v.hasProblem("move.deadline") || v.hasProblem("move.within"):
	case hasDeadline && hasWithin:
		v.report("move.within", "both deadline and within are set", "keep one of them")
	case !hasDeadline && !hasWithin:
		v.report("move.deadline", "the move has no deadline", "set deadline (a time) or within (a duration from applying)")
	case hasWithin:
		v.checkDuration("move.within", m.Within, MinMoveTime, MaxMoveTime)
	case !m.Deadline.After(v.now):
		v.report("move.deadline", "the deadline is in the past", "choose a later time")
	case m.Deadline.Sub(v.now) < MinMoveTime:
		v.report("move.deadline", "the deadline is too near for the new version to ramp up", fmt.Sprintf("leave at least %s", MinMoveTime))
	case m.Deadline.Sub(v.now) > MaxMoveTime:
		v.report("move.deadline", "the deadline is too far away", fmt.Sprintf("choose a time within %s", MaxMoveTime))
	}
}
