// Package settings reads the settings of an entry host: JSON with comments,
// decoded strictly, with every problem reported at once by file and field.
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

// Settings are the settings of one entry host. What all hosts share is in the
// configuration instead.
type Settings struct {
	// Host is this host's name; the configuration's "hosts" entry of that
	// name must carry the same addresses.
	Host       string `json:"host"`
	DataCenter string `json:"data_center"`
	// Listen is the "IP:port" for callers and operators.
	Listen string `json:"listen"`
	// PeerListen is the "IP:port" for other hosts.
	PeerListen string `json:"peer_listen"`
	// Platform is the "IP:port" of the platform's services.
	Platform string `json:"platform"`
	// BootstrapConfig names a file with configuration version 0, written to
	// the table service if it holds no configuration yet. Optional.
	BootstrapConfig string `json:"bootstrap_config"`
	// BootstrapPeers are peer addresses to learn the configuration from when
	// the platform is unavailable at the start.
	BootstrapPeers []string `json:"bootstrap_peers"`
	// AddressMap translates addresses of the configuration and of the host
	// list to those that this host connects to. Optional.
	AddressMap dialer.Map `json:"address_map"`
	// UpstreamCredentialFile names a file with the credential that this
	// system presents to upstreams.
	UpstreamCredentialFile string `json:"upstream_credential_file"`
	// ShutdownTimeoutS bounds a graceful shutdown, in seconds.
	ShutdownTimeoutS int `json:"shutdown_timeout_s"`
	// LogLevel is the logr verbosity: 0 logs decisions, 1 adds details.
	LogLevel int      `json:"log_level"`
	Limits   Limits   `json:"limits"`
	Policies Policies `json:"policies"`
}

// Limits bound the memory that a host uses for callers.
type Limits struct {
	MaxConnections    int `json:"max_connections"`
	QueuePerWorkspace int `json:"queue_per_workspace"`
	QueueTotal        int `json:"queue_total"`
}

// Policies select the decision policies by name. The second name of each is a
// simpler baseline that experiments compare against.
type Policies struct {
	Quota     string `json:"quota"`     // "loans" or "static"
	Routing   string `json:"routing"`   // "affinity" or "random"
	Admission string `json:"admission"` // "fair" or "fcfs"
	Scaling   string `json:"scaling"`   // "adaptive" or "lru"
}

// Default returns the settings that hold where a file names none.
func Default() Settings {
	return Settings{
		ShutdownTimeoutS: 120,
		Limits:           Limits{MaxConnections: 20000, QueuePerWorkspace: 2000, QueueTotal: 8000},
		Policies:         Policies{Quota: "loans", Routing: "affinity", Admission: "fair", Scaling: "adaptive"},
	}
}

// ShutdownTimeout returns the bound of a graceful shutdown.
func (s Settings) ShutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownTimeoutS) * time.Second
}

// FileError reports the problems of one settings file.
type FileError struct {
	File     string
	Problems []problem.FieldError
}

// Error implements error. It has one line for each problem.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, fieldName(p.Pointer), p.Reason))
	}
	return strings.Join(lines, "\n")
}

// fieldName turns a JSON pointer into the dotted name used in settings files.
func fieldName(pointer string) string {
	if pointer == "" {
		return "(file)"
	}
	return strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
}

// Load reads and checks a settings file. Relative file names within it are
// resolved against its directory. All problems are returned in a *FileError.
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
	s.BootstrapConfig = resolve(directory, s.BootstrapConfig)
	s.UpstreamCredentialFile = resolve(directory, s.UpstreamCredentialFile)
	return s, nil
}

func resolve(directory, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(directory, name)
}

// Parse decodes and checks settings.
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

// Validate returns all problems of the values.
func (s Settings) Validate() []problem.FieldError {
	c := checker{}
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
	c.positive("/limits/max_connections", s.Limits.MaxConnections)
	c.positive("/limits/queue_per_workspace", s.Limits.QueuePerWorkspace)
	c.positive("/limits/queue_total", s.Limits.QueueTotal)
	c.oneOf("/policies/quota", s.Policies.Quota, "loans", "static")
	c.oneOf("/policies/routing", s.Policies.Routing, "affinity", "random")
	c.oneOf("/policies/admission", s.Policies.Admission, "fair", "fcfs")
	c.oneOf("/policies/scaling", s.Policies.Scaling, "adaptive", "lru")
	return c.problems
}

type checker struct {
	problems []problem.FieldError
}

func (c *checker) report(pointer, format string, args ...any) {
	c.problems = append(c.problems, problem.FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) required(pointer, value string) {
	if value == "" {
		c.report(pointer, "must be set")
	}
}

func (c *checker) address(pointer, value string) {
	if value == "" {
		c.report(pointer, "must be set")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(pointer, "must be IP:port, found %q", value)
	}
}

func (c *checker) positive(pointer string, value int) {
	if value <= 0 {
		c.report(pointer, "must be greater than 0, found %d", value)
	}
}

func (c *checker) oneOf(pointer, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(pointer, "must be one of %s, found %q", strings.Join(allowed, ", "), value)
	}
}
