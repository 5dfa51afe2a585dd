package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// grantWait is how long a request waits for its workspace's allowance.
	grantWait = 350 * time.Millisecond
	// grantLook is how often it looks again without news of the coordinator:
	// the host's share grows with time.
	grantLook = 60 * time.Millisecond
	// confirmMargin is kept from the bound of the confirmation of keys.
	confirmMargin = 250 * time.Millisecond
	// shortRetry is the Retry-After where the reason passes soon.
	shortRetry = 400 * time.Millisecond
	// limitedRetry is the Retry-After for a workspace over its allowance.
	limitedRetry = time.Second
	// staleRetry is the Retry-After where this host lacks what others have.
	staleRetry = 300 * time.Millisecond
)

// refusal is an answer of the system's own. A refusal with a status of 429 or
// 503 promises that the request has not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0: none
}

// inbound is one caller's request on its way through this host.
type inbound struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	http      *http.Request
	begun     time.Time
	request   *call.Request
	config    *catalog.Config
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace // nil without a key
	cost      float64
	charged   bool
	body      []byte
	deadline  time.Time // of the caller and of the route
	record    record
}

// ServeHTTP handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	e := &inbound{gateway: g, writer: w, http: r, begun: time.Now(), record: record{status: statusCallerGone}}
	defer e.finish()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	steps := []func() *refusal{e.parse, e.match, e.authenticate, e.readBody, e.checkCrashes, e.charge}
	for _, step := range steps {
		if refused := step(); refused != nil {
			e.refuse(refused)
			return
		}
	}
	if refused := e.dispatch(); refused != nil {
		e.refund()
		e.refuse(refused)
	}
}

func (e *inbound) parse() *refusal {
	request, err := e.gateway.dialect.Parse(e.http)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	e.request = request
	return nil
}

// match finds the route in the configuration in force.
func (e *inbound) match() *refusal {
	e.config = e.gateway.config.current.Load()
	if e.config == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration", retryAfter: staleRetry}
	}
	e.route = e.config.Match(e.http.Host, e.http.URL.EscapedPath())
	if e.route == nil {
		return e.unlessStale(&refusal{status: http.StatusNotFound, reason: "no route"})
	}
	e.service = e.config.Services[e.route.Target(rand.Float64())]
	if e.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no service", retryAfter: staleRetry}
	}
	e.deadline = e.begun.Add(min(e.request.Deadline, e.route.Timeout))
	return nil
}

// unlessStale replaces a verdict of the configuration by "not run" where a
// newer configuration may say otherwise.
func (e *inbound) unlessStale(verdict *refusal) *refusal {
	if e.gateway.config.age() < staleConfig {
		return verdict
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: verdict.reason + "; configuration not confirmed", retryAfter: staleRetry}
}

// authenticate finds the workspace of the key.
func (e *inbound) authenticate() *refusal {
	if !e.config.KeysRequired() || e.route.Open {
		return nil
	}
	e.workspace = e.config.KeyOwner(e.request.Key)
	if e.workspace == nil {
		return e.unlessStale(&refusal{status: http.StatusUnauthorized, reason: "unknown key"})
	}
	if !e.gateway.keysConfirmed() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "keys not confirmed", retryAfter: staleRetry}
	}
	return nil
}

func (e *inbound) readBody() *refusal {
	limit := e.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body not read: " + err.Error()}
	}
	e.body = body
	return nil
}

// checkCrashes refuses a request that has crashed upstreams again and again.
func (e *inbound) checkCrashes() *refusal {
	if !e.gateway.exchanger.crashes.quarantined(e.begun, e.fingerprint()) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "request crashes upstreams", retryAfter: quarantineRetry}
}

// charge takes the request's cost from the workspace's allowance.
func (e *inbound) charge() *refusal {
	if e.workspace == nil || !e.workspace.Limited() {
		return nil
	}
	e.cost = costOfRequest(e.workspace, e.request)
	bank := e.gateway.exchanger.bank
	until := time.Now().Add(min(grantWait, time.Until(e.deadline)))
	for {
		now := clock.SinceBoot()
		outcome := bank.Take(now, e.workspace, e.cost)
		if outcome == allowance.Taken {
			e.charged = true
			return nil
		}
		left := time.Until(until)
		if outcome == allowance.Exhausted || left <= 0 {
			e.logAllowance(bank.Status(now, e.workspace), outcome)
			return &refusal{status: http.StatusTooManyRequests, reason: "allowance used up", retryAfter: limitedRetry}
		}
		changed, done := bank.AddPending(now, e.workspace, e.cost)
		e.gateway.exchanger.hurry()
		timer := time.NewTimer(min(left, grantLook))
		select {
		case <-changed:
		case <-timer.C:
		case <-e.http.Context().Done():
		}
		timer.Stop()
		done()
		if e.http.Context().Err() != nil {
			return &refusal{status: http.StatusServiceUnavailable, reason: reasonCallerGone}
		}
	}
}

// logAllowance logs what decided that a request is over its workspace's allowance.
func (e *inbound) logAllowance(status allowance.Status, outcome allowance.Outcome) {
	e.gateway.log.Info("Allowance used up.", "request", e.request.ID, "workspace", e.workspace.Name, "cost", e.cost,
		"balance", int(status.Balance), "pending", int(status.Pending), "share", int(status.Share), "per_s", e.workspace.RatePerS,
		"age_ms", status.Age.Milliseconds(), "on_share", status.OnLocalShare, "exhausted", outcome == allowance.Exhausted)
}

func costOfRequest(w *catalog.Workspace, request *call.Request) float64 {
	if w.CountTokens && request.HasTokenCount {
		return float64(request.PromptTokens + request.OutputTokens)
	}
	return w.PlainCost
}

func (e *inbound) refund() {
	if e.charged {
		e.gateway.exchanger.bank.Refund(clock.SinceBoot(), e.workspace, e.cost)
		e.charged = false
	}
}

// refuse answers with a failure of the system's own.
func (e *inbound) refuse(r *refusal) {
	e.record.status, e.record.reason = r.status, r.reason
	if e.http.Context().Err() != nil {
		e.record.status = statusCallerGone
		return
	}
	header := e.writer.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := r.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(r.status)
	_, _ = io.WriteString(e.writer, body) // the caller may have left
}
