// Package catalog holds what a gateway host knows about the deployment: the
// routes, services and workspaces of the configuration in force, and the
// upstreams that serve them. It does no I/O.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	Unsafe Kind = iota // runs at most once for each attempt of a caller
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
	Resumable bool          // a stream may go on at another upstream
	Timeout   time.Duration // the longest time that a caller is kept waiting
	Objective time.Duration // an answer (stream: first event) within it is on time
	Pause     time.Duration // the longest pause between events that is on time
	Priority  int           // 0 is the most urgent
	Targets   []Target
	// MaxUpstreams bounds the upstreams that may run one caller's attempt.
	MaxUpstreams int
	Open         bool // needs no key
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is a set of equal upstreams.
type Service struct {
	Name           string
	MaxConnections int     // at each upstream, over all callers
	Engine         *Engine // nil for a plain service
}

// Engine describes the upstreams of a service that run models.
type Engine struct {
	BatchSlots   int
	MemoryTokens int
	Models       map[string]Model
	WeightsMB    float64 // memory for weights and adapters
	MaxAdapters  int
	LoadsPerS    float64 // weight store, over all upstreams
}

// Model is a set of weights that engines load.
type Model struct {
	Name       string
	WeightsMB  float64
	AdapterMB  float64
	Load       time.Duration // from the weight store
	LoadDisk   time.Duration
	LoadMemory time.Duration
}

// Workspace is a team with keys and an allowance.
type Workspace struct {
	Name        string
	Priority    int // 0 is the most urgent; -1: the route's priority applies
	RatePerS    float64
	Burst       float64
	CountTokens bool    // the allowance is in tokens, else in requests
	PlainCost   float64 // cost of a request without a token count
}

// Limited reports whether the workspace has an allowance.
func (w *Workspace) Limited() bool { return w.RatePerS > 0 }

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version    int64
	Services   map[string]*Service
	Workspaces map[string]*Workspace
	Limits     Limits

	routes map[string][]*Route // by host, longest prefix first
	keys   map[string]*Workspace
}

// NewConfig indexes a version of the configuration.
func NewConfig(version int64, routes []*Route, services []*Service, limits Limits) *Config {
	c := &Config{
		Version:    version,
		Services:   map[string]*Service{},
		Workspaces: map[string]*Workspace{},
		Limits:     limits,
		routes:     map[string][]*Route{},
		keys:       map[string]*Workspace{},
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// AddWorkspace adds a workspace and its keys while the version is built.
func (c *Config) AddWorkspace(w *Workspace, keys []string) {
	c.Workspaces[w.Name] = w
	for _, key := range keys {
		c.keys[key] = w
	}
}

// KeysRequired reports whether routes that are not open need a key.
func (c *Config) KeysRequired() bool { return len(c.Workspaces) > 0 }

// Match returns the route of the longest prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// KeyOwner returns the workspace that holds a key, or nil.
func (c *Config) KeyOwner(key string) *Workspace { return c.keys[key] }

// leastPatience is how long callers wait for an event at least.
const leastPatience = 2 * time.Second

// CallerTimeout returns how long a caller waits for the first event of a stream, or
// for an answer.
func (r *Route) CallerTimeout() time.Duration {
	if r.Kind != Stream {
		return r.Timeout
	}
	return min(r.Timeout, max(leastPatience, 4*r.Objective, 8*r.Pause))
}

// Target picks a service of the route; draw is uniform in [0, 1).
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
