package coordinator

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateTimeConstant is the time constant of the measured request rates.
	rateTimeConstant = 4 * time.Second
	// steadyTimeConstant is the time constant of the rates by which models are ranked for
	// eviction. Most models are requested less than once in rateTimeConstant, so that their
	// short-term rates are all near zero.
	steadyTimeConstant = time.Minute
	// minObservedPart bounds the correction of steady rates after the start of a term, when
	// one request would count as many.
	minObservedPart = 0.1
	// hostReportTTL is how long a host's last report about its requests is used.
	hostReportTTL = 1500 * time.Millisecond
	// notableLoadDivisor defines notable load: hosts are told about each other's requests
	// at an upstream only if the requests of all hosts there exceed the batch size divided
	// by this number. Fewer requests hardly slow an engine down.
	notableLoadDivisor = 8
	// adapterDemandTTL is how long an adapter counts as in demand after the last request
	// for it.
	adapterDemandTTL = 20 * time.Second
)

type modelRate struct {
	rate        float64 // requests per second
	adapterRate float64 // part of rate that names an adapter
	steady      float64 // requests per second, over steadyTimeConstant
	at          time.Duration
	lastSeen    time.Duration
}

func (r *modelRate) add(now time.Duration, arrivals, adapterArrivals int) {
	decay := math.Exp(-(now - r.at).Seconds() / rateTimeConstant.Seconds())
	r.rate = r.rate*decay + float64(arrivals)/rateTimeConstant.Seconds()
	r.adapterRate = r.adapterRate*decay + float64(adapterArrivals)/rateTimeConstant.Seconds()
	r.steady = r.steady*math.Exp(-(now-r.at).Seconds()/steadyTimeConstant.Seconds()) + float64(arrivals)/steadyTimeConstant.Seconds()
	r.at = now
	if arrivals > 0 {
		r.lastSeen = now
	}
}

type hostReport struct {
	at          time.Duration
	poolHost    PoolHost
	large       bool
	demand      []ModelDemand
	running     []RunningCount
	unreachable []string
	paused      []string
	leaving     []Incarnation
	cold        []ColdUpstream
}

// demandTracker collects the demand that hosts report. It is not safe for concurrent use.
type demandTracker struct {
	started time.Duration // time of the first report; 0: none yet
	rates   map[ModelKey]*modelRate
	hosts   map[string]hostReport
	// atUpstream, atModel and atAdapter count the running requests of all hosts.
	atUpstream map[string]int
	// tokensAt counts the tokens of the running requests of all hosts.
	tokensAt  map[string]int
	atModel   map[upstreamModel]int
	atAdapter map[upstreamModel]int // with the model as MODEL/ADAPTER
	// adapterRequestedAt is the time at which an adapter was last requested or running, by
	// MODEL/ADAPTER. Model names are unique across services.
	adapterRequestedAt map[string]time.Duration
}

type upstreamModel struct{ upstream, model string }

func newDemandTracker() *demandTracker {
	return &demandTracker{
		rates: map[ModelKey]*modelRate{}, hosts: map[string]hostReport{},
		atUpstream: map[string]int{}, tokensAt: map[string]int{}, atModel: map[upstreamModel]int{}, atAdapter: map[upstreamModel]int{},
		adapterRequestedAt: map[string]time.Duration{},
	}
}

// count adds a host's requests, or subtracts them if sign is -1.
func (t *demandTracker) count(running []RunningCount, sign int) {
	for _, r := range running {
		addTo(t.atUpstream, r.Upstream, sign*r.Count)
		addTo(t.tokensAt, r.Upstream, sign*r.Tokens)
		addTo(t.atModel, upstreamModel{r.Upstream, r.Model}, sign*r.Count)
		if r.Adapter != "" {
			addTo(t.atAdapter, upstreamModel{r.Upstream, r.Model + "/" + r.Adapter}, sign*r.Count)
		}
	}
}

