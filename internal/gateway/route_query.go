package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	// waitUnknown is the estimate of a wait that nobody has estimated.
	waitUnknown = time.Duration(-1)
	// maxRouteQueryBytes bounds the body of a query: a key, a path and some hundred segments.
	maxRouteQueryBytes = 64 << 10
	// maxQueryTokens bounds the token counts of a query, so that sums don't overflow.
	maxQueryTokens = 1 << 30
	// queriesPerS bounds the queries that a host answers: each costs about as much as the
	// choice for a request.
	queriesPerS = 4
	// queryReadTimeout bounds the time in which the body of a query arrives.
	queryReadTimeout = 2 * time.Second
	// maxQueryDeadline leaves the deadline of a query to the timeout of its route.
	maxQueryDeadline = 24 * time.Hour
)

// Outcomes of a query.
const (
	RouteSent    = "send"
	RouteWaits   = "wait"
	RouteRefused = "refuse"
)

// RouteQuery describes a request that is not sent.
type RouteQuery struct {
	Method       string         `json:"method"`
	Host         string         `json:"host"`
	Path         string         `json:"path"` // with the query string, if any
	Key          string         `json:"key,omitempty"`
	Model        string         `json:"model,omitempty"`
	Adapter      string         `json:"adapter,omitempty"`
	PromptTokens int            `json:"prompt_tokens,omitempty"`
	OutputTokens int            `json:"output_tokens,omitempty"`
	Segments     []RouteSegment `json:"segments,omitempty"`
	// DataCenter takes the place of that of the host; "": the host's.
	DataCenter string `json:"data_center,omitempty"`
}

