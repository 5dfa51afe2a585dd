package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerConfigVersion  = "X-Config-Version"
	// answerGrace is how long after its deadline a request may at most be
	// answered or refused.
	answerGrace = 500 * time.Millisecond
	// giveUpAfter is how long after the deadline the client stops waiting.
	giveUpAfter  = 3 * time.Second
	dialTimeout  = time.Second
	idleConns    = 512
	maxProblem   = 1 << 20
	progressTick = time.Second
)

// Kinds of outcomes.
const (
	KindAnswered       = "answered"
	KindRefused        = "refused"    // with a problem document
	KindTruncated      = "cut"        // a stream that ended with an error event
	KindWrong          = "wrong"      // not the whole answer to its own request
	KindNoResponse     = "no_answer"  // neither an answer nor a refusal
	KindConnectionLost = "broken_off" // the connection to the host broke
)

// Outcome is what became of an arrival. Times are since the start of the load.
type Outcome struct {
	Arrival       *Arrival
	Kind          string
	RequestID     string
	ConfigVersion uint64
	Status        int
	ProblemType   string // last part of the problem type
	NotRun        bool
	Host          int // that answered
	Tokens        int
	SentAt        time.Duration
	FirstTextAt   time.Duration // first text of a stream, or the whole answer
	DoneAt        time.Duration
	Detail        string
}

// Late reports whether the outcome came later than the deadline allows.
func (o *Outcome) Late() bool {
	return o.Arrival.Deadline > 0 && o.DoneAt-o.Arrival.At > o.Arrival.Deadline+answerGrace
}

// MetDeadline reports whether a complete answer came by the deadline.
func (o *Outcome) MetDeadline() bool {
	return o.Kind == KindAnswered && (o.Arrival.Deadline == 0 || o.DoneAt-o.Arrival.At <= o.Arrival.Deadline)
}

// Runner sends a plan.
type Runner struct {
	Target *Target
	// Dial replaces the way connections are made; nil: plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Progress is called about every second with counts; it may be nil.
	Progress func(elapsed time.Duration, sent, done, planned int)
}

// Run sends every arrival at its planned time, whatever became of earlier
// ones, and returns one outcome per arrival, in order. It returns early when
// the context ends; outcomes of arrivals not sent have no kind.
func (r *Runner) Run(ctx context.Context, plan []Arrival) (start time.Time, outcomes []Outcome) {
	client, closeClient := r.client()
	defer closeClient()
	outcomes = make([]Outcome, len(plan))
	var sent, done atomic.Int64
	start = time.Now()
	stopProgress := r.progress(start, &sent, &done, len(plan))
	defer stopProgress()
	var wait conc.WaitGroup
	for i := range plan {
		if !sleepUntil(ctx, start.Add(plan[i].At)) {
			break
		}
		sent.Add(1)
		wait.Go(func() {
			c := &call{runner: r, client: client, start: start, arrival: &plan[i]}
			outcomes[i] = c.run(ctx)
			done.Add(1)
		})
	}
	wait.Wait()
	return start, outcomes
}

func (r *Runner) client() (*http.Client, func()) {
	dial := r.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        0, // no limit over all hosts
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

func (r *Runner) progress(start time.Time, sent, done *atomic.Int64, planned int) (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	ended := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(progressTick)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.Progress(time.Since(start), int(sent.Load()), int(done.Load()), planned)
			case <-ended:
				return
			}
		}
	})
	return func() {
		close(ended)
		wait.Wait()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call is one arrival being sent.
type call struct {
	runner  *Runner
	client  *http.Client
	start   time.Time
	arrival *Arrival
}

// run tries the hosts in turn, as the load balancer does: the next one only
// when a connection was refused, or when the host says that the request was not
// run because it is not ready or shutting down.
func (c *call) run(ctx context.Context) Outcome {
	if c.arrival.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.arrival.Deadline+giveUpAfter)
		defer cancel()
	}
	hosts := len(c.runner.Target.Hosts)
	var outcome Outcome
	for attempt := range hosts {
		var retry bool
		outcome, retry = c.attempt(ctx, (c.arrival.Host+attempt)%hosts)
		if !retry {
			break
		}
	}
	outcome.DoneAt = time.Since(c.start)
	if outcome.FirstTextAt == 0 {
		outcome.FirstTextAt = outcome.DoneAt
	}
	return outcome
}

