package state

import (
	"maps"
	"slices"
	"strings"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// Config returns the compiled configuration, nil before the first bundle or document. Callers
// must not modify it.
func (s *State) Config() *contract.Config { return s.config }

// Revision returns the configuration revision.
func (s *State) Revision() uint64 { return s.data.Revision }

// DirectoryRevision returns the revision of the directory.
func (s *State) DirectoryRevision() uint64 { return s.data.DirectoryRevision }

// Now returns the highest time of the leader's clock in the commands applied so far.
func (s *State) Now() time.Time { return s.data.Now }

// Term returns the term of the last Lead command.
func (s *State) Term() uint64 { return s.data.Term }

// Directory returns the registered processes. Callers must not modify it.
func (s *State) Directory() *api.Directory {
	if s.directory != nil {
		return s.directory
	}
	d := &api.Directory{Revision: s.data.DirectoryRevision, Control: slices.Clone(s.data.Control), Quarantined: slices.Sorted(maps.Keys(s.data.Quarantined))}
	for _, r := range s.data.Registrations {
		if r.Endpoint != nil {
			d.Endpoints = append(d.Endpoints, s.publishedEndpoint(*r.Endpoint))
		} else {
			d.Processes = append(d.Processes, r.Instance)
		}
	}
	slices.SortFunc(d.Endpoints, func(a, b endpoint.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(d.Processes, func(a, b instance.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.directory = d
	return d
}

// Moves returns copies of the latest move of each service, in order of service.
func (s *State) Moves() []api.Move {
	out := make([]api.Move, 0, len(s.data.Moves))
	for _, m := range s.data.Moves {
		c := *m
		c.Evidence = slices.Clone(m.Evidence)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b api.Move) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// Domains returns the failure domains in order of ID.
func (s *State) Domains() []failuredomain.Domain {
	return slices.SortedFunc(maps.Values(s.data.Domains), func(a, b failuredomain.Domain) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

// Restoring reports whether any failure domain is restoring.
func (s *State) Restoring() bool {
	for _, d := range s.data.Domains {
		if d.State == failuredomain.StateRestoring {
			return true
		}
	}
	return false
}

// CurrentBundle returns the bundle in force, nil before the first. Callers must not modify it.
func (s *State) CurrentBundle() *Bundle { return s.data.Bundles[s.data.Current] }

// KnowsOperation reports whether an operation has a recorded outcome.
func (s *State) KnowsOperation(id string) bool {
	_, ok := s.data.Operations[id]
	return ok
}

// Registrations returns copies of the registrations in order of instance ID.
func (s *State) Registrations() []Registration {
	out := make([]Registration, 0, len(s.data.Registrations))
	for _, r := range s.data.Registrations {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Registration) int { return strings.Compare(string(a.Instance.ID), string(b.Instance.ID)) })
	return out
}

// Leases returns the numbers of the leases held, in no order.
func (s *State) Leases() []uint64 { return slices.Collect(maps.Keys(s.leases)) }

// LeaseHolder returns the instance that holds a lease.
func (s *State) LeaseHolder(lease uint64) (instance.ID, bool) {
	id, ok := s.leases[lease]
	return id, ok
}

// LostProcesses returns copies of the lost processes that may still take work on an old
// configuration at the given time, in order of ID.
func (s *State) LostProcesses(now time.Time) []Lost {
	var out []Lost
	for _, l := range s.data.Lost {
		if now.Sub(l.At) <= s.serveStale() {
			out = append(out, *l)
		}
	}
	slices.SortFunc(out, func(a, b Lost) int { return strings.Compare(string(a.Instance.ID), string(b.Instance.ID)) })
	return out
}

func (s *State) copyDomains() map[failuredomain.ID]failuredomain.Domain {
	return maps.Clone(s.data.Domains)
}

func (s *State) copyVersions() map[string]string { return maps.Clone(s.data.Versions) }

// ClaimBytes returns the size of the claims with their stored answers in bytes, as an estimate.
func (s *State) ClaimBytes() int { return s.data.Claims.Bytes() }

// HoldsClaim reports whether there is a claim for the key of an account.
func (s *State) HoldsClaim(account, key string) bool { return s.data.Claims.Holds(account, key) }
