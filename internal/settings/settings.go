// Package settings loads and validates the settings file of a host, which is JSON
// with comments. It reports all problems of a file together, each with the file
// and the field.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/dialer"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/strictjson"
)

// Settings are the local settings of one host. Values shared by all hosts are in the
// configuration (package config).
type Settings struct {
	// Host is the name of this host. The configuration's "hosts" entry of that
	// name must have the same addresses.
	Host       string `json:"host"`
	DataCenter string `json:"data_center"`
	// Listen is the "IP:port" that callers and operators connect to.
	Listen string `json:"listen"`
	// PeerListen is the "IP:port" that other hosts connect to.
	PeerListen string `json:"peer_listen"`
	// Platform is the "IP:port" of the platform's services.
	Platform string `json:"platform"`
	// BootstrapConfig is the path of a file with configuration version 0, which
	// is written to the table service if no configuration exists. Optional.
	BootstrapConfig string `json:"bootstrap_config"`
	// BootstrapPeers are the addresses of peers to load the configuration from
	// when the platform is unavailable at startup.
	BootstrapPeers []string `json:"bootstrap_peers"`
	// AddressMap maps addresses in the configuration and the host list to the
	// addresses that this host dials. Optional.
	AddressMap dialer.Map `json:"address_map"`
	// UpstreamCredentialFile is the path of the file with the credential that is
	// sent to upstreams.
	UpstreamCredentialFile string `json:"upstream_credential_file"`
	// ShutdownTimeoutS is the maximum duration of a graceful shutdown, in seconds.
	ShutdownTimeoutS int `json:"shutdown_timeout_s"`
	// MemoryMB is the memory limit of the process, in MB; 0: none.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0: as many as
	// its resource limit allows.
	MaxDescriptors int `json:"max_descriptors"`
	// LogLevel is the logr verbosity: 0 logs decisions, 1 adds details.
	LogLevel int      `json:"log_level"`
	Limits   Limits   `json:"limits"`
	Policies Policies `json:"policies"`
}

// Limits bound the number of connections and queued requests, and so the memory
// that a host uses for callers.
type Limits struct {
	MaxConnections    int `json:"max_connections"`
	QueuePerWorkspace int `json:"queue_per_workspace"`
	QueueTotal        int `json:"queue_total"`
}

// Policies select the decision policies by name. The first name is the default;
// the second is a simpler baseline for experiments.
type Policies struct {
	Quota     string `json:"quota"`     // "loans" or "static"
	Routing   string `json:"routing"`   // "affinity" or "random"
	Admission string `json:"admission"` // "fair" or "fcfs"
	Scaling   string `json:"scaling"`   // "adaptive" or "lru"
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		ShutdownTimeoutS: 120,
		Limits:           Limits{MaxConnections: 20000, QueuePerWorkspace: 2000, QueueTotal: 8000},
		Policies:         Policies{Quota: "loans", Routing: "affinity", Admission: "fair", Scaling: "adaptive"},
	}
}

// ShutdownTimeout returns the maximum duration of a graceful shutdown.
func (s Settings) ShutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownTimeoutS) * time.Second
}

// FileError reports the problems of one settings file.
type FileError struct {
	File     string
	Problems []problem.FieldError
}

// Error implements error. The text has one line per problem.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, fieldName(p.Pointer), p.Reason))
	}
	return strings.Join(lines, "\n")
}

// fieldName converts a JSON pointer to a dotted field name for messages.
func fieldName(pointer string) string {
	if pointer == "" {
		return "(file)"
	}
	return strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
}

// Load reads and validates a settings file. Relative paths in it are resolved
// against its directory. It returns *FileError with all problems found.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &FileError{File: file, Problems: []problem.FieldError{{Reason: err.Error()}}}
	}
	s, problems := Parse(data)
	if len(problems) > 0 {
		return Settings{}, &FileError{File: file, Problems: problems}
	}
	directory := filepath.Dir(file)
	s.BootstrapConfig = resolvePath(directory, s.BootstrapConfig)
	s.UpstreamCredentialFile = resolvePath(directory, s.UpstreamCredentialFile)
	return s, nil
}

func resolvePath(directory, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(directory, name)
}

// Parse decodes and validates settings. Fields that are absent have their
// defaults. It returns all problems found, and zero settings if there are any.
func Parse(data []byte) (Settings, []problem.FieldError) {
	s := Default()
	problems := strictjson.Decode(data, &s)
	reported := map[string]bool{}
	for _, p := range problems {
		reported[p.Pointer] = true
	}
	for _, p := range s.Validate() {
		if !reported[p.Pointer] && !reported[""] {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// Validate returns all invalid values.
func (s Settings) Validate() []problem.FieldError {
	c := validator{}
	c.required("/host", s.Host)
	c.required("/data_center", s.DataCenter)
	c.address("/listen", s.Listen)
	c.address("/peer_listen", s.PeerListen)
	c.address("/platform", s.Platform)
	for i, address := range s.BootstrapPeers {
		c.address(fmt.Sprintf("/bootstrap_peers/%d", i), address)
	}
	for from, to := range s.AddressMap {
		c.address("/address_map/"+strictjson.EscapeToken(from), to)
	}
	c.positive("/shutdown_timeout_s", s.ShutdownTimeoutS)
	c.notNegative("/memory_mb", s.MemoryMB)
	c.notNegative("/max_descriptors", s.MaxDescriptors)
	c.positive("/limits/max_connections", s.Limits.MaxConnections)
	c.positive("/limits/queue_per_workspace", s.Limits.QueuePerWorkspace)
	c.positive("/limits/queue_total", s.Limits.QueueTotal)
	c.oneOf("/policies/quota", s.Policies.Quota, "loans", "static")
	c.oneOf("/policies/routing", s.Policies.Routing, "affinity", "random")
	c.oneOf("/policies/admission", s.Policies.Admission, "fair", "fcfs")
	c.oneOf("/policies/scaling", s.Policies.Scaling, "adaptive", "lru")
	return c.problems
}

type validator struct {
	problems []problem.FieldError
}

func (c *validator) report(pointer, format string, args ...any) {
	c.problems = append(c.problems, problem.FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

func (c *validator) required(pointer, value string) {
	if value == "" {
		c.report(pointer, "must be set")
	}
}

func (c *validator) address(pointer, value string) {
	if value == "" {
		c.report(pointer, "must be set")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(pointer, "must be IP:port, found %q", value)
	}
}

func (c *validator) positive(pointer string, value int) {
	if value <= 0 {
		c.report(pointer, "must be greater than 0, found %d", value)
	}
}

func (c *validator) notNegative(pointer string, value int) {
	if value < 0 {
		c.report(pointer, "must not be negative, found %d", value)
	}
}

func (c *validator) oneOf(pointer, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(pointer, "must be one of %s, found %q", strings.Join(allowed, ", "), value)
	}
}
