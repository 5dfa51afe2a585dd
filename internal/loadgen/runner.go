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
	// deadlineGrace is how long after its deadline a request may finish without
	// being counted as late.
	deadlineGrace = 500 * time.Millisecond
	// clientTimeoutMargin is added to the deadline for the client's own timeout.
	clientTimeoutMargin = 3 * time.Second
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 512
	maxProblemBytes     = 1 << 20
	progressInterval    = time.Second
)

// Outcome kinds. The values are written to reports.
const (
	KindAnswered       = "answered"
	KindRefused        = "refused"    // refused with a problem document
	KindTruncated      = "cut"        // stream ended early with an error event
	KindWrong          = "wrong"      // response incomplete or of another request
	KindNoResponse     = "no_answer"  // no complete response before the client's timeout or cancellation, or the request could not be built
	KindConnectionLost = "broken_off" // connection failed, or the stream ended early without an error event
)

// Outcome is the result of sending an arrival. Times are relative to the start
// of the load.
type Outcome struct {
	Arrival       *Arrival
	Kind          string
	RequestID     string
	ConfigVersion uint64
	Status        int
	ProblemType   string // last segment of the problem type URN
	NotRun        bool
	Host          int // index of the last host tried
	Tokens        int
	SentAt        time.Duration
	FirstTextAt   time.Duration // first text of a stream; otherwise equal to DoneAt
	DoneAt        time.Duration
	Detail        string
}

// Late reports whether the outcome came after the deadline plus deadlineGrace.
func (o *Outcome) Late() bool {
	return o.Arrival.Deadline > 0 && o.DoneAt-o.Arrival.At > o.Arrival.Deadline+deadlineGrace
}

// MetDeadline reports whether a complete response arrived by the deadline.
func (o *Outcome) MetDeadline() bool {
	return o.Kind == KindAnswered && (o.Arrival.Deadline == 0 || o.DoneAt-o.Arrival.At <= o.Arrival.Deadline)
}

// Runner sends the requests of a plan.
type Runner struct {
	Target *Target
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Progress, if not nil, is called about once a second with request counts.
	Progress func(elapsed time.Duration, sent, done, planned int)
}

// Run sends every arrival at its planned time, without waiting for earlier
// ones, and returns one outcome per arrival, in plan order. It stops sending
// when ctx is done; outcomes of arrivals not sent have an empty Kind.
func (r *Runner) Run(ctx context.Context, plan []Arrival) (start time.Time, outcomes []Outcome) {
	client, closeClient := r.newClient()
	defer closeClient()
	outcomes = make([]Outcome, len(plan))
	var sent, done atomic.Int64
	start = time.Now()
	stopProgress := r.startProgress(start, &sent, &done, len(plan))
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

func (r *Runner) newClient() (*http.Client, func()) {
	dial := r.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        0, // no total limit
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

func (r *Runner) startProgress(start time.Time, sent, done *atomic.Int64, planned int) (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	ended := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(progressInterval)
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

// call sends one arrival.
type call struct {
	runner  *Runner
	client  *http.Client
	start   time.Time
	arrival *Arrival
}

// run tries the hosts in turn, as a load balancer does. It moves on to the next
// host only if dialing failed, or if the host refused the request without
// running it because it has no configuration or is shutting down.
func (c *call) run(ctx context.Context) Outcome {
	if c.arrival.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.arrival.Deadline+clientTimeoutMargin)
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
	request, err := c.newRequest(ctx, host)
	if err != nil {
		outcome.Kind, outcome.Detail = KindNoResponse, err.Error()
		return outcome, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return c.connectionFailure(ctx, outcome, err), isDialError(err)
	}
	defer response.Body.Close()
	c.readResponse(response, &outcome)
	if ctx.Err() != nil && outcome.Kind != KindAnswered {
		outcome.Kind = KindNoResponse
	}
	return outcome, outcome.NotRun && isNotReady(outcome.ProblemType)
}

// isNotReady reports whether the problem type means that the host currently
// refuses all requests. A load balancer learns this from the readiness probe.
func isNotReady(kind string) bool {
	return kind == string(problem.ShuttingDown) || kind == string(problem.NoConfiguration)
}

func (c *call) connectionFailure(ctx context.Context, outcome Outcome, err error) Outcome {
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

func (c *call) newRequest(ctx context.Context, host int) (*http.Request, error) {
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
	// Without GetBody the transport cannot retry a non-idempotent call itself.
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

func (c *call) readResponse(response *http.Response, outcome *Outcome) {
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
		outcome.Tokens, err = checkComplete(response.Body, outcome.RequestID, a.Request)
	}
	outcome.Kind = classifyError(err)
	if err != nil {
		outcome.Detail = err.Error()
	}
}

func classifyError(err error) string {
	var truncated *TruncatedStreamError
	switch {
	case err == nil:
		return KindAnswered
	case isWrongResponse(err):
		return KindWrong
	case errors.As(err, &truncated) && truncated.ErrorEvent != "":
		return KindTruncated
	default:
		return KindConnectionLost
	}
}

// readRefusal reads a response with a status other than 200. Without a valid
// problem document the outcome is KindWrong.
func readRefusal(response *http.Response, outcome *Outcome) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
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
