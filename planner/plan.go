package planner

import (
	"crypto/sha256"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says whether a route's requests may run more than once.
type Kind string

const (
	// KindIdempotent is the kind of requests that may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce is the kind of requests that may run at most once.
	KindOnce Kind = "once"
	// KindUpload is the kind of requests with a large body that may run at most once.
	KindUpload Kind = "upload"
	// KindDownload is the kind of requests with a large response that may run more than once.
	KindDownload Kind = "download"
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	// Service is the service's name.
	Service string
	// Weight is the service's share, relative to the weights of the route's other services.
	Weight int
}

// Route sends the requests of a host name and path prefix to a service.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the value of the requests' Host header.
	Host string
	// Prefix is the prefix of the requests' paths; it ends with a slash.
	Prefix string
	// Kind says whether requests may run more than once.
	Kind Kind
	// Services are the services that share the requests, by their weights.
	Services []WeightedService
	// Timeout is the maximum time until the response; 0 means that the route sets none.
	Timeout time.Duration
	// Objective is the latency objective, after which a response is worth less; 0 means none.
	Objective time.Duration
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int
	// Priority is the priority of requests; 0 is the most urgent.
	Priority int
	// Public says that requests need no API key.
	Public bool
	// Sticky says that requests for the same object should go to the same target, which has it in
	// its cache.
	Sticky bool
	// HomeRegions are the only regions in which requests may be served; empty means any region.
	HomeRegions []string
}

// Idempotent reports whether requests may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindDownload
}

// Service is a group of targets that serve the same requests.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of the targets' health checks.
	HealthPath string
	// MaxConnections is the maximum number of connections of all hosts to one target; 0 leaves each
	// host's limit unchanged, which is a default at first.
	MaxConnections int
	// ColdPeriod is how long a target counts as cold after its start.
	ColdPeriod time.Duration
	// ColdRate is the number of requests per second that a cold target can take; 0 means no limit.
	ColdRate float64
}

// Customer is a holder of API keys with one rate limit for all hosts together.
type Customer struct {
	// Name identifies the customer.
	Name string
	// Priority overrides the route's priority; nil means that it does not.
	Priority *int
	// Rate is the rate limit in requests per second; 0 means no limit.
	Rate float64
	// Burst is the size of the token bucket in requests.
	Burst float64
	// HomeRegions are the only regions in which requests may be served; empty means any region.
	HomeRegions []string
	// KeyDigests are the digests of the customer's API keys.
	KeyDigests []Digest
}

// Digest is the SHA-256 digest of an API key; the keys themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the request target and the header fields together;
	// 0 stands for the host's default.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body; 0 stands for the host's default.
	MaxBodyBytes int
	// HeaderTimeout is how long a caller may take to send a header; 0 stands for the host's default.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle; hosts don't apply it.
	IdleTimeout time.Duration
}

// Spec is the content of a plan.
type Spec struct {
	// Version is the version of the configuration; it increases with each accepted one.
	Version uint64
	// Routes lists all routes.
	Routes []Route
	// Services lists all services.
	Services []Service
	// Customers lists all customers; nil means that no request needs an API key.
	Customers []Customer
	// Limits holds the limits on callers' requests and connections.
	Limits Limits
}

// Plan is one version of the configuration; it never changes.
type Plan struct {
	spec              Spec
	routesByHost      map[string][]*Route
	services          map[string]*Service
	customersByDigest map[Digest]*Customer
}

// New returns a plan with the given content, which must not be changed afterwards.
func New(s Spec) *Plan {
	p := &Plan{
		spec:              s,
		routesByHost:      map[string][]*Route{},
		services:          map[string]*Service{},
		customersByDigest: map[Digest]*Customer{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		p.routesByHost[strings.ToLower(r.Host)] = append(p.routesByHost[strings.ToLower(r.Host)], r)
	}
	for _, routes := range p.routesByHost {
		sort.Slice(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range s.Services {
		p.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Customers {
		for _, d := range s.Customers[i].KeyDigests {
			p.customersByDigest[d] = &s.Customers[i]
		}
	}
	return p
}

// Version returns the configuration's version.
func (p *Plan) Version() uint64 {
	return p.spec.Version
}

// Limits returns the limits on callers' requests and connections.
func (p *Plan) Limits() Limits {
	return p.spec.Limits
}

// Routes returns all routes; the slice must not be changed.
func (p *Plan) Routes() []Route {
	return p.spec.Routes
}

// Customers returns all customers; the slice must not be changed.
func (p *Plan) Customers() []Customer {
	return p.spec.Customers
}

// Services returns all services; the slice must not be changed.
func (p *Plan) Services() []Service {
	return p.spec.Services
}

// Service returns the service with the given name, or nil.
func (p *Plan) Service(name string) *Service {
	return p.services[name]
}

// Match returns the route of the host name with the longest prefix that matches the path, or nil.
func (p *Plan) Match(host, path string) *Route {
	for _, r := range p.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests on the route need an API key.
func (p *Plan) RequiresKey(r *Route) bool {
	return !r.Public && p.spec.Customers != nil
}

// CustomerByKey returns the customer that holds the API key with the given digest, or nil.
func (p *Plan) CustomerByKey(digest Digest) *Customer {
	return p.customersByDigest[digest]
}

// HomeRegions returns the regions that both the route and the customer allow; nil means any
// region, an empty list none.
func HomeRegions(r *Route, c *Customer) []string {
	switch {
	case (c == nil || len(c.HomeRegions) == 0) && len(r.HomeRegions) == 0:
		return nil
	case c == nil || len(c.HomeRegions) == 0:
		return r.HomeRegions
	case len(r.HomeRegions) == 0:
		return c.HomeRegions
	}
	common := []string{}
	for _, region := range r.HomeRegions {
		if slices.Contains(c.HomeRegions, region) {
			common = append(common, region)
		}
	}
	return common
}

// Priority returns the priority of a customer's request on a route; 0 is the most urgent. The
// customer may be nil.
func Priority(r *Route, c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}
