package contract

import (
	"cmp"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/failuredomain"
)

// Defaults for fields that a bundle leaves out.
const (
	DefaultServeStale   = 10 * time.Minute
	DefaultMaxBody      = 1 << 20
	DefaultQueueLength  = 1024
	DefaultTimeout      = 60 * time.Second
	DefaultMaxQueueTime = 5 * time.Second
)

// MoveShare is the split of a service's traffic between the two versions of a move in progress.
type MoveShare struct {
	Service string
	From    string
	To      string
	// Share is the new version's share in [0,1].
	Share float64
	// Unproven is set until the move is done.
	Unproven bool
}

// CompileInput holds the inputs of Compile.
type CompileInput struct {
	Revision uint64
	Ref      BundleRef
	Bundle   *Bundle
	Domains  map[failuredomain.ID]failuredomain.Domain
	Moves    []MoveShare
	// Versions overrides the current version of services whose move is done.
	Versions map[string]string
}

// Compile builds the configuration of a bundle. The bundle must be valid.
func Compile(in CompileInput) *Config {
	b := in.Bundle
	c := Parts{
		Revision:   in.Revision,
		Bundle:     in.Ref,
		Domains:    make(map[failuredomain.ID]failuredomain.Domain, len(b.Domains)),
		ServeStale: cmp.Or(b.ServeStale, DefaultServeStale),
	}
	rank := make(map[string]account.Tier, len(b.Tiers))
	for i, t := range b.Tiers {
		rank[t.Name] = account.Tier(i)
		c.Tiers = append(c.Tiers, Tier{Name: t.Name, MaxQueueTime: cmp.Or(t.MaxQueueTime, DefaultMaxQueueTime), FirstToken: t.FirstToken})
	}
	for _, a := range b.Accounts {
		c.Accounts = append(c.Accounts, compileAccount(a, rank))
	}
	for _, d := range b.Domains {
		c.Domains[failuredomain.ID(d.Name)] = compileDomain(d, in.Domains)
	}
	for _, s := range b.Services {
		c.Services = append(c.Services, compileService(s, in))
	}
	return NewConfig(c)
}

func compileAccount(a AccountSpec, rank map[string]account.Tier) *account.Account {
	return &account.Account{
		Name:              a.Name,
		KeyHashes:         a.KeyHashes,
		Tier:              rank[a.Tier],
		Weight:            cmp.Or(a.Weight, 1),
		RequestsPerSecond: a.RequestsPerSecond,
		Burst:             a.Burst,
		MaxConcurrent:     a.MaxConcurrent,
		Services:          a.Services,
	}
}

func compileDomain(d DomainSpec, current map[failuredomain.ID]failuredomain.Domain) failuredomain.Domain {
	id := failuredomain.ID(d.Name)
	out, ok := current[id]
	if !ok {
		out.State = failuredomain.StateActive
	}
	out.ID = id
	out.Region = failuredomain.Region(d.Region)
	return out
}

func compileService(s ServiceSpec, in CompileInput) *Service {
	out := &Service{
		Name:        s.Name,
		Kind:        s.Kind,
		Models:      s.Models,
		MaxBody:     cmp.Or(s.MaxBody, DefaultMaxBody),
		QueueLength: cmp.Or(s.QueueLength, DefaultQueueLength),
		Timeout:     cmp.Or(s.Timeout, DefaultTimeout),
	}
	for _, r := range s.Routes {
		out.Routes = append(out.Routes, Route{Name: r.Name, Method: r.Method, Path: r.Path, Idempotent: r.Idempotent, ClaimTTL: cmp.Or(r.ClaimTTL, DefaultClaimTTL)})
	}
	out.Versions = versionShares(s.Name, s.Version, in.Moves, in.Versions)
	return out
}

// versionShares returns the versions that serve a service with their shares: both versions of
// a move in progress, else the version set by the last finished move, else the configured one.
func versionShares(service, configured string, moves []MoveShare, overrides map[string]string) []VersionShare {
	for _, m := range moves {
		if m.Service == service {
			return []VersionShare{
				{Version: m.From, Share: 1 - m.Share},
				{Version: m.To, Share: m.Share, Unproven: m.Unproven},
			}
		}
	}
	if v, ok := overrides[service]; ok {
		configured = v
	}
	return []VersionShare{{Version: configured, Share: 1}}
}