func addTo[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

func (t *demandTracker) record(now time.Duration, request *ExchangeRequest) {
	if t.started == 0 {
		t.started = now
	}
	t.count(t.hosts[request.Host].running, -1)
	t.count(request.Running, 1)
	t.hosts[request.Host] = hostReport{
		at: now, demand: request.Demand, running: request.Running, unreachable: request.Unreachable,
		paused: request.Paused, leaving: request.Leaving, cold: request.Cold,
		poolHost: PoolHost{Address: request.Address, DataCenter: request.DataCenter}, large: request.Large,
	}
	for _, r := range request.Running {
		if r.Adapter != "" {
			t.adapterRequestedAt[r.Model+"/"+r.Adapter] = now
		}
	}
	for _, d := range request.Demand {
		rate := t.rates[d.ModelKey]
		if rate == nil {
			rate = &modelRate{at: now}
			t.rates[d.ModelKey] = rate
		}
		rate.add(now, d.Arrivals, d.AdapterArrivals)
		if d.Waiting > 0 {
			rate.lastSeen = now
		}
	}
}

// expire drops the reports of silent hosts and adapters that are no longer requested.
func (t *demandTracker) expire(now time.Duration) {
	maps.DeleteFunc(t.adapterRequestedAt, func(_ string, at time.Duration) bool { return now-at > adapterDemandTTL })
	for host, report := range t.hosts {
		if now-report.at > hostReportTTL {
			t.count(report.running, -1)
			delete(t.hosts, host)
		}
	}
}

// unreachable returns, by upstream, the number of hosts that cannot reach it.
func (t *demandTracker) unreachable() map[string]int {
	return t.hostCounts(func(report hostReport) []string { return report.unreachable })
}

// paused returns, by upstream, the number of hosts that may send it nothing now.
func (t *demandTracker) paused() map[string]int {
	return t.hostCounts(func(report hostReport) []string { return report.paused })
}

// hostCounts returns, by upstream, the number of hosts whose report lists it.
func (t *demandTracker) hostCounts(listed func(hostReport) []string) map[string]int {
	counts := map[string]int{}
	for _, report := range t.hosts {
		for _, id := range listed(report) {
			counts[id]++
		}
	}
	return counts
}

// leaving returns the upstreams that told any host that they leave.
func (t *demandTracker) leaving() []Incarnation {
	var list []Incarnation
	for _, report := range t.hosts {
		for _, incarnation := range report.leaving {
			if !slices.Contains(list, incarnation) {
				list = append(list, incarnation)
			}
		}
	}
	return list
}

// forService returns the demand for the models of a service, by model.
func (t *demandTracker) forService(now time.Duration, service string) map[string]*Demand {
	demand := map[string]*Demand{}
	get := func(model string) *Demand {
		if demand[model] == nil {
			demand[model] = &Demand{}
		}
		return demand[model]
	}
	// The moving average begins at zero; it has seen this part of its weight.
	observed := max(minObservedPart, 1-math.Exp(-(now-t.started).Seconds()/steadyTimeConstant.Seconds()))
	for key, rate := range t.rates {
		if key.Service != service {
			continue
		}
		rate.add(now, 0, 0)
		d := get(key.Model)
		d.Rate, d.AdapterRate, d.LastSeen = rate.rate, rate.adapterRate, rate.lastSeen
		d.SteadyRate = rate.steady / observed
	}
	for _, report := range t.hosts {
		for _, m := range report.demand {
			if m.Service != service {
				continue
			}
			d := get(m.Model)
			d.Waiting += m.Waiting
			d.Oldest = max(d.Oldest, time.Duration(m.OldestMS)*time.Millisecond+now-report.at)
		}
	}
	for at, count := range t.atModel {
		if at.model != "" {
			get(at.model).Running += count // model names are unique across services
		}
	}
	return demand
}

// adapterRunning returns the number of running requests of an adapter at an upstream.
func (t *demandTracker) adapterRunning(upstream, name string) int {
	return t.atAdapter[upstreamModel{upstream, name}]
}

// running returns the running requests by upstream and model.
func (t *demandTracker) running() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for at, count := range t.atModel {
		if counts[at.upstream] == nil {
			counts[at.upstream] = map[string]int{}
		}
		counts[at.upstream][at.model] = count
	}
	return counts
}

// notableLoads returns the upstreams whose running requests take a notable part of the
// batch or of the KV memory, so that hosts should prefer other upstreams. capacity returns the
// batch size of an upstream and its KV memory in tokens, 0 if it has none.
func (t *demandTracker) notableLoads(capacity func(upstream string) (slots, memoryTokens int)) []RunningCount {
	var counts []RunningCount
	for upstream, count := range t.atUpstream {
		slots, memory := capacity(upstream)
		tokens := t.tokensAt[upstream]
		if count > slots/notableLoadDivisor || memory > 0 && tokens > memory/notableLoadDivisor {
			counts = append(counts, RunningCount{Upstream: upstream, Count: count, Tokens: tokens})
		}
	}
	return counts
}

// excludeHost returns counts without the given host's own requests.
func (t *demandTracker) excludeHost(host string, counts []RunningCount) []RunningCount {
	own := map[string]RunningCount{}
	for _, r := range t.hosts[host].running {
		sum := own[r.Upstream]
		own[r.Upstream] = RunningCount{Count: sum.Count + r.Count, Tokens: sum.Tokens + r.Tokens}
	}
	var remaining []RunningCount
	for _, r := range counts {
		if count := r.Count - own[r.Upstream].Count; count > 0 {
			tokens := max(0, r.Tokens-own[r.Upstream].Tokens)
			remaining = append(remaining, RunningCount{Upstream: r.Upstream, Count: count, Tokens: tokens})
		}
	}
	return remaining
}
