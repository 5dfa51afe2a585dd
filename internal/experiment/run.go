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

// defaultSettleMS lets hosts learn of all upstreams before the load starts.
const defaultSettleMS = 2000

// Run is one scenario under one policy, as it was seen by the load generator
// and by the stand-ins.
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
	replacements []time.Duration
	byPrompt     map[uint64]*loadgen.Outcome // by hash of the prompt
	slowest      []explanation
}

// RunError reports a run that could not be carried out.
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

// FaultFunc acts on a fleet while a scenario's load runs, beside the
// scenario's own faults. The start is that of the load.
type FaultFunc func(ctx context.Context, f *fleet.Fleet, start time.Time) error

// Execute carries out one scenario under one policy. It returns *RunError.
func Execute(ctx context.Context, scenario *Scenario, policy Policy, seed uint64, start StartHost) (*Run, error) {
	return ExecuteWithFaults(ctx, scenario, policy, seed, start, nil)
}

// ExecuteWithFaults is Execute with a disturbance, which may be nil.
func ExecuteWithFaults(ctx context.Context, scenario *Scenario, policy Policy, seed uint64, start StartHost, disturb FaultFunc) (*Run, error) {
	f, err := fleet.Start(ctx, fleet.Options{
		Shape:     scenario.shape(),
		Seed:      seed,
		Policies:  policy.Settings(),
		StartHost: start,
	})
	if err != nil {
		return nil, &RunError{scenario.Name, policy.Name, err}
	}
	defer f.Stop()
	run := &Run{Scenario: scenario, Policy: policy.Name, Seed: seed, fleet: f}
	if err := run.execute(ctx, disturb); err != nil {
		return nil, &RunError{scenario.Name, policy.Name, err}
	}
	return run, nil
}

func (r *Run) execute(ctx context.Context, disturb FaultFunc) error {
	population := r.fleet.Population()
	plan, err := loadgen.Plan(&r.Scenario.Load, population, r.Seed)
	if err != nil {
		return err
	}
	r.plan = plan
	if !waitUntil(ctx, time.Now().Add(milliseconds(cmp.Or(r.Scenario.WarmUpMS, defaultSettleMS)))) {
		return ctx.Err()
	}
	d := &disturber{fleet: r.fleet, duration: r.Scenario.duration()}
	var wait conc.WaitGroup
	r.start = time.Now()
	wait.Go(func() { d.run(ctx, r.start, r.Scenario.Faults) })
	var disturbErr error
	if disturb != nil {
		wait.Go(func() { disturbErr = disturb(ctx, r.fleet, r.start) })
	}
	runner := &loadgen.Runner{Target: population}
	r.start, r.outcomes = runner.Run(ctx, plan)
	wait.Wait()
	r.replacements = d.replacements
	r.collect()
	r.explainSlowest(ctx)
	return errors.Join(append(d.errors, disturbErr, ctx.Err())...)
}

// collect takes the stand-ins' records.
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

// since returns a time relative to the start of the load.
func (r *Run) since(t time.Time) time.Duration { return t.Sub(r.start) }

// horizon is the end of the measured period: that of the planned arrivals.
func (r *Run) horizon() time.Duration { return r.Scenario.duration() }

// ageAtStart is how long the hosts' buckets filled before the load.
func (r *Run) ageAtStart() time.Duration { return r.start.Sub(r.fleet.Started) }
