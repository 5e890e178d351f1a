package api

import (
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/quarantine"
)

// Subscribe is "Control.Subscribe" and "Distribution.Subscribe": waits until the
// configuration or the directory is newer than what the caller has, or for Wait.
type Subscribe struct {
	Instance  instance.ID
	Revision  uint64
	Directory uint64
	// Term and Seq identify the newest beacon that the caller has; a newer one ends the wait.
	Term uint64
	Seq  uint64
	Wait time.Duration
}

// View carries the configuration, the directory and a beacon to a subscriber. Nil parts are
// unchanged.
type View struct {
	Config    *contract.Parts
	Directory *Directory
	// ConfigDelta and DirectoryDelta are sent instead of Config and Directory if the sender
	// knows the content of the caller's revision.
	ConfigDelta    *ConfigDelta
	DirectoryDelta *DirectoryDelta
	Beacon         Beacon
	// Held is how long the sender kept the call waiting. The rest of the call's duration is an
	// upper bound of the transit time, which the receiver adds to the beacon's age.
	Held time.Duration
	// Path lists the processes between control and the caller, from control down and with the
	// sender last; it is empty for a control replica. A process that finds itself in it follows
	// one of its own subscribers.
	Path []instance.ID
	// Leader is set when the called control replica is not the leader; call that address.
	Leader string
}

// ConfigDelta changes the configuration of revision From into that of Header.Revision.
type ConfigDelta struct {
	From uint64
	// Header holds every part except accounts, domains and parts that are unchanged.
	Header contract.Parts
	// SameBundle and SameTiers are set if these parts are equal to those of From.
	SameBundle bool
	SameTiers  bool
	// SameIngress is set if the routes by host and path are equal to those of From.
	SameIngress bool
	// SameServices is set if the services of From remain, except for those in Services, which
	// replace the service at their index.
	SameServices bool
	Services     map[int]*contract.Service
	// Domains replace those with the same ID or are added.
	Domains        map[failuredomain.ID]failuredomain.Domain
	RemovedDomains []failuredomain.ID
	// Accounts replace those with the same name or are added at the end.
	Accounts        []*account.Account
	RemovedAccounts []string
}

// DirectoryDelta changes the directory of revision From into that of revision To.
type DirectoryDelta struct {
	From             uint64
	To               uint64
	Endpoints        []endpoint.Endpoint
	RemovedEndpoints []endpoint.ID
	Processes        []instance.Instance
	RemovedProcesses []instance.ID
	// Control replaces the list of control replicas.
	Control []string
	// Quarantined replaces the list of parts of prompts that are held back.
	Quarantined []quarantine.Part
}

// Beacon proves freshness: at most Age ago, a leader that a quorum had confirmed was at this
// configuration revision. Term and Seq order beacons.
type Beacon struct {
	Revision uint64
	Term     uint64
	Seq      uint64
	Age      time.Duration
}

// Directory lists the registered processes, each list in order of ID.
type Directory struct {
	Revision  uint64
	Endpoints []endpoint.Endpoint
	// Processes lists the processes without an endpoint, such as gateways.
	Processes []instance.Instance
	// Control lists the link addresses of the control replicas, in order; it is empty
	// until a leader has recorded them.
	Control []string
	// Quarantined lists the parts of prompts that are held back, in order: endpoints end under
	// requests with them.
	Quarantined []quarantine.Part
}