func (c *call) attempt(ctx context.Context, host int) (outcome Outcome, retry bool) {
	outcome = Outcome{Arrival: c.arrival, Host: host, SentAt: time.Since(c.start)}
	request, err := c.request(ctx, host)
	if err != nil {
		outcome.Kind, outcome.Detail = KindNoResponse, err.Error()
		return outcome, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return c.failed(ctx, outcome, err), isDialError(err)
	}
	defer response.Body.Close()
	c.read(response, &outcome)
	if ctx.Err() != nil && outcome.Kind != KindAnswered {
		outcome.Kind = KindNoResponse
	}
	return outcome, outcome.NotRun && isNotReady(outcome.ProblemType)
}

// isNotReady reports whether a host refuses all requests for now, which the
// balancer knows from its readiness.
func isNotReady(kind string) bool {
	return kind == string(problem.ShuttingDown) || kind == string(problem.NoConfiguration)
}

func (c *call) failed(ctx context.Context, outcome Outcome, err error) Outcome {
	outcome.Kind, outcome.Detail = KindConnectionLost, err.Error()
	if ctx.Err() != nil {
		outcome.Kind = KindNoResponse
	}
	return outcome
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *call) request(ctx context.Context, host int) (*http.Request, error) {
	a := c.arrival
	method, path, body := a.Method, "/services/"+a.Service+a.Path, []byte(a.Body)
	if a.Request != nil {
		method, path = http.MethodPost, "/v1/chat/completions"
		var err error
		if body, err = json.Marshal(a.Request); err != nil {
			return nil, err
		}
	}
	url := "http://" + c.runner.Target.Hosts[host] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport must not repeat a non-idempotent call on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.runner.Target.Workspaces[a.Workspace].Key)
	request.Header.Set(engine.HeaderRequestID, fmt.Sprintf("load-%d", a.Number))
	if a.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	}
	if a.IdempotencyKey != "" {
		request.Header.Set(headerIdempotencyKey, a.IdempotencyKey)
	}
	return request, nil
}

func (c *call) read(response *http.Response, outcome *Outcome) {
	outcome.Status = response.StatusCode
	outcome.RequestID = response.Header.Get(engine.HeaderRequestID)
	if version, err := strconv.ParseUint(response.Header.Get(headerConfigVersion), 10, 64); err == nil {
		outcome.ConfigVersion = version
	}
	if response.StatusCode != http.StatusOK {
		readRefusal(response, outcome)
		return
	}
	var err error
	switch a := c.arrival; {
	case a.Request == nil:
		err = checkCall(response.Body, a)
	case a.Request.Stream:
		var first time.Time
		first, outcome.Tokens, err = checkStream(response.Body, outcome.RequestID, a.Request)
		if !first.IsZero() {
			outcome.FirstTextAt = first.Sub(c.start)
		}
	default:
		outcome.Tokens, err = checkWhole(response.Body, outcome.RequestID, a.Request)
	}
	outcome.Kind = kindOf(err)
	if err != nil {
		outcome.Detail = err.Error()
	}
}

func kindOf(err error) string {
	var cut *TruncatedStreamError
	switch {
	case err == nil:
		return KindAnswered
	case isWrong(err):
		return KindWrong
	case errors.As(err, &cut) && cut.ErrorEvent != "":
		return KindTruncated
	default:
		return KindConnectionLost
	}
}

// readRefusal requires a problem document; any other failure status is a wrong
// answer.
func readRefusal(response *http.Response, outcome *Outcome) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblem))
	if err != nil {
		outcome.Kind, outcome.Detail = KindConnectionLost, err.Error()
		return
	}
	var document problem.Document
	isProblem := strings.HasPrefix(response.Header.Get("Content-Type"), problem.ContentType)
	if err := json.Unmarshal(data, &document); err != nil || !isProblem || document.Type == "" {
		outcome.Kind = KindWrong
		outcome.Detail = fmt.Sprintf("status %d without a problem document", response.StatusCode)
		return
	}
	outcome.Kind = KindRefused
	outcome.ProblemType = document.Type[strings.LastIndex(document.Type, ":")+1:]
	outcome.NotRun = document.NotRun
	outcome.Detail = document.Detail
}
