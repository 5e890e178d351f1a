// Package instance describes the processes of the system: one process on one
// machine, with its role, failure domain and addresses.
package instance

import (
	"crypto/rand"
	"encoding/binary"

	"toucantiller.dev/failuredomain"
)

// ID names a process; it is unique within a deployment.
type ID string

// Role is the job of a process.
type Role string

// Roles of processes.
const (
	RoleGateway Role = "gateway"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Incarnation tells two runs of the same process apart. It is never 0 for a
// running process.
type Incarnation uint64

// Instance is one running process.
type Instance struct {
	ID          ID               `msgpack:"id" json:"id"`
	Role        Role             `msgpack:"role" json:"role"`
	Domain      failuredomain.ID `msgpack:"domain" json:"domain"`
	Incarnation Incarnation      `msgpack:"incarnation" json:"incarnation"`
	// LinkAddress is where other processes reach it, as "ip:port".
	LinkAddress string `msgpack:"link_address" json:"link_address"`
	// AdminAddress serves health, metrics and the time line, as "ip:port".
	AdminAddress string `msgpack:"admin_address" json:"admin_address"`
	// AgentAddress is where a gateway takes dispatches to the agents that it runs for
	// endpoints without one, as "ip:port"; empty for a process that runs none.
	AgentAddress string `msgpack:"agent_address,omitempty" json:"agent_address,omitempty"`
}

// NewIncarnation returns a random incarnation. Random numbers need no disk and
// stay unique across clock steps.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}
