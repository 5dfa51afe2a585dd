// Package loadgen sends planned, open-loop load to entry hosts, checks that
// every answer is whole and its own, and counts refusals by problem type.
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

// Class describes the sizes of one class of requests. A size is drawn
// uniformly between its bounds.
type Class struct {
	MinPromptTokens    int     `json:"min_prompt_tokens"`
	MaxPromptTokens    int     `json:"max_prompt_tokens"`
	MinMaxTokens       int     `json:"min_max_tokens"`
	MaxMaxTokens       int     `json:"max_max_tokens"`
	MinCompletionShare float64 `json:"min_answer_share"` // lower bound of generated tokens over max_tokens
	StreamShare        float64 `json:"stream_share"`
	DeadlineMS         int     `json:"deadline_ms"`
}

// meanCost is the expected number of tokens that a request reserves.
func (c Class) meanCost() float64 {
	return float64(c.MinPromptTokens+c.MaxPromptTokens+c.MinMaxTokens+c.MaxMaxTokens) / 2
}

// WorkspaceLoad is the Poisson arrival of one workspace's requests.
type WorkspaceLoad struct {
	Workspace  string  `json:"workspace"`
	RateFactor float64 `json:"rate_factor"` // reserved tokens per second over the workspace's rate
	LongShare  float64 `json:"long_share"`  // share of requests of class Long
	FromMS     int     `json:"from_ms,omitempty"`
	UntilMS    int     `json:"until_ms,omitempty"` // 0: end of the load
	OneHost    bool    `json:"one_host,omitempty"` // all requests go to the first host
}

// Popularity sets which models are asked for: a Zipf distribution over the
// models that are on at the time.
type Popularity struct {
	ZipfExponent float64 `json:"zipf_exponent"`
	MeanOnMS     int     `json:"mean_on_ms"`  // 0: all models are always on
	MeanOffMS    int     `json:"mean_off_ms"` // both are means of exponential distributions
}

// Burst is a number of requests for a few models that arrive at all hosts at
// the same time.
type Burst struct {
	AtMS            int    `json:"at_ms"`
	Workspace       string `json:"workspace"`
	Models          int    `json:"models"`            // least popular ones that are off
	RequestsPerHost int    `json:"requests_per_host"` // of each model
}

// Prefixes are prompt beginnings that requests of a workspace share.
type Prefixes struct {
	PerWorkspace int     `json:"per_workspace"`
	Tokens       int     `json:"tokens"`
	Share        float64 `json:"share"` // of requests that begin with one
}

// CallLoad is the Poisson arrival of calls to a plain service.
type CallLoad struct {
	Workspace   string  `json:"workspace"`
	Service     string  `json:"service"`
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	Idempotent  bool    `json:"idempotent"`
	PerS        float64 `json:"per_s"`
	RepeatShare float64 `json:"repeat_share"` // of calls sent again, with the same key, to another host
	DeadlineMS  int     `json:"deadline_ms"`
}

// SpecError reports an invalid value of a Spec.
type SpecError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *SpecError) Error() string { return fmt.Sprintf("load: %s: %s", e.Field, e.Reason) }

// Target is what a load is directed at.
type Target struct {
	Hosts      []string // addresses "IP:port"
	Models     []string // names that requests use, most popular first
	Workspaces map[string]Workspace
}

// Workspace is a workspace as the load generator knows it.
type Workspace struct {
	Key            string // clear
	RateTokensPerS float64
}

// Validate checks a spec against the population.
func (s *Spec) Validate(population *Target) error {
	if s.DurationMS <= 0 {
		return &SpecError{"duration_ms", "must be positive"}
	}
	if len(population.Hosts) == 0 || len(population.Models) == 0 {
		return &SpecError{"population", "needs a host and a model"}
	}
	for i, load := range s.Workspaces {
		if err := known(population, fmt.Sprintf("workspaces[%d].workspace", i), load.Workspace); err != nil {
			return err
		}
	}
	for i, burst := range s.Bursts {
		if err := known(population, fmt.Sprintf("bursts[%d].workspace", i), burst.Workspace); err != nil {
			return err
		}
	}
	for i, call := range s.Calls {
		if err := known(population, fmt.Sprintf("calls[%d].workspace", i), call.Workspace); err != nil {
			return err
		}
	}
	if len(s.Workspaces) > 0 && s.Interactive.meanCost() <= 0 {
		return &SpecError{"interactive", "needs sizes"}
	}
	return s.validateClasses()
}

func known(population *Target, field, workspace string) error {
	if _, ok := population.Workspaces[workspace]; !ok {
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
