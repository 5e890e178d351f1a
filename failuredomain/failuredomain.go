// Package failuredomain describes failure domains: sets of instances that can fail together
// and that operators drain and restore together.
package failuredomain

import "time"

// ID identifies a failure domain, for example "lagos-a".
type ID string

// Region names a group of failure domains with low latency between them.
type Region string

// State is the state that operators set for a failure domain.
type State string

// States of a failure domain.
const (
	StateActive    State = "active"
	StateDrained   State = "drained"
	StateRestoring State = "restoring"
)

// Domain is a failure domain in the configuration.
type Domain struct {
	ID     ID     `msgpack:"id" json:"id"`
	Region Region `msgpack:"region" json:"region"`
	State  State  `msgpack:"state" json:"state"`
	// ChangedAt is the control leader's wall clock at the last change of State.
	ChangedAt time.Time `msgpack:"changed_at" json:"changed_at"`
}

// AcceptsWork reports whether endpoints of the domain may receive new work.
func (d Domain) AcceptsWork() bool { return d.State != StateDrained }
