// Package routes defines the operators' configuration of the gateway: which service handles the requests of a host
// and path, and with which limits. A Configuration must not be modified after it has been accepted.
package routes

import (
	"strings"
	"sync/atomic"
	"time"

	"filbertledge/internal/errs"
)

// Kind determines how the requests of a route are run and repeated.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered with server-sent events. They run at most once, unless the route is
	// resumable.
	Streaming Kind = "streaming"
	// Rollout routes accept batches of generation requests.
	Rollout Kind = "rollout"
)

// ServiceWeight assigns a part of a route's requests to a service, in proportion to Weight.
type ServiceWeight struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route directs the requests of a host and path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"` // starts and ends with a slash
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the time after which a request is answered with a final error. With 0 only the caller's deadline
	// applies.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	// LatencyTarget is the desired response time.
	LatencyTarget  time.Duration   `cbor:"6,keyasint,omitempty"`
	Priority       int             `cbor:"7,keyasint,omitempty"` // 0 is the highest priority
	ServiceWeights []ServiceWeight `cbor:"8,keyasint"`
	MaxAttempts    int             `cbor:"9,keyasint,omitempty"` // maximum number of servers for one attempt of the caller
	// ItemLifetime is the time after submission until which the items of a batch may be run. CompletionTarget is
	// the time after submission at which all items should be finished.
	ItemLifetime     time.Duration `cbor:"10,keyasint,omitempty"`
	CompletionTarget time.Duration `cbor:"11,keyasint,omitempty"`
	// SingleVersion rejects samples that were generated with more than one version of the weights.
	SingleVersion bool `cbor:"12,keyasint,omitempty"`
	Resumable     bool `cbor:"13,keyasint,omitempty"`
	// Public routes need no key.
	Public bool `cbor:"14,keyasint,omitempty"`
}

// Service is a named group of interchangeable backend servers.
type Service struct {
	Name           string `cbor:"1,keyasint"`
	HealthPath     string `cbor:"2,keyasint,omitempty"`
	MaxConnections int    `cbor:"3,keyasint,omitempty"`
	// Slots is the maximum number of concurrent requests of a server. With 0 the number in the server's
	// announcement applies.
	Slots  int      `cbor:"4,keyasint,omitempty"`
	Models []string `cbor:"5,keyasint,omitempty"`
	// Autoscale is set if the provider adds and removes servers of the service on order.
	Autoscale *Autoscale `cbor:"6,keyasint,omitempty"`
}

// Autoscale holds the bounds and prices of a service whose servers are ordered. The bounds hold for each failure domain
// and for spot and other servers together.
type Autoscale struct {
	MinServers int `cbor:"1,keyasint,omitempty"`
	MaxServers int `cbor:"2,keyasint,omitempty"`
	// BootTime is the time from an order until new servers serve.
	BootTime time.Duration `cbor:"3,keyasint,omitempty"`
	// SpotPrice is the price of a spot server relative to that of another server in the same failure domain. 0 means that
	// there are no spot servers.
	SpotPrice float64 `cbor:"4,keyasint,omitempty"`
	// ZonePrices are the prices of a server second by failure domain.
	ZonePrices map[string]float64 `cbor:"5,keyasint,omitempty"`
}

