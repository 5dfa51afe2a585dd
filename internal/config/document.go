// Package config defines the configuration document, which operators change by
// JSON patches, and pure functions on it: validation, patching, hashing, diffs and
// attribution of values to versions (blame).
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Document is the configuration at one version.
type Document struct {
	Deployment   string               `json:"deployment"`
	Defaults     Defaults             `json:"defaults"`
	Hosts        map[string]Host      `json:"hosts"`
	Quota        Quota                `json:"quota"`
	StoppedHosts []string             `json:"stopped_hosts"`
	Services     map[string]Service   `json:"services"`
	Models       map[string]Model     `json:"models"`
	Adapters     map[string]Adapter   `json:"adapters"`
	Workspaces   map[string]Workspace `json:"workspaces"`
	OpenRoutes   []OpenRoute          `json:"open_routes"`
	Operators    map[string]Operator  `json:"operators"`
	WeightStore  WeightStore          `json:"weight_store"`
}

// Defaults are the values and limits that apply where a request or an object does
// not set its own. Members ending in MS are in milliseconds, in S in seconds.
type Defaults struct {
	DeadlineMS      int   `json:"deadline_ms"`
	MaxDeadlineMS   int   `json:"max_deadline_ms"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	MaxTokens       int   `json:"max_tokens"`
	ClaimRetentionS int   `json:"claim_retention_s"`
}

// Deadline returns the time limit of requests that do not set one.
func (d Defaults) Deadline() time.Duration {
	return time.Duration(d.DeadlineMS) * time.Millisecond
}

// MaxDeadline returns the largest time limit that a request may have.
func (d Defaults) MaxDeadline() time.Duration {
	return time.Duration(d.MaxDeadlineMS) * time.Millisecond
}

// Host is the configuration of one host. Addresses have the form "IP:port".
type Host struct {
	Address     string `json:"address"`      // for callers and operators
	PeerAddress string `json:"peer_address"` // for other hosts
	DataCenter  string `json:"data_center"`
	Slots       []int  `json:"slots"` // quota slots assigned to the host
}

// Quota sets the number of slots among which workspace allowances are divided.
// Hosts own slots and with them shares of the allowances.
type Quota struct {
	Slots             int `json:"slots"`
	SlotsPerWorkspace int `json:"slots_per_workspace"`
}

// Values of Service.Kind.
const (
	ServiceEngine = "engine"
	ServicePlain  = "plain"
)

// Service is a group of upstreams of one kind.
type Service struct {
	Kind   string  `json:"kind"`
	Routes []Route `json:"routes,omitempty"` // plain services only
}

// Route is an endpoint of a plain service. A path that ends in "/*" also matches
// its prefix and every path below it. Open routes need no key.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open,omitempty"`
	TimeoutMS  int    `json:"timeout_ms,omitempty"`
	CostTokens int    `json:"cost_tokens,omitempty"`
}

// Matches reports whether the route matches a method and path.
func (r Route) Matches(method, path string) bool {
	if r.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "/*"); ok {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return r.Path == path
}

// Model is a base model that the engines of a service can load.
type Model struct {
	Service     string `json:"service"`
	Bytes       int64  `json:"bytes"`
	Version     string `json:"version"`
	MaxReplicas int    `json:"max_replicas"`
	MinReplicas int    `json:"min_replicas,omitempty"`
	LoadMS      int    `json:"load_ms"` // expected load time from the weight store
}

// Adapter is a set of adapter weights for a base model.
type Adapter struct {
	Model   string `json:"model"`
	Bytes   int64  `json:"bytes"`
	Version string `json:"version"`
}

// Values of Workspace.Priority.
const (
	PriorityInteractive = "interactive"
	PriorityBatch       = "batch"
)

// Workspace is a tenant with its own keys and token allowance.
type Workspace struct {
	RateTokensPerS float64        `json:"rate_tokens_per_s"`
	BurstTokens    float64        `json:"burst_tokens"`
	Weight         float64        `json:"weight,omitempty"`
	Priority       string         `json:"priority,omitempty"`
	Models         []string       `json:"models"`   // names; "*" for all
	Services       []string       `json:"services"` // names; "*" for all
	Keys           map[string]Key `json:"keys"`
	Isolation      Isolation      `json:"isolation,omitzero"`
}

// Key is a caller's credential. Only its hash is stored.
type Key struct {
	SHA256    string `json:"sha256"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Values of Isolation.Mode.
const (
	IsolationServe  = "serve"
	IsolationRefuse = "refuse"
)

// Isolation sets whether a host serves or refuses a workspace's requests once it
// has had no contact with the platform or another data centre for AfterS seconds.
type Isolation struct {
	Mode   string `json:"mode,omitempty"`
	AfterS int    `json:"after_s,omitempty"`
}

// OpenRoute is a method and path of a plain service that need no key.
type OpenRoute struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	KeySHA256 string `json:"key_sha256"`
}

// WeightStore holds the fleet-wide limits on loads from the weight store.
type WeightStore struct {
	LoadsPerS            float64 `json:"loads_per_s"`
	ConcurrentLoads      int     `json:"concurrent_loads"`
	AdapterLoadsInFlight int     `json:"adapter_loads_in_flight"`
}

// HashKey returns the hexadecimal SHA-256 of a key. Keys are stored in this form.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Canonical returns the document's canonical JSON: fixed field order, sorted map
// keys, nil collections as empty ones and no insignificant white space. It returns
// *EncodeError if a number cannot be represented in JSON.
func (d *Document) Canonical() ([]byte, error) {
	data, err := json.Marshal(d.normalized())
	if err != nil {
		return nil, eris.Wrap(&EncodeError{Cause: err}, "canonical form")
	}
	return data, nil
}

// Hash returns the hexadecimal SHA-256 of the canonical JSON. It returns
// *EncodeError if a number cannot be represented in JSON.
func (d *Document) Hash() (string, error) {
	data, err := d.Canonical()
	if err != nil {
		return "", err
	}
	return hashBytes(data), nil
}

// hashSize is the length of a key's or document's hash in bytes.
const hashSize = sha256.Size

func hashBytes(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