// RouteSegment is a segment of the prompt.
type RouteSegment struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// RouteAnswer says what this host would do with a request now.
type RouteAnswer struct {
	Host       string `json:"host"`
	DataCenter string `json:"data_center"`
	Outcome    string `json:"outcome"`
	// Upstream is the one to which the request would be sent.
	Upstream string `json:"upstream,omitempty"`
	// Status and RetryAfterMS are those of the refusal; Reason is that of a refusal or a wait.
	Status       int    `json:"status,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// WaitMS is the estimated time of the wait; -1: not known.
	WaitMS             int64           `json:"wait_ms,omitempty"`
	ConfigVersion      int64           `json:"config_version"`
	ConfigAgeMS        int64           `json:"config_age_ms"`
	KeysConfirmed      bool            `json:"keys_confirmed"`
	CoordinatorReached bool            `json:"coordinator_reached"`
	Route              string          `json:"route,omitempty"`
	Service            string          `json:"service,omitempty"`
	Workspace          *RouteWorkspace `json:"workspace,omitempty"`
	// Evacuated are the evacuated data centres.
	Evacuated  []string         `json:"evacuated"`
	Candidates []RouteCandidate `json:"candidates"`
	Excluded   []RouteExclusion `json:"excluded"`
}

// RouteWorkspace is the workspace of a request and its allowance at this host, in units.
type RouteWorkspace struct {
	Name      string  `json:"name"`
	Limited   bool    `json:"limited"`
	Cost      float64 `json:"cost"`
	Balance   float64 `json:"balance"`
	Pending   float64 `json:"pending"`
	SharePerS float64 `json:"share_per_s"`
	OnShare   bool    `json:"on_share"`
	MaxWaitMS int64   `json:"max_wait_ms"`
}

// RouteCandidate is a candidate with its expected time.
type RouteCandidate struct {
	Upstream   string `json:"upstream"`
	DataCenter string `json:"data_center"`
	Chosen     bool   `json:"chosen"`
	// Drawn reports that the choice is made among two of these, drawn at random.
	Drawn       bool    `json:"drawn"`
	ExpectedMS  float64 `json:"expected_ms"`
	BatchMS     float64 `json:"batch_ms"`
	WaitMS      float64 `json:"wait_ms"`
	AnswerMS    float64 `json:"answer_ms"`
	ExtraMS     float64 `json:"extra_ms"`
	PenaltyMS   float64 `json:"penalty_ms"`
	Load        int     `json:"load"`
	Own         int     `json:"own"`
	Slots       int     `json:"slots"`
	Pace        float64 `json:"pace"`
	FailureRate float64 `json:"failure_rate"`
	InBackoff   bool    `json:"in_backoff"`
	ColdForMS   int64   `json:"cold_for_ms"`
	HasAdapter  bool    `json:"has_adapter"`
	// CachedTokens are the prompt's tokens that it most likely caches (affinity).
	CachedTokens int       `json:"cached_tokens"`
	Penalties    Penalties `json:"penalties"`
}

// RouteExclusion is an upstream of the service that is not a candidate.
type RouteExclusion struct {
	Upstream   string `json:"upstream"`
	DataCenter string `json:"data_center"`
	Reason     string `json:"reason"`
}

// InvalidRouteQueryError reports a query that describes no request.
type InvalidRouteQueryError struct{ Field, Reason string }

// Error implements error.
func (e *InvalidRouteQueryError) Error() string { return e.Field + ": " + e.Reason }

// routeQuery is what the steps of a request find out while they run as a query. The methods
// that steps of requests call do nothing on nil.
type routeQuery struct {
	dataCenter string
	workspace  *RouteWorkspace
	candidates []RouteCandidate
	excluded   map[string]RouteExclusion
}

// wouldWait returns what a step of a query returns in place of waiting.
func wouldWait(reason string, estimate time.Duration) *refusal {
	return &refusal{reason: reason, retryAfter: estimate, wait: true}
}

func (q *routeQuery) dataCenterOr(own string) string {
	if q == nil || q.dataCenter == "" {
		return own
	}
	return q.dataCenter
}

func (q *routeQuery) exclude(entry *catalog.Upstream, reason string) {
	if q != nil {
		q.excluded[entry.ID] = RouteExclusion{Upstream: entry.ID, DataCenter: entry.DataCenter, Reason: reason}
	}
}

// excludeUnserving excludes an upstream that does not serve the request, or is closed by an
// evacuation. Upstreams of other services are not listed.
func (q *routeQuery) excludeUnserving(entry *catalog.Upstream, service string, serves bool) {
	switch {
	case entry.Service != service:
	case serves:
		q.exclude(entry, "evacuated")
	case entry.Draining:
		q.exclude(entry, "draining")
	default:
		q.exclude(entry, "model not loaded")
	}
}

// excludeEvacuated excludes the candidates in evacuated data centres.
func (q *routeQuery) excludeEvacuated(leaving evacuationsNow, candidates []Candidate) {
	for i := range candidates {
		if leaving.affects(candidates[i].Upstream) {
			q.exclude(candidates[i].Upstream, "evacuated")
		}
	}
}

// excludeOthers excludes the candidates that are not among those left.
func (q *routeQuery) excludeOthers(candidates, left []Candidate, reason string) {
	if q == nil {
		return
	}
	for i := range candidates {
		entry := candidates[i].Upstream
		if !slices.ContainsFunc(left, func(c Candidate) bool { return c.Upstream.ID == entry.ID }) {
			q.exclude(entry, reason)
		}
	}
}

// observe records the expected times of candidates.
func (q *routeQuery) observe(s selection, candidates []Candidate) {
	if q == nil || len(candidates) == 0 {
		return
	}
	options := make([]routing.Candidate, len(candidates))
	request := s.describe(candidates, options)
	owner, cached := s.affinityOwner(candidates)
	q.candidates = nil
	for _, e := range routing.ExpectedParams.Explain(request, options) {
		c, o := &candidates[e.Index], &options[e.Index]
		answer := RouteCandidate{
			Upstream: c.Upstream.ID, DataCenter: c.Upstream.DataCenter, Drawn: e.Drawn,
			ExpectedMS: 1000 * e.Seconds, BatchMS: 1000 * e.Parts.Batch, WaitMS: 1000 * e.Parts.Wait,
			AnswerMS: 1000 * e.Parts.Answer, ExtraMS: 1000 * e.Parts.Extra, PenaltyMS: 1000 * e.Parts.Penalty,
			Load: o.InFlight + o.OtherLoad, Own: o.InFlight, Slots: o.Slots, Pace: o.Pace, FailureRate: c.FailureRate,
			InBackoff: c.InBackoff, ColdForMS: c.ColdFor.Milliseconds(), HasAdapter: c.HasAdapter, Penalties: s.penalties(c),
		}
		answer.Penalties.SlowStart = o.Penalty - answer.Penalties.sum()
		if e.Index == owner {
			answer.CachedTokens = cached
		}
		q.candidates = append(q.candidates, answer)
	}
	slices.SortFunc(q.candidates, func(a, b RouteCandidate) int {
		return cmp.Or(cmp.Compare(a.ExpectedMS, b.ExpectedMS), cmp.Compare(a.Upstream, b.Upstream))
	})
}

// previewQuarantine runs checkQuarantine without effect.
func (in *inbound) previewQuarantine() *refusal {
	if in.keys.request == 0 {
		in.keys = newQuarantineKeys(in)
	}
	exchanger := in.gateway.exchanger
	a, waits := exchanger.quarantine.preview(in.keys, exchanger.Reached())
	if waits {
		return wouldWait("the coordinator is asked for the trial of a quarantined request", trialWait)
	}
	return in.refuseQuarantined(a)
}

// previewCharge runs charge without effect.
func (in *inbound) previewCharge(patience time.Duration) *refusal {
	outcome, retryAfter, status := in.gateway.exchanger.balances.Preview(clock.SinceBoot(), in.workspace, in.cost, patience)
	in.query.workspace = &RouteWorkspace{
		Name: in.workspace.Name, Limited: true, Cost: in.cost, Balance: status.Balance, Pending: status.Pending,
		SharePerS: status.Share, OnShare: status.OnLocalShare, MaxWaitMS: max(0, patience).Milliseconds(),
	}
	switch {
	case outcome == allowance.Taken:
		return nil
	case outcome == allowance.Exhausted || patience <= 0:
		return allowanceUsedUp(retryAfter)
	}
	return wouldWait("the allowance does not cover the cost before the next grant", waitUnknown)
}

// newQueryRequest returns the request that a query describes. It returns an
// InvalidRouteQueryError.
func newQueryRequest(ctx context.Context, q *RouteQuery) (*http.Request, *call.Request, error) {
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") {
		return nil, nil, &InvalidRouteQueryError{Field: "path", Reason: "is not an absolute path"}
	}
	if q.Host == "" {
		return nil, nil, &InvalidRouteQueryError{Field: "host", Reason: "is missing"}
	}
	request := &call.Request{
		Key: q.Key, Deadline: maxQueryDeadline, Model: q.Model, Adapter: q.Adapter,
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, HasTokenCount: q.PromptTokens > 0 || q.OutputTokens > 0,
	}
	counts := []int{q.PromptTokens, q.OutputTokens}
	for _, segment := range q.Segments {
		counts = append(counts, segment.Tokens)
		request.PromptSegments = append(request.PromptSegments, call.PromptSegment{ID: segment.ID, Tokens: segment.Tokens})
	}
	if slices.ContainsFunc(counts, func(count int) bool { return count < 0 || count > maxQueryTokens }) {
		return nil, nil, &InvalidRouteQueryError{Field: "tokens", Reason: "are not a possible count"}
	}
	method := cmp.Or(q.Method, http.MethodPost)
	httpRequest := (&http.Request{Method: method, Host: q.Host, URL: target, RequestURI: q.Path, Header: http.Header{}}).WithContext(ctx)
	return httpRequest, request, nil
}

// ExplainRoute returns what this host would do with a request now, by the steps that requests
// take, which have no effect here. It returns an InvalidRouteQueryError.
func (g *Gateway) ExplainRoute(ctx context.Context, q RouteQuery) (RouteAnswer, error) {
	httpRequest, request, err := newQueryRequest(ctx, &q)
	if err != nil {
		return RouteAnswer{}, err
	}
	in := &inbound{
		gateway: g, httpRequest: httpRequest, startedAt: time.Now(), request: request,
		query: &routeQuery{dataCenter: q.DataCenter, excluded: map[string]RouteExclusion{}},
	}
	candidate, decided := in.runQuery()
	return in.answer(candidate, decided), nil
}

// runQuery runs the steps of a request. It returns the upstream that it would be sent to, or
// the first refusal or wait. Steps after a wait are run too, since they list the candidates, but
// don't change the outcome: what they decide on may have changed by then.
func (in *inbound) runQuery() (candidate *Candidate, decided *refusal) {
	var d *dispatcher
	choose := func() (refused *refusal) {
		ctx, cancel := context.WithDeadline(in.httpRequest.Context(), in.deadline)
		defer cancel()
		d = in.newDispatcher(ctx)
		candidate, refused = d.selectUpstream()
		return refused
	}
	steps := []func() *refusal{in.match, in.authenticate, in.checkQuarantine, in.charge, choose, func() *refusal {
		if candidate == nil {
			return nil // a wait was returned before
		}
		return d.checkSend()
	}}
	for _, step := range steps {
		refused := step()
		if refused == nil {
			continue
		}
		if decided == nil {
			decided = refused
		}
		if !refused.wait {
			return nil, decided
		}
	}
	return candidate, decided
}

func (in *inbound) answer(candidate *Candidate, decided *refusal) RouteAnswer {
	g, q := in.gateway, in.query
	a := RouteAnswer{
		Host: g.settings.Host, DataCenter: q.dataCenterOr(g.settings.DataCenter), ConfigAgeMS: in.snapshot.age().Milliseconds(),
		KeysConfirmed: g.keysConfirmed(in.snapshot), CoordinatorReached: g.exchanger.Reached(),
		Workspace: q.workspace, Evacuated: []string{}, Candidates: q.candidates, Excluded: []RouteExclusion{},
	}
	if in.config != nil {
		a.ConfigVersion = in.config.Version
	}
	if in.route != nil {
		a.Route = in.route.Name
	}
	if in.service != nil {
		a.Service = in.service.Name
	}
	if a.Workspace == nil && in.workspace != nil {
		a.Workspace = &RouteWorkspace{Name: in.workspace.Name, Limited: in.workspace.Limited()}
	}
	for dataCenter := range g.registry.evacuations.load() {
		a.Evacuated = append(a.Evacuated, dataCenter)
	}
	slices.Sort(a.Evacuated)
	for _, exclusion := range q.excluded {
		a.Excluded = append(a.Excluded, exclusion)
	}
	slices.SortFunc(a.Excluded, func(x, y RouteExclusion) int { return cmp.Compare(x.Upstream, y.Upstream) })
	if a.Candidates == nil {
		a.Candidates = []RouteCandidate{}
	}
	for i := range a.Candidates {
		a.Candidates[i].Chosen = candidate != nil && a.Candidates[i].Upstream == candidate.Upstream.ID
	}
	if candidate != nil {
		a.Upstream = candidate.Upstream.ID
	}
	switch {
	case decided == nil:
		a.Outcome = RouteSent
	case decided.wait:
		a.Outcome, a.Reason, a.WaitMS = RouteWaits, decided.reason, max(0, decided.retryAfter.Milliseconds())
		if decided.retryAfter == waitUnknown {
			a.WaitMS = -1
		}
	default:
		a.Outcome, a.Status, a.Reason, a.RetryAfterMS = RouteRefused, decided.status, decided.reason, decided.retryAfter.Milliseconds()
	}
	return a
}

// queryLimiter bounds the rate of queries. It is safe for concurrent use.
type queryLimiter struct {
	mu   sync.Mutex
	next time.Duration // on the boot clock, when a query is answered without the burst
}

// allow reports whether a query may be answered now; a second's worth may come at once.
func (l *queryLimiter) allow(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next > now+time.Second-time.Second/queriesPerS {
		return false
	}
	l.next = max(l.next, now) + time.Second/queriesPerS
	return true
}

// serveRouteQuery answers a query. The key in it is neither logged nor returned: errors name
// fields only.
func (g *Gateway) serveRouteQuery(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !g.routeQueries.allow(clock.SinceBoot()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many queries", http.StatusTooManyRequests)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(queryReadTimeout)) // the writers of net/http support it
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRouteQueryBytes))
	decoder.DisallowUnknownFields()
	var query RouteQuery
	if err := decoder.Decode(&query); err != nil {
		http.Error(w, "the body is no query of at most 64 KiB", http.StatusBadRequest)
		return
	}
	answer, err := g.ExplainRoute(r.Context(), query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.log.V(1).Info("Route explained.", "route", answer.Route, "outcome", answer.Outcome, "status", answer.Status, "upstream", answer.Upstream)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.log.V(1).Info("Failed to write the answer to a query.", "error", err.Error())
	}
}
