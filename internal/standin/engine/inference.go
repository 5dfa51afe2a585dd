package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

const (
	maxRequestBytes = 16 << 20
	headerRequestID = engine.HeaderRequestID
	chatPath        = "/v1/chat/completions"
)

// Reasons for refusing or ending an inference call, in the body {"reason": ...}.
const (
	ReasonNotLoaded = engine.RefusalNotLoaded
	ReasonDraining  = "draining"
	ReasonTimeout   = "timeout"
	ReasonCancelled = "cancelled"
	ReasonMalformed = "malformed"
)

type reasonBody struct {
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

// run is one execution of a request in progress.
type run struct {
	request  *engine.InferenceRequest
	id       string
	chat     bool
	prompt   string
	priority string
	recorder *runRecorder
	cancel   context.CancelCauseFunc
}

// runTable holds the runs in progress.
type runTable struct {
	mu   sync.Mutex
	runs map[*run]struct{}
}

func newRunTable() *runTable { return &runTable{runs: map[*run]struct{}{}} }

func (t *runTable) add(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r] = struct{}{}
}

func (t *runTable) remove(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, r)
}

// cancel ends all runs of a request. It does nothing for an unknown request.
func (t *runTable) cancel(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.runs {
		if r.id == requestID {
			r.cancel(&runEndError{outcome: OutcomeCancelled})
		}
	}
}

func (t *runTable) report() []engine.Running {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := make([]engine.Running, 0, len(t.runs))
	for r := range t.runs {
		running = append(running, engine.Running{RequestID: r.id, Tokens: r.recorder.tokens()})
	}
	return running
}

func (b *boot) inference(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	received := time.Now()
	b.engine.recorder.capturedValues.Record(r)
	requestID := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, requestID)
	request, err := readRequest(r)
	if err != nil {
		upstream.WriteJSON(w, http.StatusBadRequest, reasonBody{Reason: ReasonMalformed, Detail: err.Error()})
		return
	}
	if b.engine.Faults().Draining {
		b.refuse(w, http.StatusServiceUnavailable, ReasonDraining)
		return
	}
	model, adapter, _ := strings.Cut(request.Model, ":")
	release, ok := b.memory.acquire(model, adapter)
	if !ok {
		b.refuse(w, http.StatusConflict, ReasonNotLoaded)
		return
	}
	defer release()
	ctx, cancel := b.runContext(r)
	defer cancel(nil)
	current := b.newRun(request, r, received, cancel)
	b.runs.add(current)
	defer b.runs.remove(current)
	b.finish(current, b.executeRun(ctx, w, current))
}

func readRequest(r *http.Request) (*engine.InferenceRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	request := &engine.InferenceRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, err
	}
	return request, nil
}

func (b *boot) refuse(w http.ResponseWriter, status int, reason string) {
	b.engine.recorder.countRefusal()
	upstream.WriteJSON(w, status, reasonBody{Reason: reason})
}

// runContext returns a context that ends when the client disconnects, the
// time-out in engine.HeaderTimeoutMS expires, the request is cancelled or the
// engine crashes. The returned function ends the context with the given cause.
// Called with nil, it also releases the timer and the crash callback.
func (b *boot) runContext(r *http.Request) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(r.Context())
	stopCrash := context.AfterFunc(b.Ctx, func() { cancel(&runEndError{outcome: OutcomeCrashed}) })
	timeout, err := strconv.Atoi(r.Header.Get(engine.HeaderTimeoutMS))
	var timer *time.Timer
	if err == nil {
		expire := func() { cancel(&runEndError{outcome: OutcomeTimeout}) }
		timer = time.AfterFunc(time.Duration(timeout)*time.Millisecond, expire)
	}
	return ctx, func(cause error) {
		cancel(cause)
		if cause != nil {
			return
		}
		stopCrash()
		if timer != nil {
			timer.Stop()
		}
	}
}

func (b *boot) newRun(request *engine.InferenceRequest, r *http.Request, received time.Time, cancel context.CancelCauseFunc) *run {
	prompt := Prompt(request)
	current := &run{
		request:  request,
		id:       r.Header.Get(headerRequestID),
		chat:     r.URL.Path == chatPath,
		prompt:   prompt,
		priority: r.Header.Get(engine.HeaderPriority),
		cancel:   cancel,
	}
	current.recorder = &runRecorder{record: RunRecord{
		RequestID: current.id, PromptHash: PromptHash(prompt), BootID: b.ID, Model: request.Model, Priority: current.priority,
		PromptTokens: PromptTokens(prompt), MaxTokens: request.MaxTokens, Received: received,
	}}
	return current
}

// executeRun waits for a slot in the running batch, processes the prompt and
// generates the completion.
func (b *boot) executeRun(ctx context.Context, w http.ResponseWriter, current *run) error {
	output := newOutput(w, current)
	if err := b.scheduler.acquire(ctx, current.priority); err != nil {
		output.fail(outcomeOf(err))
		return err
	}
	defer b.scheduler.release()
	current.recorder.update(func(record *RunRecord) { record.Started = time.Now() })
	b.engine.recorder.run(current.recorder)
	if strings.Contains(current.prompt, b.engine.options.CrashMarker) {
		b.engine.process.CrashBoot(b.Boot)
		return &runEndError{outcome: OutcomeCrashed}
	}
	err := b.generate(ctx, current, output)
	if err != nil {
		output.fail(outcomeOf(err))
	}
	return err
}

func (b *boot) generate(ctx context.Context, current *run, output *output) error {
	if err := sleep(ctx, b.prefill(current)); err != nil {
		return err
	}
	generator := newTokenGenerator(current.id, current.prompt)
	total, limited := CompletionLength(current.prompt, current.request.MaxTokens)
	output.begin()
	next := time.Now()
	for i := range total {
		next = next.Add(b.tokenInterval())
		if wait := time.Until(next); wait > 0 || i == 0 {
			if err := sleep(ctx, wait); err != nil {
				return err
			}
		}
		current.recorder.addToken()
		output.writeToken(generator.token(i))
	}
	output.end(total, limited)
	return nil
}

// prefill returns the processing time of the prompt tokens that are not in the
// prefix cache.
func (b *boot) prefill(current *run) time.Duration {
	hits := b.cache.lookupAndStore(current.request.Model, routing.RequestPrefixHashes(current.request))
	tokens := PromptTokens(current.prompt)
	cached := min(hits*routing.BlockBytes/bytesPerToken, tokens)
	current.recorder.update(func(record *RunRecord) { record.CachedTokens = cached })
	return time.Duration(tokens-cached) * b.engine.options.PrefillPerToken
}

func (b *boot) tokenInterval() time.Duration {
	interval := b.engine.options.TokenInterval
	if interval <= 0 {
		return 0
	}
	if factor := b.engine.Faults().TokenIntervalFactor; factor > 0 {
		return time.Duration(float64(interval) * factor)
	}
	return interval
}

// finish records the end of a run. After a crash it aborts the connection, also
// when the request's own context ended first.
func (b *boot) finish(current *run, err error) {
	outcome := outcomeOf(err)
	if err != nil && b.Ctx.Err() != nil {
		outcome = OutcomeCrashed
	}
	current.recorder.update(func(record *RunRecord) {
		record.Ended = time.Now()
		record.Outcome = outcome
	})
	if outcome == OutcomeCrashed {
		panic(http.ErrAbortHandler)
	}
}

func outcomeOf(err error) string {
	var cause *runEndError
	switch {
	case err == nil:
		return OutcomeFinished
	case errors.As(err, &cause):
		return cause.outcome
	default:
		return OutcomeDisconnected
	}
}
