package contract

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/failuredomain"
)

// Document is a complete, numbered configuration; the one with the highest number takes
// effect. It replaces the bundle, without signatures, in deployments that have an operator
// API of their own.
type Document struct {
	// Version is the document's number.
	Version uint64
	// Content is the document exactly as it was received.
	Content  []byte
	Routes   []IngressRoute
	Services []*Service
	Accounts []*account.Account
	// IdleTimeout is how long a caller's connection may stay idle; 0 means the gateway's default.
	IdleTimeout time.Duration
	// HeadTimeout is how long the head of a caller's request may take, and MaxHead its most bytes; 0
	// means the gateway's default.
	HeadTimeout time.Duration
	MaxHead     int64
}

// RouteKind states whether the requests of a route may be repeated.
type RouteKind string

// Kinds of ingress routes.
const (
	// RouteSafe: a request may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe: a request runs at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream: the answer is a stream of events; a request runs at most once unless the
	// route is resumable.
	RouteStream RouteKind = "stream"
)

// IngressRoute sends the requests for a host and path prefix to services.
type IngressRoute struct {
	Name string `msgpack:"name" json:"name"`
	Host string `msgpack:"host" json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string    `msgpack:"prefix" json:"prefix"`
	Kind   RouteKind `msgpack:"kind" json:"kind"`
	// Timeout bounds a whole request.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// Objective is the longest time to the answer, or to the first event of a stream, that
	// earns full credit.
	Objective time.Duration `msgpack:"objective" json:"objective"`
	// Patience is how long callers wait for the first event of a stream, or for the next one;
	// 0 means until the timeout.
	Patience time.Duration `msgpack:"patience" json:"patience"`
	// MaxPause is the longest pause between events of a stream that is still on time.
	MaxPause time.Duration `msgpack:"max_pause" json:"max_pause"`
	Tier     account.Tier  `msgpack:"tier" json:"tier"`
	// Split lists the services of the route with their weights.
	Split []WeightedService `msgpack:"split" json:"split"`
	// MaxAttempts bounds the number of endpoints that may run one request.
	MaxAttempts int `msgpack:"max_attempts" json:"max_attempts"`
	// Public routes need no key.
	Public bool `msgpack:"public" json:"public"`
	// Resumable streams may be continued at another endpoint after the last event delivered.
	Resumable bool `msgpack:"resumable" json:"resumable"`
}

// WeightedService is one target of a route.
type WeightedService struct {
	Service string `msgpack:"service" json:"service"`
	Weight  int    `msgpack:"weight" json:"weight"`
}

// Ingress is the part of a Config that routes requests by host and path. It is immutable and
// comes from NewIngress; one that was decoded has no routes in force until NewConfig builds it.
type Ingress struct {
	// Version is the number of the document in force.
	Version uint64         `msgpack:"version" json:"version"`
	Routes  []IngressRoute `msgpack:"routes" json:"routes"`

	byHost map[string][]*IngressRoute
}

// Route returns the route with the longest prefix of path among those of the host.
func (i *Ingress) Route(host, path string) (*IngressRoute, bool) {
	for _, r := range i.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NewIngress returns the Ingress of a document's version and routes, which must not change
// afterwards.
func NewIngress(version uint64, routes []IngressRoute) *Ingress {
	return &Ingress{Version: version, Routes: routes, byHost: routesByHost(routes)}
}

// built returns i if it comes from NewIngress, and otherwise a new Ingress with its content; nil
// stays nil.
func (i *Ingress) built() *Ingress {
	if i == nil || i.byHost != nil {
		return i
	}
	return NewIngress(i.Version, i.Routes)
}

// routesByHost returns the routes of each host, longest prefix first.
func routesByHost(routes []IngressRoute) map[string][]*IngressRoute {
	byHost := make(map[string][]*IngressRoute)
	for n := range routes {
		r := &routes[n]
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b *IngressRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return byHost
}

// Pick chooses a service in proportion to the weights. hash must be uniformly distributed.
// It returns "" when the weights add up to 0.
func (r *IngressRoute) Pick(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total)) //nolint:gosec // below total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Repeatable reports whether a request of the route may run more than once.
func (r *IngressRoute) Repeatable() bool { return r.Kind == RouteSafe }

// Bounds on documents.
const (
	maxWeight  = 1 << 20
	maxTimeout = 24 * time.Hour
)

// Fault is one reason why a document cannot take effect.
type Fault struct {
	// Field is the path of the field, for example "routes[1].timeout".
	Field string
	// Err names what has the fault, and says what is wrong.
	Err error
}

// Validate returns why the document cannot take effect, or nil.
func (d *Document) Validate() error {
	if faults := d.Faults(); len(faults) > 0 {
		return faults[0].Err
	}
	return nil
}

// Faults returns every reason why the document cannot take effect.
func (d *Document) Faults() []Fault {
	c := &documentCheck{}
	if d.Version == 0 {
		c.report("version", errors.New("the document has no version"))
	}
	services := make(map[string]bool, len(d.Services))
	for i, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			c.report(fmt.Sprintf("services[%d].name", i), fmt.Errorf("service %q has no name of its own", s.Name))
		}
		services[s.Name] = true
	}
	places := make(map[[2]string]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		c.checkRoute(field, r, services)
		place := [2]string{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			c.report(field+".prefix", fmt.Errorf("routes %q and %q have the same host and prefix", other, r.Name))
		}
		places[place] = r.Name
	}
	c.checkAccounts(d.Accounts)
	return c.faults
}

// documentCheck collects the faults of a document.
type documentCheck struct{ faults []Fault }

func (c *documentCheck) report(field string, err error) {
	c.faults = append(c.faults, Fault{Field: field, Err: err})
}

func (c *documentCheck) checkRoute(field string, r *IngressRoute, services map[string]bool) {
	report := func(at, format string, args ...any) {
		c.report(field+at, fmt.Errorf("route %q: "+format, append([]any{r.Name}, args...)...))
	}
	switch r.Kind {
	case RouteSafe, RouteUnsafe, RouteStream:
	default:
		report(".kind", "there is no kind %q", r.Kind)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		report(".prefix", "prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 || r.Timeout > maxTimeout {
		report(".timeout", "timeout %s is not between 0 and %s", r.Timeout, maxTimeout)
	}
	total := 0
	for i, s := range r.Split {
		at := fmt.Sprintf(".split[%d]", i)
		if !services[s.Service] {
			report(at+".service", "there is no service %q", s.Service)
		}
		if s.Weight < 0 || s.Weight > maxWeight {
			report(at+".weight", "weight %d of service %q is not between 0 and %d", s.Weight, s.Service, maxWeight)
		}
		total += s.Weight
	}
	if total == 0 {
		report(".split", "the weights add up to 0")
	}
}

func (c *documentCheck) checkAccounts(accounts []*account.Account) {
	names := make(map[string]bool, len(accounts))
	owners := make(map[string]string)
	for i, a := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		if a.Name == "" || names[a.Name] {
			c.report(field+".name", fmt.Errorf("account %q has no name of its own", a.Name))
		}
		names[a.Name] = true
		for _, h := range a.KeyHashes {
			if other, shared := owners[h]; shared && other != a.Name {
				c.report(field+".key_hashes", fmt.Errorf("accounts %q and %q share a key", other, a.Name))
			}
			owners[h] = a.Name
		}
	}
}

// DocumentServeStale is how long a process that has lost contact with control keeps accepting
// requests under a document. A revoked key must stop working everywhere within 5 s; the
// remaining 1.5 s are for requests in progress.
const DocumentServeStale = 3500 * time.Millisecond

// DocumentQueueLength bounds the requests of one service that wait at a gateway. A burst
// leaves at most some hundred waiting; the bound is many times that.
const DocumentQueueLength = 2048

// AnyVersion is the version of a VersionShare that every version of the service may serve.
const AnyVersion = "*"

// DocumentInput holds the inputs of CompileDocument.
type DocumentInput struct {
	Revision uint64
	Document *Document
	Domains  map[failuredomain.ID]failuredomain.Domain
	Moves    []MoveShare
	// Versions maps a service that had a move to the only version that may serve it.
	Versions map[string]string
}

// CompileDocument builds the configuration of a document. The document must be valid.
func CompileDocument(in DocumentInput) *Config {
	d := in.Document
	c := Parts{
		Revision:   in.Revision,
		Bundle:     BundleRef{Name: "document", Version: d.Version, Digest: Digest(d.Content)},
		Domains:    in.Domains,
		Accounts:   d.Accounts,
		ServeStale: DocumentServeStale,

		CallerIdleTimeout: d.IdleTimeout,
		CallerHeadTimeout: d.HeadTimeout,
		MaxCallerHead:     d.MaxHead,

		Ingress: NewIngress(d.Version, d.Routes),
	}
	for rank := range tierCount(d) {
		// No MaxQueueTime: the deadline of each request bounds its wait.
		c.Tiers = append(c.Tiers, Tier{Name: fmt.Sprintf("tier-%d", rank)})
	}
	for _, s := range d.Services {
		service := *s
		service.QueueLength = DocumentQueueLength
		service.Versions = versionShares(s.Name, AnyVersion, in.Moves, in.Versions)
		c.Services = append(c.Services, &service)
	}
	return NewConfig(c)
}

// tierCount returns the number of tiers: one more than the rank of the lowest tier that the
// document uses.
func tierCount(d *Document) int {
	lowest := account.Tier(0)
	for i := range d.Routes {
		lowest = max(lowest, d.Routes[i].Tier)
	}
	for _, a := range d.Accounts {
		lowest = max(lowest, a.Tier)
	}
	return int(lowest) + 1
}
