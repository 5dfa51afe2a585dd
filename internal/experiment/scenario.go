// Package experiment runs scenarios: a deployment's stand-ins and real hosts in
// one process, a load, faults in time and policies to compare. It measures each
// run against the bounds of the design page.
package experiment

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/settings"
	"github.com/arbutusbank/arbutusbank/internal/strictjson"
)

// HostSpec is what an entry host is started with.
type HostSpec = fleet.HostSpec

// RunningHost is an entry host that runs within this process.
type RunningHost = fleet.RunningHost

// StartHost starts an entry host. It may return before the host is ready.
type StartHost = fleet.StartHost

// Scenario is a scenario file: JSON with comments, decoded strictly.
type Scenario struct {
	Name        string         `json:"name"`
	Description string         `json:"description"`
	Deployment  string         `json:"deployment"` // a name that deployment.Named knows
	Shape       ShapeOverrides `json:"shape"`
	// TimeScale speeds up loads and generation; 0 and 1 are real time.
	TimeScale float64 `json:"time_scale"`
	// WarmUpMS is the time from the start of the hosts to that of the load, in
	// which the hosts' token buckets fill; 0 is 2 s.
	WarmUpMS  int          `json:"settle_ms"`
	Condition string       `json:"condition"` // selects the bound of wrongful refusals
	Policies  []Policy     `json:"policies"`
	Load      loadgen.Spec `json:"load"`
	Faults    []Fault      `json:"faults"`
}

