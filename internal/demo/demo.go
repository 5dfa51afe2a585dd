// Package demo shows the system at work: it starts a whole deployment on
// loopback in one process, changes its configuration, wakes cold models from
// several hosts, and checks and prints every answer.
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
	// runTimeout keeps a demo that hangs below two minutes.
	runTimeout = 100 * time.Second
	// settleTime lets the hosts learn of all engines.
	settleTime      = time.Second
	requestDeadline = 20 * time.Second
	answerTokens    = 24
	workspace       = "curators"
	newModel        = "demo-model"
	newModelBytes   = 3_000_000_000
)

// Options configure a demo.
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

// BadResponsesError reports answers that were wrong, missing or refused.
type BadResponsesError struct {
	Count int
	First string
}

// Error implements error.
func (e *BadResponsesError) Error() string {
	return fmt.Sprintf("%d bad answers; the first: %s", e.Count, e.First)
}

// UnexpectedResultError reports an observation other than the one expected.
type UnexpectedResultError struct{ Got, Want string }

// Error implements error.
func (e *UnexpectedResultError) Error() string { return fmt.Sprintf("got %s, want %s", e.Got, e.Want) }

// Run carries out the demo. It returns nil only when every answer was right;
// errors are *StepError.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	d := &demo{out: options.Out, started: time.Now()}
	d.say("Starting the seed office on loopback.")
	f, err := fleet.Start(ctx, fleet.Options{Shape: deployment.SeedOffice(), Seed: options.Seed, StartHost: options.StartHost})
	if err != nil {
		return &StepError{Step: "start", Cause: err}
	}
	defer f.Stop()
	d.fleet, d.population = f, f.Population()
	d.say("%d entry hosts, %d engines, %d workers of a plain service, %d models and %d adapters are up.",
		len(f.Deployment.HostNames), len(f.Engines), len(f.Services), len(f.Deployment.ModelNames), len(f.Deployment.AdapterNames))
	return d.steps(ctx)
}

// demo is a demo in progress.
type demo struct {
	fleet      *fleet.Fleet
	population *loadgen.Target
	out        io.Writer
	started    time.Time
	requests   int
}

type step struct {
	name string
	run  func(ctx context.Context) error
}

func (d *demo) steps(ctx context.Context) error {
	steps := []step{
		{"wake cold models", d.wakeColdModels},
		{"apply a patch", d.applyPatch},
		{"wake the new model from every host", d.wakeNewModel},
		{"repeat a withdrawal", d.repeatWithdrawal},
		{"withdraw a key", d.withdrawKey},
		{"check what the upstreams saw", d.checkUpstreams},
	}
	for _, next := range steps {
		if err := next.run(ctx); err != nil {
			d.say("Failed: %s: %v", next.name, err)
			return &StepError{Step: next.name, Cause: err}
		}
	}
	d.say("Every answer was right.")
	return nil
}

// say prints one line with the time since the start.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// wakeColdModels asks three hosts for three cold models at the same moment,
// each model twice.
func (d *demo) wakeColdModels(ctx context.Context) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	hosts, models := len(d.population.Hosts), d.fleet.Deployment.ModelNames
	const woken = 3
	var plan []loadgen.Arrival
	for i := range woken {
		model := models[len(models)-1-i]
		plan = append(plan, d.request(i%hosts, model), d.request((i+1)%hosts, model))
	}
	d.say("Asking %d hosts for %d cold models, each from two hosts at once.", min(woken, hosts), woken)
	return d.send(ctx, plan)
}

func (d *demo) wakeNewModel(ctx context.Context) error {
	var plan []loadgen.Arrival
	for host := range d.population.Hosts {
		plan = append(plan, d.request(host, newModel))
	}
	d.say("Asking every host for %s at once.", newModel)
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
	d.say("%s was loaded %d times for %d hosts.", newModel, loads, len(plan))
	if loads > 1 {
		return &UnexpectedResultError{Got: fmt.Sprintf("%d loads", loads), Want: "1 load, the model's maximum"}
	}
	return nil
}

// request returns a streamed request with a prompt of its own.
func (d *demo) request(host int, model string) loadgen.Arrival {
	d.requests++
	prompt := fmt.Sprintf("Which drawer holds accession %d? %s", d.requests, standin.LengthMarker(answerTokens))
	return loadgen.Arrival{
		Number: d.requests, Host: host, Workspace: workspace, Class: loadgen.ClassInteractive, Deadline: requestDeadline,
		Request: &engine.InferenceRequest{
			Model: model, Messages: []engine.Message{{Role: "user", Content: prompt}},
			MaxTokens: 2 * answerTokens, Stream: true,
		},
	}
}

// send sends requests at once, prints each answer, and checks all.
func (d *demo) send(ctx context.Context, plan []loadgen.Arrival) error {
	runner := &loadgen.Runner{Target: d.population}
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
	d.say("  %s  %-16s %-9s first %5d ms  whole %5d ms  %2d tokens  version %d  %s",
		d.fleet.Deployment.HostNames[o.Host], target, o.Kind, milliseconds(o.FirstTextAt), milliseconds(o.DoneAt),
		o.Tokens, o.ConfigVersion, o.RequestID)
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
