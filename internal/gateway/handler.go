package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/presence"
)

const (
	// minGrantWait is how long any request may wait for its workspace's allowance. A request
	// whose objective is farther away waits for up to grantWaitRatio of it, at most
	// maxGrantWait, so that it can still be answered within its objective.
	minGrantWait   = 350 * time.Millisecond
	maxGrantWait   = 1500 * time.Millisecond
	grantWaitRatio = 0.25
	// grantPollInterval is the interval between attempts to take the cost without a
	// new exchange: the local share grows with time.
	grantPollInterval = 60 * time.Millisecond
	// keyConfirmationMargin is how long before the end of the key confirmation period
	// this host stops accepting keys.
	keyConfirmationMargin = 250 * time.Millisecond
	// shortRetryAfter is the Retry-After for short-lived conditions.
	shortRetryAfter = 400 * time.Millisecond
	// limitedRetryAfter is the Retry-After for a host over its retry budget.
	limitedRetryAfter = time.Second
	// staleRetryAfter is the Retry-After of a host with a missing or outdated
	// configuration; other hosts may have a newer one.
	staleRetryAfter = 300 * time.Millisecond
)

// refusal is an error response of the gateway itself. Status 429 and 503 promise that
// the request has not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0: no Retry-After header
	// wait reports, in answer to a query, that the request would wait for about retryAfter.
	wait bool
}

// inbound is a caller's request while this host handles it.
type inbound struct {
	gateway     *Gateway
	writer      http.ResponseWriter
	httpRequest *http.Request
	startedAt   time.Time
	request     *call.Request
	snapshot    configSnapshot // of the version by which the request was matched
	config      *catalog.Config
	route       *catalog.Route
	service     *catalog.Service
	workspace   *catalog.Workspace // nil if no key is required
	cost        float64
	charged     bool
	body        []byte
	bodyRead    bool // completely
	keys        quarantineKeys
	trial       *requestTrial // of the request's keys; nil: none
	deadline    time.Time     // the earlier of the caller's deadline and the route's timeout
	record      accessRecord
	departure   departure
	query       *routeQuery // nil: a request. Steps of a query decide the same and have no effect
}

// ServeHTTP handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	in := &inbound{gateway: g, writer: w, httpRequest: r, startedAt: time.Now(), record: accessRecord{status: statusCallerGone}}
	stopObserving := in.departure.observe(r.Context(), in.startedAt)
	defer func() {
		stopObserving()
		g.finishTrial(in.trial)
		in.finish()
	}()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	steps := []func() *refusal{in.parse, in.match, in.authenticate, in.readBody, in.checkCaller, in.checkQuarantine, in.charge}
	for _, step := range steps {
		if refused := step(); refused != nil {
			in.refuse(refused)
			return
		}
	}
	if refused := in.dispatch(); refused != nil {
		in.refund()
		in.refuse(refused)
	}
}

func (in *inbound) parse() *refusal {
	request, err := in.gateway.protocol.Parse(in.httpRequest)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	in.request = request
	return nil
}

// match finds the route and the service in the current version of the configuration.
func (in *inbound) match() *refusal {
	in.snapshot = in.gateway.config.snapshot()
	in.config = in.snapshot.config
	if in.config == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration", retryAfter: staleRetryAfter}
	}
	in.route = in.config.Match(in.httpRequest.Host, in.httpRequest.URL.EscapedPath())
	if in.route == nil {
		return in.unlessConfigStale(&refusal{status: http.StatusNotFound, reason: "no route"})
	}
	in.service = in.config.Services[in.route.Target(in.gateway.random.Float64())]
	if in.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no service", retryAfter: staleRetryAfter}
	}
	in.deadline = in.startedAt.Add(min(in.request.Deadline, in.route.Timeout))
	return nil
}

// unlessConfigStale replaces a refusal by 503 if the configuration is outdated, since
// a newer version may accept the request.
func (in *inbound) unlessConfigStale(r *refusal) *refusal {
	if in.snapshot.age() < maxConfigAge {
		return r
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: r.reason + "; configuration not confirmed", retryAfter: staleRetryAfter}
}

// authenticate finds the workspace that owns the key.
func (in *inbound) authenticate() *refusal {
	if !in.config.KeysRequired() || in.route.Open {
		return nil
	}
	in.workspace = in.config.KeyOwner(in.request.Key)
	if in.workspace == nil {
		return in.unlessConfigStale(&refusal{status: http.StatusUnauthorized, reason: "unknown key"})
	}
	if !in.gateway.keysConfirmed(in.snapshot) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "keys not confirmed", retryAfter: staleRetryAfter}
	}
	return nil
}

// checkKey checks the key of a request again, right before it is sent: the key may have been
// withdrawn while the request waited.
func (in *inbound) checkKey() *refusal {
	if in.workspace == nil {
		return nil
	}
	current := in.gateway.config.snapshot()
	if !current.config.KeysRequired() {
		return nil
	}
	owner := current.config.KeyOwner(in.request.Key)
	if owner == nil || owner.Name != in.workspace.Name {
		return &refusal{status: http.StatusUnauthorized, reason: "key was withdrawn"}
	}
	if !in.gateway.keysConfirmed(current) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "keys not confirmed", retryAfter: staleRetryAfter}
	}
	return nil
}