// Workspace is a group of callers that the operators identify by its keys. Its batches and its usage are its own.
type Workspace struct {
	Name     string `cbor:"1,keyasint"`
	Priority int    `cbor:"2,keyasint,omitempty"` // goes before the priority of the route; 0 is the highest
	// KeyDigests are the keyed hashes of the workspace's keys.
	KeyDigests [][]byte `cbor:"3,keyasint,omitempty"`
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	// Document is the configuration exactly as the operator sent it, returned unchanged on reads.
	Document []byte `cbor:"4,keyasint,omitempty"`
	// Schema tells how much of the document the other fields reflect; see CurrentSchema.
	Schema uint64 `cbor:"5,keyasint,omitempty"`
	// RequiresKeys is true if requests on routes that are not public need a key of one of the Workspaces.
	RequiresKeys bool        `cbor:"6,keyasint,omitempty"`
	Workspaces   []Workspace `cbor:"7,keyasint,omitempty"`
	// KeySalt is the key of the hash in KeyDigests.
	KeySalt []byte `cbor:"8,keyasint,omitempty"`

	// index is built by the first Match. Routes must not change after it.
	index atomic.Pointer[routeIndex]
	// keys is built by the first WorkspaceOf. Workspaces must not change after it.
	keys atomic.Pointer[keyIndex]
}

// CurrentSchema is the schema of configurations that this build parses. Schema 0 has no workspaces, public routes and
// autoscaling.
const CurrentSchema = 1

// WithoutDocument returns a copy that lacks the operator's document, which only the replicas of the state need.
func (c *Configuration) WithoutDocument() *Configuration {
	return &Configuration{Version: c.Version, Routes: c.Routes, Services: c.Services, Schema: c.Schema, RequiresKeys: c.RequiresKeys, Workspaces: c.Workspaces, KeySalt: c.KeySalt}
}

// routeIndex maps the lower-case host and the prefix of each route to its position in Configuration.Routes.
type routeIndex map[hostPrefix]int

type hostPrefix struct{ host, prefix string }

// Validate returns an error of the kind errs.InvalidArgument that describes the first problem found.
func (c *Configuration) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("give each service a unique name", "service name %q is empty or not unique", s.Name)
		}
		services[s.Name] = true
	}
	routeNames := map[string]string{} // by host and prefix
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := r.Host + r.Prefix
		if other, taken := routeNames[key]; taken {
			return invalid("give each route a unique combination of host and prefix", "routes %q and %q share host and prefix %s", other, r.Name, key)
		}
		routeNames[key] = r.Name
	}
	return c.validateWorkspaces()
}

func (r *Route) validate(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("start and end the prefix with a slash", "prefix %q of route %q is malformed", r.Prefix, r.Name)
	}
	total := 0
	for _, s := range r.ServiceWeights {
		if !services[s.Service] {
			return invalid("add the service or correct the name", "route %q refers to unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("use weights of at least zero", "route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("give at least one service a positive weight", "weights of route %q add up to zero", r.Name)
	}
	return nil
}

func invalid(remedy, format string, args ...any) error {
	return errs.New(errs.InvalidArgument, remedy, format, args...)
}

// Match returns the route of host with the longest prefix of path, or nil if no route matches.
func (c *Configuration) Match(host, path string) *Route {
	index := c.index.Load()
	if index == nil {
		index = c.buildIndex()
		c.index.Store(index)
	}
	host = strings.ToLower(host)
	// A prefix ends with a slash, so only the parts of the path up to one of its slashes can match.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, found := (*index)[hostPrefix{host, path[:end+1]}]; found {
			return &c.Routes[i]
		}
	}
	return nil
}

func (c *Configuration) buildIndex() *routeIndex {
	index := make(routeIndex, len(c.Routes))
	for i := range c.Routes {
		key := hostPrefix{strings.ToLower(c.Routes[i].Host), c.Routes[i].Prefix}
		if _, taken := index[key]; !taken {
			index[key] = i
		}
	}
	return &index
}

// HasHost reports whether host has a route of the given kind.
func (c *Configuration) HasHost(host string, kind Kind) bool {
	for i := range c.Routes {
		if c.Routes[i].Kind == kind && strings.EqualFold(c.Routes[i].Host, host) {
			return true
		}
	}
	return false
}

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// PickService selects a service in proportion to the weights. draw is a uniform random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.ServiceWeights {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}

// Allows reports whether service has a positive weight in the route.
func (r *Route) Allows(service string) bool {
	for _, s := range r.ServiceWeights {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
