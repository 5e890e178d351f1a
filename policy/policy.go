// Package policy names the gateway's decisions on load, so that experiments can switch each of
// them off. Bounds and promises, such as quotas, pacing and at-most-once dispatch, are no policies
// and have no switch.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Name is the name of a policy.
type Name string

// The policies of a gateway. All are in force unless they are switched off.
const (
	// WorthOrder serves waiting requests by worth for the work they cause. It answers more load
	// than the endpoints serve. Without it, client accounts share each tier evenly.
	WorthOrder Name = "worth-order"
	// FinishChance weighs the worth of a request with the chance that its answer ends in time. It
	// answers long answers that fill endpoints in vain.
	FinishChance Name = "finish-chance"
	// SpeedFilter keeps requests off endpoints that are too slow for them. It answers endpoints
	// of unlike speed.
	SpeedFilter Name = "speed-filter"
	// EndpointSpeed places work by what endpoints state of their load and by how long work has
	// taken at each. It answers endpoints of unlike and changing speed.
	EndpointSpeed Name = "endpoint-speed"
	// SlotReserve makes long work of low worth leave slots free. It answers dense requests that
	// arrive while long ones hold all slots.
	SlotReserve Name = "slot-reserve"
	// ClassFloor lets a route, or its large requests, alternate with the mean request when it is
	// rarely served. It answers overload that shuts out a whole class.
	ClassFloor Name = "class-floor"
	// EarlyRefusal refuses requests that cannot be served in time before that time is over. It
	// answers overload that lasts.
	EarlyRefusal Name = "early-refusal"
	// ReturningCallers counts the objective of a request that was refused before from the first
	// attempt. It answers callers that return with most of their objective used.
	ReturningCallers Name = "returning-callers"
	// OwnDomain prefers endpoints of the gateway's own failure domain among equals. It answers
	// bodies that cross domains without need.
	OwnDomain Name = "own-domain"
	// FailingEndpoints passes over endpoints whose answers fail. It answers endpoints that fail
	// quickly and therefore look idle.
	FailingEndpoints Name = "failing-endpoints"
)

// Names lists all policies in the order of a request's way.
func Names() []Name {
	return []Name{ReturningCallers, WorthOrder, FinishChance, SlotReserve, ClassFloor, EarlyRefusal, SpeedFilter, EndpointSpeed, FailingEndpoints, OwnDomain}
}

// Off is a set of policies that are switched off. The zero value leaves all in force.
type Off map[Name]bool

// ParseOff returns the set of the named policies. Each name may be given once.
func ParseOff(names []string) (Off, error) {
	off := make(Off, len(names))
	for _, s := range names {
		n := Name(strings.TrimSpace(s))
		if !slices.Contains(Names(), n) {
			return nil, fmt.Errorf("unknown policy %q; known are %s", s, join(Names()))
		}
		if off[n] {
			return nil, fmt.Errorf("policy %q is named twice", n)
		}
		off[n] = true
	}
	return off, nil
}

// InForce reports whether a policy is not switched off.
func (o Off) InForce(n Name) bool { return !o[n] }

// String lists the policies that are switched off, in the order of Names.
func (o Off) String() string {
	var out []Name
	for _, n := range Names() {
		if o[n] {
			out = append(out, n)
		}
	}
	return join(out)
}

func join(names []Name) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return strings.Join(out, ",")
}
