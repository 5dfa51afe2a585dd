package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/service"
)

// defaultWarmUpMS gives the hosts time to discover all upstreams before the load starts.
const defaultWarmUpMS = 2000

// Run holds what the load generator and the stand-ins recorded while one scenario
// ran under one policy.
type Run struct {
	Scenario *Scenario
	Policy   string
	Seed     uint64

	fleet        *fleet.Fleet
	start        time.Time // of the load
	plan         []loadgen.Arrival
	outcomes     []loadgen.Outcome
	engines      []standin.Record
	services     []service.Record
	store        standin.WeightStoreRecord
	restartTimes []time.Duration
	byPrompt     map[uint64]*loadgen.Outcome // keyed by prompt hash
	slowest      []slowRequest
}

// RunError reports a run that could not be completed.
type RunError struct {
	Scenario, Policy string
	Cause            error
}

// Error implements error.
func (e *RunError) Error() string {
	return fmt.Sprintf("scenario %s, policy %s: %v", e.Scenario, e.Policy, e.Cause)
}

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Cause }

// FaultFunc injects faults into a fleet while a scenario's load runs, in addition
// to the scenario's own faults. start is the start of the load.
type FaultFunc func(ctx context.Context, f *fleet.Fleet, start time.Time) error

// Execute runs one scenario under one policy. Errors are *RunError.
func Execute(ctx context.Context, scenario *Scenario, policy Policy, seed uint64, start StartHost) (*Run, error) {
	return ExecuteWithFaults(ctx, scenario, policy, seed, start, nil)
}

// ExecuteWithFaults is Execute with additional faults; inject may be nil.
func ExecuteWithFaults(ctx context.Context, scenario *Scenario, policy Policy, seed uint64, start StartHost, inject FaultFunc) (*Run, error) {
	f, err := fleet.Start(ctx, fleet.Options{
		Shape:     scenario.deploymentShape(),
		Seed:      seed,
		Policies:  policy.Settings(),
		StartHost: start,
	})
	if err != nil {
		return nil, &RunError{scenario.Name, policy.Name, err}
	}
	defer f.Stop()
	run := &Run{Scenario: scenario, Policy: policy.Name, Seed: seed, fleet: f}
	if err := run.execute(ctx, inject); err != nil {
		return nil, &RunError{scenario.Name, policy.Name, err}
	}
	return run, nil
}

func (r *Run) execute(ctx context.Context, inject FaultFunc) error {
	target := r.fleet.Population()
	plan, err := loadgen.Plan(&r.Scenario.Load, target, r.Seed)
	if err != nil {
		return err
	}
	r.plan = plan
	if !waitUntil(ctx, time.Now().Add(fromMilliseconds(cmp.Or(r.Scenario.WarmUpMS, defaultWarmUpMS)))) {
		return ctx.Err()
	}
	injector := &faultInjector{fleet: r.fleet, duration: r.Scenario.duration()}
	var wait conc.WaitGroup
	r.start = time.Now()
	wait.Go(func() { injector.run(ctx, r.start, r.Scenario.Faults) })
	var injectErr error
	if inject != nil {
		wait.Go(func() { injectErr = inject(ctx, r.fleet, r.start) })
	}
	runner := &loadgen.Runner{Target: target}
	r.start, r.outcomes = runner.Run(ctx, plan)
	wait.Wait()
	r.restartTimes = injector.restartTimes
	r.collect()
	r.explainSlowest(ctx)
	return errors.Join(append(injector.errors, injectErr, ctx.Err())...)
}

// collect stores the stand-ins' records and indexes the outcomes by prompt.
func (r *Run) collect() {
	for _, e := range r.fleet.Engines {
		r.engines = append(r.engines, e.Record())
	}
	for _, s := range r.fleet.Services {
		r.services = append(r.services, s.Record())
	}
	r.store = r.fleet.Store.Record()
	r.byPrompt = map[uint64]*loadgen.Outcome{}
	for i := range r.outcomes {
		if o := &r.outcomes[i]; o.Arrival != nil && o.Arrival.Request != nil {
			r.byPrompt[standin.PromptHash(standin.Prompt(o.Arrival.Request))] = o
		}
	}
}

// sinceStart converts t to a time relative to the start of the load.
func (r *Run) sinceStart(t time.Time) time.Duration { return t.Sub(r.start) }

// loadDuration is the length of the measured period, in which arrivals are
// planned.
func (r *Run) loadDuration() time.Duration { return r.Scenario.duration() }

// warmUpTime is how long the hosts' token buckets filled before the load started.
func (r *Run) warmUpTime() time.Duration { return r.start.Sub(r.fleet.Started) }