// ShapeOverrides reduce a deployment for quick scenarios; 0 keeps its true size.
type ShapeOverrides struct {
	Hosts    int `json:"hosts"`
	Engines  int `json:"engines"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
}

// Policy is a named selection of decision policies. An empty name within it
// keeps the hosts' default.
type Policy struct {
	Name      string `json:"name"`
	Quota     string `json:"quota"`
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
	Scaling   string `json:"scaling"`
}

// Settings returns the policies in the form of the hosts' settings.
func (p Policy) Settings() settings.Policies {
	standard := settings.Default().Policies
	return settings.Policies{
		Quota:     cmp.Or(p.Quota, standard.Quota),
		Routing:   cmp.Or(p.Routing, standard.Routing),
		Admission: cmp.Or(p.Admission, standard.Admission),
		Scaling:   cmp.Or(p.Scaling, standard.Scaling),
	}
}

// Conditions of a scenario.
const (
	ConditionNormal              = "calm"
	ConditionOneHost             = "one-host" // all traffic of a workspace at one host
	ConditionPlatformOutage      = "platform-outage"
	ConditionDataCenterPartition = "data-center-cut"
	// ConditionOther has no bound of its own.
	ConditionOther = "other"
)

// Kinds of faults.
const (
	FaultPlatformDown        = "platform_down"     // every call is refused
	FaultPlatformHang        = "platform_hang"     // no call is answered
	FaultPlatformSlow        = "platform_slow"     // Factor is the added latency in ms
	FaultDroppedResponses    = "platform_lost"     // Factor is the share of commits without an answer
	FaultDataCenterPartition = "data_center_cut"   // DataCenter
	FaultWeightStoreSlow     = "weight_store_slow" // Factor divides its speed
	FaultReplaceHosts        = "replace_hosts"     // one after the other, spread over ForMS
	FaultEngineCrash         = "engine_crash"      // Index
	FaultEngineFreeze        = "engine_freeze"     // Index; open connections go silent
)

// Fault is a disturbance at a time after the start of the load.
type Fault struct {
	AtMS       int     `json:"at_ms"`
	ForMS      int     `json:"for_ms"` // 0: until the end
	Kind       string  `json:"kind"`
	DataCenter string  `json:"data_center"`
	Factor     float64 `json:"factor"`
	Index      int     `json:"index"`
}

// ScenarioError reports the problems of one scenario file.
type ScenarioError struct {
	File     string
	Problems []problem.FieldError
}

// Error implements error. It has one line for each problem.
func (e *ScenarioError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, cmp.Or(p.Pointer, "(file)"), p.Reason))
	}
	return strings.Join(lines, "\n")
}

// ReadScenario reads and checks a scenario file. It returns *ScenarioError.
func ReadScenario(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &ScenarioError{File: file, Problems: []problem.FieldError{{Reason: err.Error()}}}
	}
	scenario := &Scenario{}
	problems := strictjson.Decode(data, scenario)
	if len(problems) == 0 {
		problems = scenario.check()
	}
	if len(problems) > 0 {
		return nil, &ScenarioError{File: file, Problems: problems}
	}
	return scenario, nil
}

// shape returns the deployment's shape with the scenario's changes.
func (s *Scenario) shape() deployment.Shape {
	shape, _ := deployment.Named(s.Deployment) // checked when the file was read
	shape.Hosts = cmp.Or(s.Shape.Hosts, shape.Hosts)
	shape.Engines = cmp.Or(s.Shape.Engines, shape.Engines)
	shape.Models = cmp.Or(s.Shape.Models, shape.Models)
	shape.Adapters = cmp.Or(s.Shape.Adapters, shape.Adapters)
	return shape.Faster(s.TimeScale)
}

func (s *Scenario) duration() time.Duration { return milliseconds(s.Load.DurationMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

type checker struct{ problems []problem.FieldError }

func (c *checker) require(ok bool, pointer, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, problem.FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
	}
}

func (s *Scenario) check() []problem.FieldError {
	c := &checker{}
	c.require(s.Name != "" && !strings.ContainsAny(s.Name, "/ "), "/name", "must be set, without spaces and slashes")
	shape, known := deployment.Named(s.Deployment)
	c.require(known, "/deployment", "no deployment is named %q", s.Deployment)
	conditions := []string{ConditionNormal, ConditionOneHost, ConditionPlatformOutage, ConditionDataCenterPartition, ConditionOther}
	c.require(slices.Contains(conditions, s.Condition), "/condition", "must be one of %s", strings.Join(conditions, ", "))
	c.require(len(s.Policies) > 0, "/policies", "names no policy")
	for i, policy := range s.Policies {
		pointer := fmt.Sprintf("/policies/%d", i)
		c.require(policy.Name != "", pointer+"/name", "must be set")
		c.policy(pointer, policy)
	}
	for i, fault := range s.Faults {
		c.fault(fmt.Sprintf("/faults/%d", i), fault, shape)
	}
	c.require(s.Load.DurationMS > 0, "/load/duration_ms", "must be positive")
	return c.problems
}

// policy checks the names by the same rules as the hosts' settings.
func (c *checker) policy(pointer string, policy Policy) {
	candidate := settings.Default()
	candidate.Policies = policy.Settings()
	for _, found := range candidate.Validate() {
		if name, ok := strings.CutPrefix(found.Pointer, "/policies/"); ok {
			c.require(false, pointer+"/"+name, "%s", found.Reason)
		}
	}
}

func (c *checker) fault(pointer string, fault Fault, shape deployment.Shape) {
	kinds := []string{
		FaultPlatformDown, FaultPlatformHang, FaultPlatformSlow, FaultDroppedResponses, FaultDataCenterPartition,
		FaultWeightStoreSlow, FaultReplaceHosts, FaultEngineCrash, FaultEngineFreeze,
	}
	c.require(slices.Contains(kinds, fault.Kind), pointer+"/kind", "must be one of %s", strings.Join(kinds, ", "))
	if fault.Kind == FaultDataCenterPartition {
		c.require(slices.Contains(shape.DataCenters, fault.DataCenter), pointer+"/data_center", "the deployment has no %q", fault.DataCenter)
	}
	if fault.Kind == FaultEngineCrash || fault.Kind == FaultEngineFreeze {
		c.require(fault.Index >= 0 && fault.Index < shape.Engines, pointer+"/index", "the deployment has %d engines", shape.Engines)
	}
	c.require(fault.AtMS >= 0 && fault.ForMS >= 0, pointer, "times must not be negative")
}
