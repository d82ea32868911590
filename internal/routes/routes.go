// Package routes is the operators' configuration of the gateway: which host and path lead to which service, and
// under which limits. A Configuration is immutable once it is accepted.
package routes

import (
	"strings"
	"time"

	"filbertledge/internal/errs"
)

// Kind tells what may be done with the requests of a route.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by events and run at most once unless the route is resumable.
	Streaming Kind = "streaming"
	// Rollout routes take batches of generations.
	Rollout Kind = "rollout"
)

// ServiceWeight is a part of a route's requests.
type ServiceWeight struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"` // begins and ends with a slash
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout ends a request with a final answer. Zero means that only the caller's deadline does.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	// LatencyTarget is the time within which an answer is wanted.
	LatencyTarget  time.Duration   `cbor:"6,keyasint,omitempty"`
	Priority       int             `cbor:"7,keyasint,omitempty"` // 0 is the highest
	ServiceWeights []ServiceWeight `cbor:"8,keyasint"`
	MaxAttempts    int             `cbor:"9,keyasint,omitempty"` // servers that one attempt of the caller may reach
	// ItemLifetime is how long after its submission a batch's item is worth running; Due is when all are wanted.
	ItemLifetime     time.Duration `cbor:"10,keyasint,omitempty"`
	CompletionTarget time.Duration `cbor:"11,keyasint,omitempty"`
	// SingleVersion refuses samples that more than one version of the weights produced.
	SingleVersion bool `cbor:"12,keyasint,omitempty"`
	Resumable     bool `cbor:"13,keyasint,omitempty"`
}

// Service is a group of backend servers.
type Service struct {
	Name           string `cbor:"1,keyasint"`
	HealthPath     string `cbor:"2,keyasint,omitempty"`
	MaxConnections int    `cbor:"3,keyasint,omitempty"`
	// Slots is the number of requests that a server runs at once; zero means that its announcement tells.
	Slots  int      `cbor:"4,keyasint,omitempty"`
	Models []string `cbor:"5,keyasint,omitempty"`
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	// Document is the configuration as the operator sent it; it is read back unchanged.
	Document []byte `cbor:"4,keyasint,omitempty"`
}

// Validate returns an error of the kind errs.InvalidArgument that names the first problem.
func (c *Configuration) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("give each service its own name", "service %q has no name of its own", s.Name)
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := r.Host + r.Prefix
		if other, taken := places[place]; taken {
			return invalid("give each route its own host and prefix", "routes %q and %q share %s", other, r.Name, place)
		}
		places[place] = r.Name
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("begin and end it with a slash", "prefix %q of route %q is malformed", r.Prefix, r.Name)
	}
	total := 0
	for _, s := range r.ServiceWeights {
		if !services[s.Service] {
			return invalid("add the service or correct the name", "route %q names unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("use weights of zero and more", "route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("give a service a weight", "weights of route %q add up to zero", r.Name)
	}
	return nil
}

func invalid(remedy, format string, args ...any) error {
	return errs.New(errs.InvalidArgument, remedy, format, args...)
}

// Match returns the route of host with the longest prefix of path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HasHost reports whether any route of kind belongs to host.
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

// PickService returns the service for a request whose uniform random number is draw, in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	point := draw * float64(total)
	for _, s := range r.ServiceWeights {
		point -= float64(s.Weight)
		if point < 0 {
			return s.Service
		}
	}
	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}

// Allows reports whether requests of the route may run at service.
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
