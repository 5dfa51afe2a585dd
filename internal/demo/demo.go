// Package demo runs an end-to-end demonstration. It starts a complete deployment
// on loopback in one process, changes its configuration, requests models that are
// not loaded from several hosts, and checks and prints every response.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

const (
	// demoTimeout ends a demo that hangs in less than two minutes.
	demoTimeout = 100 * time.Second
	// warmUpTime gives the hosts time to discover all engines.
	warmUpTime       = time.Second
	requestDeadline  = 20 * time.Second
	completionTokens = 24
	workspace        = "curators"
	newModel         = "demo-model"
	newModelBytes    = 3_000_000_000
)

// Options configures a demo.
type Options struct {
	StartHost fleet.StartHost
	Out       io.Writer
	Seed      uint64
}

// StepError reports a step of the demo that failed.
type StepError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *StepError) Error() string { return fmt.Sprintf("demo: %s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// BadResponsesError reports responses that were wrong, missing or refusals.
type BadResponsesError struct {
	Count int
	First string
}

// Error implements error.
func (e *BadResponsesError) Error() string {
	return fmt.Sprintf("%d bad answers; the first: %s", e.Count, e.First)
}

// UnexpectedResultError reports a result that differs from the expected one.
type UnexpectedResultError struct{ Got, Want string }

// Error implements error.
func (e *UnexpectedResultError) Error() string { return fmt.Sprintf("got %s, want %s", e.Got, e.Want) }

// Run runs the demo. It returns nil only if every response was correct. Errors are
// *StepError.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{out: options.Out, started: time.Now()}
	d.printf("Starting the seed office on loopback.")
	f, err := fleet.Start(ctx, fleet.Options{Shape: deployment.SeedOffice(), Seed: options.Seed, StartHost: options.StartHost})
	if err != nil {
		return &StepError{Step: "start", Cause: err}
	}
	defer f.Stop()
	d.fleet, d.target = f, f.Population()
	d.printf("%d entry hosts, %d engines, %d workers of a plain service, %d models and %d adapters are up.",
		len(f.Deployment.HostNames), len(f.Engines), len(f.Services), len(f.Deployment.ModelNames), len(f.Deployment.AdapterNames))
	return d.runSteps(ctx)
}

// demo is the state of a running demo.
type demo struct {
	fleet    *fleet.Fleet
	target   *loadgen.Target
	out      io.Writer
	started  time.Time
	requests int
}

type step struct {
	name string
	run  func(ctx context.Context) error
}

func (d *demo) runSteps(ctx context.Context) error {
	steps := []step{
		{"wake cold models", d.requestColdModels},
		{"apply a patch", d.applyPatch},
		{"wake the new model from every host", d.requestNewModel},
		{"repeat a withdrawal", d.repeatWithdrawal},
		{"withdraw a key", d.withdrawKey},
		{"check what the upstreams saw", d.checkCallerKeys},
	}
	for _, next := range steps {
		if err := next.run(ctx); err != nil {
			d.printf("Failed: %s: %v", next.name, err)
			return &StepError{Step: next.name, Cause: err}
		}
	}
	d.printf("Every answer was right.")
	return nil
}

// printf prints one line, prefixed with the time since the start.
func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// requestColdModels requests three unloaded models at once, each from two hosts.
func (d *demo) requestColdModels(ctx context.Context) error {
	if err := sleep(ctx, warmUpTime); err != nil {
		return err
	}
	hosts, models := len(d.target.Hosts), d.fleet.Deployment.ModelNames
	const coldModels = 3
	var plan []loadgen.Arrival
	for i := range coldModels {
		model := models[len(models)-1-i]
		plan = append(plan, d.newRequest(i%hosts, model), d.newRequest((i+1)%hosts, model))
	}
	d.printf("Asking %d hosts for %d cold models, each from two hosts at once.", min(coldModels, hosts), coldModels)
	return d.send(ctx, plan)
}

func (d *demo) requestNewModel(ctx context.Context) error {
	var plan []loadgen.Arrival
	for host := range d.target.Hosts {
		plan = append(plan, d.newRequest(host, newModel))
	}
	d.printf("Asking every host for %s at once.", newModel)
	if err := d.send(ctx, plan); err != nil {
		return err
	}
	loads := 0
	for _, e := range d.fleet.Engines {
		for _, load := range e.Record().Loads {
			if load.Model == newModel {
				loads++
			}
		}
	}
	d.printf("%s was loaded %d times for %d hosts.", newModel, loads, len(plan))
	if loads > 1 {
		return &UnexpectedResultError{Got: fmt.Sprintf("%d loads", loads), Want: "1 load, the model's maximum"}
	}
	return nil
}

// newRequest returns a streamed request with a unique prompt.
func (d *demo) newRequest(host int, model string) loadgen.Arrival {
	d.requests++
	prompt := fmt.Sprintf("Which drawer holds accession %d? %s", d.requests, standin.LengthMarker(completionTokens))
	return loadgen.Arrival{
		Number: d.requests, Host: host, Workspace: workspace, Class: loadgen.ClassInteractive, Deadline: requestDeadline,
		Request: &engine.InferenceRequest{
			Model: model, Messages: []engine.Message{{Role: "user", Content: prompt}},
			MaxTokens: 2 * completionTokens, Stream: true,
		},
	}
}

// send sends all requests at once and prints and checks each response.
func (d *demo) send(ctx context.Context, plan []loadgen.Arrival) error {
	runner := &loadgen.Runner{Target: d.target}
	_, outcomes := runner.Run(ctx, plan)
	bad := &BadResponsesError{}
	for i := range outcomes {
		o := &outcomes[i]
		d.printOutcome(o)
		if o.Kind != loadgen.KindAnswered {
			if bad.Count == 0 {
				bad.First = fmt.Sprintf("%s %s %s", o.Kind, o.ProblemType, o.Detail)
			}
			bad.Count++
		}
	}
	if bad.Count > 0 {
		return bad
	}
	return ctx.Err()
}

func (d *demo) printOutcome(o *loadgen.Outcome) {
	target := o.Arrival.Method + " " + o.Arrival.Path
	if o.Arrival.Request != nil {
		target = o.Arrival.Request.Model
	}
	milliseconds := func(t time.Duration) int64 { return (t - o.Arrival.At).Milliseconds() }
	d.printf("  %s  %-16s %-9s first %5d ms  whole %5d ms  %2d tokens  version %d  %s",
		d.fleet.Deployment.HostNames[o.Host], target, o.Kind, milliseconds(o.FirstTextAt), milliseconds(o.DoneAt),
		o.Tokens, o.ConfigVersion, o.RequestID)
}

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
