// Package contract defines the configuration of a deployment: the bundle that operators
// write and sign, its validation, and the compiled form that processes act on.
package contract

import (
	"slices"
	"strings"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/failuredomain"
)

// Parts is the content of a configuration, and its encoded form.
type Parts struct {
	Revision uint64    `msgpack:"revision" json:"revision"`
	Bundle   BundleRef `msgpack:"bundle" json:"bundle"`
	// Tiers lists the tiers from the highest down; the index is the rank.
	Tiers    []Tier                                    `msgpack:"tiers" json:"tiers"`
	Accounts []*account.Account                        `msgpack:"accounts" json:"accounts"`
	Domains  map[failuredomain.ID]failuredomain.Domain `msgpack:"domains" json:"domains"`
	Services []*Service                                `msgpack:"services" json:"services"`
	// ServeStale is how long a process that has lost contact with control keeps accepting requests.
	ServeStale time.Duration `msgpack:"serve_stale" json:"serve_stale"`
	// CallerIdleTimeout is how long a caller's connection may stay idle; 0 means the gateway's
	// default.
	CallerIdleTimeout time.Duration `msgpack:"caller_idle_timeout" json:"caller_idle_timeout,omitempty"`
	// CallerHeadTimeout is how long the head of a caller's request may take, and MaxCallerHead its
	// most bytes; 0 means the gateway's default.
	CallerHeadTimeout time.Duration `msgpack:"caller_head_timeout,omitempty" json:"caller_head_timeout,omitempty"`
	MaxCallerHead     int64         `msgpack:"max_caller_head,omitempty" json:"max_caller_head,omitempty"`
	// Ingress routes requests by host and path; nil where a bundle is in force.
	Ingress *Ingress `msgpack:"ingress" json:"ingress,omitempty"`
}

// Config is the compiled configuration. It is immutable and comes from NewConfig: processes
// replace the whole value, and only by one with a higher Revision. It is not decoded itself; a
// receiver decodes Parts.
type Config struct {
	Parts

	byKey  map[string]*account.Account
	byName map[string]*account.Account
}

// BundleRef identifies a bundle by name, version and content digest (hex SHA-256).
type BundleRef struct {
	Name    string `msgpack:"name" json:"name"`
	Version uint64 `msgpack:"version" json:"version"`
	Digest  string `msgpack:"digest" json:"digest"`
}

// Tier is one priority class of requests.
type Tier struct {
	Name string `msgpack:"name" json:"name"`
	// MaxQueueTime bounds the wait in queues.
	MaxQueueTime time.Duration `msgpack:"max_queue_time" json:"max_queue_time"`
	// FirstToken is the objective for the time to first token.
	FirstToken time.Duration `msgpack:"first_token" json:"first_token"`
}

// Kind distinguishes services that serve models from plain HTTP services.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string `msgpack:"name" json:"name"`
	Kind Kind   `msgpack:"kind" json:"kind"`
	// Models lists the model names callers use for a model service.
	Models []string `msgpack:"models" json:"models"`
	Routes []Route  `msgpack:"routes" json:"routes"`
	// Versions lists the versions that may receive traffic, with their shares.
	Versions []VersionShare `msgpack:"versions" json:"versions"`
	// MaxBody bounds a request body, in bytes.
	MaxBody int64 `msgpack:"max_body" json:"max_body"`
	// QueueLength bounds each gateway's queue for the service, in requests.
	QueueLength int `msgpack:"queue_length" json:"queue_length"`
	// Timeout is the default time for a whole request.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// ColdRate is the number of requests per second that a cold endpoint can take; 0 means no
	// bound.
	ColdRate float64 `msgpack:"cold_rate" json:"cold_rate"`
	// MaxConnections is the number of connections that one endpoint accepts from all callers
	// together; 0 means no bound.
	MaxConnections int `msgpack:"max_connections" json:"max_connections"`
	// Slots is the number of requests that one engine runs at once; 0 means not known.
	Slots int `msgpack:"slots" json:"slots"`
	// EventTokens is the number of tokens in one event of a stream; 0 means not known.
	EventTokens int `msgpack:"event_tokens" json:"event_tokens"`
}

// Route states whether requests that match it may be repeated.
type Route struct {
	Name   string `msgpack:"name" json:"name"`
	Method string `msgpack:"method" json:"method"`
	// Path matches exactly, or as a prefix when it ends in "*".
	Path string `msgpack:"path" json:"path"`
	// Idempotent allows the call to be repeated by callers without a claim.
	Idempotent bool `msgpack:"idempotent" json:"idempotent"`
	// ClaimTTL is how long an idempotency claim is kept.
	ClaimTTL time.Duration `msgpack:"claim_ttl" json:"claim_ttl"`
}

// VersionShare gives a version its share of the traffic of a service.
type VersionShare struct {
	Version string `msgpack:"version" json:"version"`
	// Share is in [0,1]; the shares of a service add up to 1.
	Share float64 `msgpack:"share" json:"share"`
	// Unproven marks the target version of a move in progress. Gateways give it its share
	// only while they have a fresh beacon from control.
	Unproven bool `msgpack:"unproven" json:"unproven"`
}

// NewConfig returns the configuration with the given content, which must not change afterwards.
// It writes to none of the parts, so that they may be those of another configuration; an Ingress
// that was built before is shared.
func NewConfig(parts Parts) *Config {
	c := &Config{
		Parts:  parts,
		byKey:  make(map[string]*account.Account, len(parts.Accounts)),
		byName: make(map[string]*account.Account, len(parts.Accounts)),
	}
	c.Ingress = parts.Ingress.built()
	for _, a := range c.Accounts {
		c.byName[a.Name] = a
		for _, h := range a.KeyHashes {
			c.byKey[h] = a
		}
	}
	return c
}

// AccountByKey finds the account that a bearer key belongs to.
func (c *Config) AccountByKey(key string) (*account.Account, bool) {
	a, ok := c.byKey[account.HashKey(key)]
	return a, ok
}

// AccountByName finds an account.
func (c *Config) AccountByName(name string) (*account.Account, bool) {
	a, ok := c.byName[name]
	return a, ok
}

// ServiceByName finds a service.
func (c *Config) ServiceByName(name string) (*Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// ServiceByModel finds the model service that serves a model name.
func (c *Config) ServiceByModel(model string) (*Service, bool) {
	for _, s := range c.Services {
		if s.Kind == KindModel && slices.Contains(s.Models, model) {
			return s, true
		}
	}
	return nil, false
}

// RouteFor returns the first route that matches. Unmatched calls get a route
// named after the method, idempotent only for GET, HEAD and OPTIONS.
func (s *Service) RouteFor(method, path string) Route {
	for _, r := range s.Routes {
		if r.matches(method, path) {
			return r
		}
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return Route{Name: "default-" + strings.ToLower(method), Method: method, Path: "*", Idempotent: safe, ClaimTTL: DefaultClaimTTL}
}

// DefaultClaimTTL is how long a claim is kept where the bundle does not say.
const DefaultClaimTTL = 24 * time.Hour

func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != "*" && r.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}
