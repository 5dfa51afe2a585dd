// Package loadgen is an open-loop load generator for gateway hosts. It sends a
// precomputed plan of requests, verifies that every response is complete and
// belongs to its own request, and counts refusals by problem type.
package loadgen

import "fmt"

// Spec describes a load. Times are relative to the start of the load.
type Spec struct {
	DurationMS  int             `json:"duration_ms"`
	Interactive Class           `json:"interactive"`
	Long        Class           `json:"long"`
	Workspaces  []WorkspaceLoad `json:"workspaces"`
	Popularity  Popularity      `json:"popularity"`
	Bursts      []Burst         `json:"bursts,omitempty"`
	Prefixes    Prefixes        `json:"prefixes"`
	Calls       []CallLoad      `json:"calls,omitempty"`
}

// Class describes the request sizes of one class. Sizes are uniformly
// distributed between their bounds, both included.
type Class struct {
	MinPromptTokens    int     `json:"min_prompt_tokens"`
	MaxPromptTokens    int     `json:"max_prompt_tokens"`
	MinMaxTokens       int     `json:"min_max_tokens"`
	MaxMaxTokens       int     `json:"max_max_tokens"`
	MinCompletionShare float64 `json:"min_answer_share"` // lower bound of completion tokens / max_tokens; load files use the name "min_answer_share"
	StreamShare        float64 `json:"stream_share"`
	DeadlineMS         int     `json:"deadline_ms"`
}

// meanReservedTokens is the expected token reservation per request.
func (c Class) meanReservedTokens() float64 {
	return float64(c.MinPromptTokens+c.MaxPromptTokens+c.MinMaxTokens+c.MaxMaxTokens) / 2
}

// WorkspaceLoad describes one workspace's requests, which arrive as a Poisson
// process.
type WorkspaceLoad struct {
	Workspace  string  `json:"workspace"`
	RateFactor float64 `json:"rate_factor"` // reserved tokens per second / the workspace's rate
	LongShare  float64 `json:"long_share"`  // fraction of requests in class Long
	FromMS     int     `json:"from_ms,omitempty"`
	UntilMS    int     `json:"until_ms,omitempty"` // 0: end of the load
	OneHost    bool    `json:"one_host,omitempty"` // all requests go to the first host
}

// Popularity configures model selection: a Zipf distribution over the models
// that are active at the time.
type Popularity struct {
	ZipfExponent float64 `json:"zipf_exponent"`
	MeanOnMS     int     `json:"mean_on_ms"`  // 0: all models are always active
	MeanOffMS    int     `json:"mean_off_ms"` // both are means of exponential distributions
}

// Burst sends requests for a few models to all hosts at the same time.
type Burst struct {
	AtMS            int    `json:"at_ms"`
	Workspace       string `json:"workspace"`
	Models          int    `json:"models"`            // the least popular inactive models
	RequestsPerHost int    `json:"requests_per_host"` // of each model
}

// Prefixes configures prompt prefixes shared by requests of a workspace.
type Prefixes struct {
	PerWorkspace int     `json:"per_workspace"`
	Tokens       int     `json:"tokens"`
	Share        float64 `json:"share"` // fraction of requests that start with a shared prefix
}

// CallLoad describes calls to a plain service, which arrive as a Poisson process.
type CallLoad struct {
	Workspace   string  `json:"workspace"`
	Service     string  `json:"service"`
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	Idempotent  bool    `json:"idempotent"`
	PerS        float64 `json:"per_s"`
	RepeatShare float64 `json:"repeat_share"` // fraction of calls resent, with the same idempotency key, to a random host
	DeadlineMS  int     `json:"deadline_ms"`
}

// SpecError reports an invalid value of a Spec.
type SpecError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *SpecError) Error() string { return fmt.Sprintf("load: %s: %s", e.Field, e.Reason) }

// Target lists the hosts, models and workspaces that a load is sent to.
type Target struct {
	Hosts      []string // addresses "IP:port"
	Models     []string // model names as used in requests, most popular first
	Workspaces map[string]Workspace
}

// Workspace holds the credentials and token rate of one workspace.
type Workspace struct {
	Key            string // API key in plain text
	RateTokensPerS float64
}

// Validate checks s against the target. Errors are *SpecError.
func (s *Spec) Validate(target *Target) error {
	if s.DurationMS <= 0 {
		return &SpecError{"duration_ms", "must be positive"}
	}
	if len(target.Hosts) == 0 || len(target.Models) == 0 {
		return &SpecError{"population", "needs a host and a model"}
	}
	for i, load := range s.Workspaces {
		if err := validateWorkspace(target, fmt.Sprintf("workspaces[%d].workspace", i), load.Workspace); err != nil {
			return err
		}
	}
	for i, burst := range s.Bursts {
		if err := validateWorkspace(target, fmt.Sprintf("bursts[%d].workspace", i), burst.Workspace); err != nil {
			return err
		}
	}
	for i, call := range s.Calls {
		if err := validateWorkspace(target, fmt.Sprintf("calls[%d].workspace", i), call.Workspace); err != nil {
			return err
		}
	}
	if len(s.Workspaces) > 0 && s.Interactive.meanReservedTokens() <= 0 {
		return &SpecError{"interactive", "needs sizes"}
	}
	return s.validateClasses()
}

func validateWorkspace(target *Target, field, workspace string) error {
	if _, ok := target.Workspaces[workspace]; !ok {
		return &SpecError{field, fmt.Sprintf("no workspace %q", workspace)}
	}
	return nil
}

func (s *Spec) validateClasses() error {
	for name, class := range map[string]Class{"interactive": s.Interactive, "long": s.Long} {
		if class.MaxPromptTokens < class.MinPromptTokens || class.MaxMaxTokens < class.MinMaxTokens {
			return &SpecError{name, "an upper bound is below its lower bound"}
		}
	}
	return nil
}
