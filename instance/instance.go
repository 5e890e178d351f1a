// Package instance describes the processes of a deployment with their roles, failure domains
// and addresses.
package instance

import (
	"crypto/rand"
	"encoding/binary"

	"toucantiller.dev/failuredomain"
)

// ID identifies a process; it is unique within a deployment.
type ID string

// Role is the function of a process in the deployment.
type Role string

// Roles of processes.
const (
	RoleGateway Role = "gateway"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Incarnation distinguishes two runs of the same process. It is never 0 for a running
// process.
type Incarnation uint64

// Instance is one running process.
type Instance struct {
	ID          ID               `msgpack:"id" json:"id"`
	Role        Role             `msgpack:"role" json:"role"`
	Domain      failuredomain.ID `msgpack:"domain" json:"domain"`
	Incarnation Incarnation      `msgpack:"incarnation" json:"incarnation"`
	// LinkAddress is where the process serves net/rpc, as "ip:port".
	LinkAddress string `msgpack:"link_address" json:"link_address"`
	// AdminAddress serves health, metrics and the time line, as "ip:port".
	AdminAddress string `msgpack:"admin_address" json:"admin_address"`
	// AgentAddress is where a gateway accepts dispatches to the agents that it hosts for
	// endpoints without an agent of their own, as "ip:port". It is empty for a process that
	// hosts none.
	AgentAddress string `msgpack:"agent_address,omitempty" json:"agent_address,omitempty"`
}

// NewIncarnation returns a random incarnation, which needs no stored counter and stays unique
// when the clock steps.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}
