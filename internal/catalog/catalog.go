// Package catalog defines what a gateway host knows about the deployment: the routes,
// services and workspaces of the active configuration, and the upstreams that serve them.
// It does no I/O.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind defines which requests of a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	Unsafe Kind = iota // runs at most once per attempt of the caller
	Safe               // may run more than once
	Stream             // like Unsafe, unless the route is resumable
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Resumable bool          // a stream may continue at another upstream
	Timeout   time.Duration // maximum time that a caller waits
	Objective time.Duration // target time to the response (stream: to the first event)
	Pause     time.Duration // target time between two events of a stream
	Priority  int           // 0 is the most urgent
	Targets   []Target
	// MaxUpstreams limits the upstreams that may run one attempt of a caller.
	MaxUpstreams int
	Open         bool // needs no key
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	MaxConnections int     // per upstream, over all callers
	Engine         *Engine // nil for a plain service
	// ColdStart is how long an upstream is cold after its start. While it is cold it
	// tolerates ColdPerS requests per second, over all hosts; 0: it is not limited.
	ColdStart time.Duration
	ColdPerS  float64
}

// LimitsCold reports whether requests to cold upstreams are limited.
func (s *Service) LimitsCold() bool { return s != nil && s.ColdPerS > 0 }

// Engine describes the upstreams of a service that run models.
type Engine struct {
	BatchSlots   int // requests that an engine runs at once
	MemoryTokens int // capacity of the KV cache
	Models       map[string]Model
	WeightsMB    float64 // memory for weights and adapters
	MaxAdapters  int     // adapters loaded at once
	LoadsPerS    float64 // loads from the weight store per second, over all upstreams
}

// Model is a set of weights that engines load.
type Model struct {
	Name       string
	WeightsMB  float64
	AdapterMB  float64
	Load       time.Duration // time to load from the weight store
	LoadDisk   time.Duration // from disk
	LoadMemory time.Duration // from memory
}

// Workspace is a team with API keys and an allowance.
type Workspace struct {
	Name        string
	Priority    int     // 0 is the most urgent; -1: use the priority of the route
	RatePerS    float64 // allowance in units per second; 0: unlimited
	Burst       float64 // units
	CountTokens bool    // the allowance is in tokens, otherwise in requests
	PlainCost   float64 // cost of a request without a token count
}

// Limited reports whether the workspace has an allowance.
func (w *Workspace) Limited() bool { return w.RatePerS > 0 }

// Limits are limits on the requests of callers.
type Limits struct {
	BodyBytes int64 // maximum size of a request body
	// HeadTimeout bounds the time in which a caller sends the head of a request, IdleTimeout the
	// time for which it keeps a connection without a request; 0: not configured.
	HeadTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. It is immutable once built.
type Config struct {
	Version    int64
	Services   map[string]*Service
	Workspaces map[string]*Workspace
	Limits     Limits

	routes   map[string][]*Route // by host, longest prefix first
	profiles map[string]Profile  // by service
	keys     map[string]*Workspace
}

// NewConfig returns a configuration that indexes the given routes and services.
func NewConfig(version int64, routes []*Route, services []*Service, limits Limits) *Config {
	c := &Config{
		Version:    version,
		Services:   map[string]*Service{},
		Workspaces: map[string]*Workspace{},
		Limits:     limits,
		routes:     map[string][]*Route{},
		profiles:   map[string]Profile{},
		keys:       map[string]*Workspace{},
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
		c.addToProfiles(route)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Profile is what the routes of a service have in common.
type Profile struct {
	MostUrgent        int           // lowest priority value of a route
	ShortestObjective time.Duration // 0: no route has an objective
}

func (c *Config) addToProfiles(route *Route) {
	for _, target := range route.Targets {
		profile, known := c.profiles[target.Service]
		if !known || route.Priority < profile.MostUrgent {
			profile.MostUrgent = route.Priority
		}
		if route.Objective > 0 && (profile.ShortestObjective == 0 || route.Objective < profile.ShortestObjective) {
			profile.ShortestObjective = route.Objective
		}
		c.profiles[target.Service] = profile
	}
}

// Profile returns the profile of a service.
func (c *Config) Profile(service string) Profile { return c.profiles[service] }

// AddWorkspace adds a workspace and its keys. It may only be called while the configuration
// is built.
func (c *Config) AddWorkspace(w *Workspace, keys []string) {
	c.Workspaces[w.Name] = w
	for _, key := range keys {
		c.keys[key] = w
	}
}

// LimitsCold reports whether any service limits requests to cold upstreams.
func (c *Config) LimitsCold() bool {
	for _, service := range c.Services {
		if service.LimitsCold() {
			return true
		}
	}
	return false
}

// KeysRequired reports whether routes that are not open need a key.
func (c *Config) KeysRequired() bool { return len(c.Workspaces) > 0 }

// Match returns the route with the longest matching prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// KeyOwner returns the workspace that owns a key, or nil.
func (c *Config) KeyOwner(key string) *Workspace { return c.keys[key] }

// minCallerTimeout is the lower limit of a stream's caller timeout, unless the route's
// timeout is shorter.
const minCallerTimeout = 2 * time.Second

// CallerTimeout returns how long a caller waits for a response or, for a stream, for the
// first event.
func (r *Route) CallerTimeout() time.Duration {
	if r.Kind != Stream {
		return r.Timeout
	}
	return min(r.Timeout, max(minCallerTimeout, 4*r.Objective, 8*r.Pause))
}

// Target selects a service by weight. draw must be uniform in [0, 1).
func (r *Route) Target(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := draw * total
	for _, target := range r.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