func (in *inbound) readBody() *refusal {
	limit := in.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(in.writer)
	_ = controller.SetReadDeadline(in.deadline) // the writers of net/http support it
	stopWaiting := in.gateway.shutdown.onEnd(func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := intake.ReadBody(in.httpRequest, limit)
	switch ended := !stopWaiting(); {
	case ended && err == nil:
		in.bodyRead = true
		return shuttingDown()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body not received in time"}
	case err != nil && presence.Left(in.httpRequest.Context()):
		return &refusal{status: http.StatusBadRequest, reason: reasonCallerGone}
	case err != nil:
		return bodyRefusal(err)
	}
	in.bodyRead = true
	_ = controller.SetReadDeadline(time.Time{}) // as above
	in.body = body
	return nil
}

// checkCaller refuses a request that was read after its caller had left.
func (in *inbound) checkCaller() *refusal {
	in.departure.enter(stageUnread)
	if presence.Left(in.httpRequest.Context()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonCallerGone}
	}
	return nil
}

// checkQuarantine refuses a request that crashes upstreams, or that shares with others what
// crashes upstreams.
func (in *inbound) checkQuarantine() *refusal {
	exchanger := in.gateway.exchanger
	if in.keys.request == 0 {
		in.keys = newQuarantineKeys(in)
	}
	if in.query != nil {
		return in.previewQuarantine()
	}
	var a quarantineDecision
	a, in.trial = exchanger.quarantine.admit(in.keys, exchanger.Reached(), in.trial)
	if len(a.wanted) > 0 {
		a = in.waitForTrial(a)
	}
	return in.refuseQuarantined(a)
}

// refuseQuarantined returns the refusal by a decision, if it is one.
func (in *inbound) refuseQuarantined(a quarantineDecision) *refusal {
	if a.remaining <= 0 {
		return nil
	}
	reason := "request crashes upstreams"
	if i := slices.Index(in.keys.segments, a.key); i >= 0 {
		reason = "prompt segment " + in.request.PromptSegments[i].ID + " crashes upstreams"
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: a.remaining}
}

// charge takes the request's cost from the workspace's allowance, waiting for a grant
// if necessary.
func (in *inbound) charge() *refusal {
	if in.workspace == nil || !in.workspace.Limited() {
		return nil
	}
	in.departure.enter(stageAllowance)
	in.cost = requestCost(in.workspace, in.request)
	balances := in.gateway.exchanger.balances
	began, patience := time.Now(), min(in.grantWait(), time.Until(in.deadline))
	if in.query != nil {
		return in.previewCharge(patience)
	}
	until := began.Add(patience)
	for {
		now := clock.SinceBoot()
		outcome := balances.Take(now, in.workspace, in.cost, patience)
		if outcome == allowance.Taken {
			in.charged = true
			in.record.grantWait = time.Since(began)
			return nil
		}
		left := time.Until(until)
		if outcome == allowance.Exhausted || left <= 0 {
			in.logAllowance(balances.Status(now, in.workspace), outcome)
			retryAfter := balances.Refuse(now, in.workspace, in.cost)
			return allowanceUsedUp(retryAfter)
		}
		changed, done := balances.AddPending(now, in.workspace, in.cost)
		in.gateway.exchanger.grantSoon(in.workspace)
		timer := time.NewTimer(min(left, grantPollInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-in.httpRequest.Context().Done():
		}
		timer.Stop()
		done()
		if in.httpRequest.Context().Err() != nil {
			return &refusal{status: http.StatusServiceUnavailable, reason: reasonCallerGone}
		}
	}
}

func allowanceUsedUp(retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, reason: "allowance used up", retryAfter: retryAfter}
}

// grantWait returns how long the request may wait for its workspace's allowance.
func (in *inbound) grantWait() time.Duration {
	return max(minGrantWait, min(maxGrantWait, time.Duration(grantWaitRatio*float64(in.route.Objective))))
}

// logAllowance logs why a request exceeds its workspace's allowance.
func (in *inbound) logAllowance(status allowance.Status, outcome allowance.Outcome) {
	in.gateway.log.Info("Allowance used up.", "request", in.request.ID, "workspace", in.workspace.Name, "cost", in.cost,
		"balance", int(status.Balance), "pending", int(status.Pending), "share", int(status.Share), "per_s", in.workspace.RatePerS,
		"age_ms", status.Age.Milliseconds(), "on_share", status.OnLocalShare, "exhausted", outcome == allowance.Exhausted)
}

func requestCost(w *catalog.Workspace, request *call.Request) float64 {
	if w.CountTokens && request.HasTokenCount {
		return float64(request.PromptTokens + request.OutputTokens)
	}
	return w.PlainCost
}

func (in *inbound) refund() {
	if in.charged {
		in.gateway.exchanger.balances.Refund(clock.SinceBoot(), in.workspace, in.cost)
		in.charged = false
	}
}

// refuse responds with an error of the gateway itself.
func (in *inbound) refuse(r *refusal) {
	in.record.status, in.record.reason = r.status, r.reason
	// The time-out of a body ends the context, too, though the caller may be there.
	if in.httpRequest.Context().Err() != nil && r.status != http.StatusRequestTimeout {
		in.record.status = statusCallerGone
		panic(http.ErrAbortHandler) // a return without a response would be an empty 200
	}
	if !in.bodyRead && in.httpRequest.ContentLength != 0 {
		intake.Abandon(in.writer, in.httpRequest)
	}
	header := in.writer.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := r.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	in.writer.WriteHeader(r.status)
	_, _ = io.WriteString(in.writer, body) // the caller may have disconnected
}
