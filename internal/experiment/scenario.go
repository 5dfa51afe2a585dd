// Package experiment runs scenarios. A scenario starts stand-ins and real
// gateway hosts in one process, applies a load and scheduled faults, and repeats
// this for each policy to compare. Each run is measured against the bounds of the
// design page.
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

// HostSpec configures a gateway host.
type HostSpec = fleet.HostSpec

// RunningHost is a gateway host running in this process.
type RunningHost = fleet.RunningHost

// StartHost starts a gateway host. It may return before the host is ready.
type StartHost = fleet.StartHost

// Scenario is the content of a scenario file: JSON with comments. Unknown fields
// are rejected.
type Scenario struct {
	Name        string         `json:"name"`
	Description string         `json:"description"`
	Deployment  string         `json:"deployment"` // name of a predefined deployment shape
	Shape       ShapeOverrides `json:"shape"`
	// TimeScale is the factor by which model loads and token generation are sped
	// up; 0 and 1 mean real time.
	TimeScale float64 `json:"time_scale"`
	// WarmUpMS is the time between the start of the hosts and that of the load,
	// during which the hosts' token buckets fill; 0 means 2000 ms.
	WarmUpMS  int          `json:"settle_ms"`
	Condition string       `json:"condition"` // selects the bound on wrongful refusals
	Policies  []Policy     `json:"policies"`
	Load      loadgen.Spec `json:"load"`
	Faults    []Fault      `json:"faults"`
}

// ShapeOverrides replace sizes of a deployment, to reduce it for quick scenarios;
// 0 keeps the deployment's size.
type ShapeOverrides struct {
	Hosts    int `json:"hosts"`
	Engines  int `json:"engines"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
}

// Policy is a named set of decision policies. An empty field selects the hosts'
// default.
type Policy struct {
	Name      string `json:"name"`
	Quota     string `json:"quota"`
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
	Scaling   string `json:"scaling"`
}

// Settings returns the policies as host settings.
func (p Policy) Settings() settings.Policies {
	standard := settings.Default().Policies
	return settings.Policies{
		Quota:     cmp.Or(p.Quota, standard.Quota),
		Routing:   cmp.Or(p.Routing, standard.Routing),
		Admission: cmp.Or(p.Admission, standard.Admission),
		Scaling:   cmp.Or(p.Scaling, standard.Scaling),
	}
}

// Values of Scenario.Condition.
const (
	ConditionNormal              = "calm"
	ConditionOneHost             = "one-host" // all traffic of a workspace goes to one host
	ConditionPlatformOutage      = "platform-outage"
	ConditionDataCenterPartition = "data-center-cut"
	// ConditionOther has no bound on wrongful refusals.
	ConditionOther = "other"
)

// Values of Fault.Kind. The comments say how the other fields of Fault are used.
const (
	FaultPlatformDown        = "platform_down"     // every platform call is refused
	FaultPlatformHang        = "platform_hang"     // platform calls get no response
	FaultPlatformSlow        = "platform_slow"     // Factor is the latency added to each call, in ms
	FaultDroppedResponses    = "platform_lost"     // Factor is the fraction of commits whose response is dropped
	FaultDataCenterPartition = "data_center_cut"   // partitions DataCenter
	FaultWeightStoreSlow     = "weight_store_slow" // Factor divides the store's throughput
	FaultReplaceHosts        = "replace_hosts"     // one at a time, spread evenly over ForMS
	FaultEngineCrash         = "engine_crash"      // crashes engine Index
	FaultEngineFreeze        = "engine_freeze"     // open connections of engine Index freeze
)

// Fault is a fault injected AtMS milliseconds after the start of the load.
type Fault struct {
	AtMS       int     `json:"at_ms"`
	ForMS      int     `json:"for_ms"` // 0: until the end of the run
	Kind       string  `json:"kind"`
	DataCenter string  `json:"data_center"`
	Factor     float64 `json:"factor"`
	Index      int     `json:"index"`
}

// ScenarioError reports the validation errors of one scenario file.
type ScenarioError struct {
	File     string
	Problems []problem.FieldError
}

// Error implements error. It returns one line per problem.
func (e *ScenarioError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, cmp.Or(p.Pointer, "(file)"), p.Reason))
	}
	return strings.Join(lines, "\n")
}

// ReadScenario reads and validates a scenario file. Errors are *ScenarioError.
func ReadScenario(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &ScenarioError{File: file, Problems: []problem.FieldError{{Reason: err.Error()}}}
	}
	scenario := &Scenario{}
	problems := strictjson.Decode(data, scenario)
	if len(problems) == 0 {
		problems = scenario.validate()
	}
	if len(problems) > 0 {
		return nil, &ScenarioError{File: file, Problems: problems}
	}
	return scenario, nil
}

// deploymentShape returns the shape of the deployment with the scenario's overrides.
func (s *Scenario) deploymentShape() deployment.Shape {
	shape, _ := deployment.ShapeByName(s.Deployment) // validated when the file was read
	shape.Hosts = cmp.Or(s.Shape.Hosts, shape.Hosts)
	shape.Engines = cmp.Or(s.Shape.Engines, shape.Engines)
	shape.Models = cmp.Or(s.Shape.Models, shape.Models)
	shape.Adapters = cmp.Or(s.Shape.Adapters, shape.Adapters)
	return shape.SpeedUp(s.TimeScale)
}

func (s *Scenario) duration() time.Duration { return fromMilliseconds(s.Load.DurationMS) }

func fromMilliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

type validator struct{ problems []problem.FieldError }

func (c *validator) require(ok bool, pointer, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, problem.FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
	}
}

func (s *Scenario) validate() []problem.FieldError {
	c := &validator{}
	c.require(s.Name != "" && !strings.ContainsAny(s.Name, "/ "), "/name", "must be set, without spaces and slashes")
	shape, known := deployment.ShapeByName(s.Deployment)
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

// policy validates the policy names by the same rules as the hosts' settings.
func (c *validator) policy(pointer string, policy Policy) {
	candidate := settings.Default()
	candidate.Policies = policy.Settings()
	for _, found := range candidate.Validate() {
		if name, ok := strings.CutPrefix(found.Pointer, "/policies/"); ok {
			c.require(false, pointer+"/"+name, "%s", found.Reason)
		}
	}
}

func (c *validator) fault(pointer string, fault Fault, shape deployment.Shape) {
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
