package coordinator

import (
	"maps"
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the measured rates.
	demandMemory = 4 * time.Second
	// hostSilence is when a host's last word about its requests ends.
	hostSilence = 1500 * time.Millisecond
	// unnoticedParts is the part of a batch, one in so many, below which the
	// requests of other hosts are not told: they slow the others hardly down.
	unnoticedParts = 8
	// adapterMemory is how long an adapter that was asked for counts as in demand.
	adapterMemory = 20 * time.Second
)

type modelRate struct {
	rate        float64 // requests per second
	adapterRate float64 // of rate, requests that name an adapter
	at          time.Duration
	lastSeen    time.Duration
}

func (r *modelRate) add(now time.Duration, arrivals, adapterArrivals int) {
	kept := math.Exp(-(now - r.at).Seconds() / demandMemory.Seconds())
	r.rate = r.rate*kept + float64(arrivals)/demandMemory.Seconds()
	r.adapterRate = r.adapterRate*kept + float64(adapterArrivals)/demandMemory.Seconds()
	r.at = now
	if arrivals > 0 {
		r.lastSeen = now
	}
}

type hostWord struct {
	at          time.Duration
	steward     PoolHost
	large       bool
	demand      []ModelDemand
	running     []RunningCount
	unreachable []string
}

// demandBook collects what the hosts report. It is used by one goroutine at a time.
type demandBook struct {
	rates map[ModelKey]*modelRate
	hosts map[string]hostWord
	// atUpstream and atModel count the requests of all hosts.
	atUpstream map[string]int
	atModel    map[upstreamModel]int
	atAdapter  map[upstreamModel]int // the model as MODEL/ADAPTER
	// adapterAsked says when an adapter was last asked for or ran, by MODEL/ADAPTER:
	// model names are unique over services.
	adapterAsked map[string]time.Duration
}

type upstreamModel struct{ upstream, model string }

func newDemandBook() *demandBook {
	return &demandBook{
		rates: map[ModelKey]*modelRate{}, hosts: map[string]hostWord{},
		atUpstream: map[string]int{}, atModel: map[upstreamModel]int{}, atAdapter: map[upstreamModel]int{},
		adapterAsked: map[string]time.Duration{},
	}
}

// count adds a host's requests, or takes them away with sign -1.
func (b *demandBook) count(running []RunningCount, sign int) {
	for _, r := range running {
		addTo(b.atUpstream, r.Upstream, sign*r.Count)
		addTo(b.atModel, upstreamModel{r.Upstream, r.Model}, sign*r.Count)
		if r.Adapter != "" {
			addTo(b.atAdapter, upstreamModel{r.Upstream, r.Model + "/" + r.Adapter}, sign*r.Count)
		}
	}
}

func addTo[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

func (b *demandBook) note(now time.Duration, request *ExchangeRequest) {
	b.count(b.hosts[request.Host].running, -1)
	b.count(request.Running, 1)
	b.hosts[request.Host] = hostWord{
		at: now, demand: request.Demand, running: request.Running, unreachable: request.Unreachable,
		steward: PoolHost{Address: request.Address, DataCenter: request.DataCenter}, large: request.Large,
	}
	for _, r := range request.Running {
		if r.Adapter != "" {
			b.adapterAsked[r.Model+"/"+r.Adapter] = now
		}
	}
	for _, d := range request.Demand {
		rate := b.rates[d.ModelKey]
		if rate == nil {
			rate = &modelRate{at: now}
			b.rates[d.ModelKey] = rate
		}
		rate.add(now, d.Arrivals, d.AdapterArrivals)
		if d.Waiting > 0 {
			rate.lastSeen = now
		}
	}
}

// forget drops the words of silent hosts and adapters that nobody asks for.
func (b *demandBook) forget(now time.Duration) {
	maps.DeleteFunc(b.adapterAsked, func(_ string, at time.Duration) bool { return now-at > adapterMemory })
	for host, word := range b.hosts {
		if now-word.at > hostSilence {
			b.count(word.running, -1)
			delete(b.hosts, host)
		}
	}
}

// unreachable returns the number of hosts that do not reach each upstream.
func (b *demandBook) unreachable() map[string]int {
	counts := map[string]int{}
	for _, word := range b.hosts {
		for _, id := range word.unreachable {
			counts[id]++
		}
	}
	return counts
}

// of returns the demand for the models of a service.
func (b *demandBook) of(now time.Duration, service string) map[string]*Demand {
	demand := map[string]*Demand{}
	get := func(model string) *Demand {
		if demand[model] == nil {
			demand[model] = &Demand{}
		}
		return demand[model]
	}
	for key, rate := range b.rates {
		if key.Service != service {
			continue
		}
		rate.add(now, 0, 0)
		d := get(key.Model)
		d.Rate, d.AdapterRate, d.LastSeen = rate.rate, rate.adapterRate, rate.lastSeen
	}
	for _, word := range b.hosts {
		for _, m := range word.demand {
			if m.Service != service {
				continue
			}
			d := get(m.Model)
			d.Waiting += m.Waiting
			d.Oldest = max(d.Oldest, time.Duration(m.OldestMS)*time.Millisecond+now-word.at)
		}
	}
	for at, count := range b.atModel {
		if at.model != "" {
			get(at.model).Running += count // model names are unique over services
		}
	}
	return demand
}

// adapterRunning returns the requests of an adapter at an upstream.
func (b *demandBook) adapterRunning(upstream, name string) int {
	return b.atAdapter[upstreamModel{upstream, name}]
}

// running returns the requests at each upstream, by model.
func (b *demandBook) running() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for at, count := range b.atModel {
		if counts[at.upstream] == nil {
			counts[at.upstream] = map[string]int{}
		}
		counts[at.upstream][at.model] = count
	}
	return counts
}

// noticed returns the requests at each upstream where they take a part of the
// batch that is worth a detour. Slots returns the batch.
func (b *demandBook) noticed(slots func(upstream string) int) []RunningCount {
	var counts []RunningCount
	for upstream, count := range b.atUpstream {
		if count > slots(upstream)/unnoticedParts {
			counts = append(counts, RunningCount{Upstream: upstream, Count: count})
		}
	}
	return counts
}

// others returns what is left of counts without a host's own requests.
func (b *demandBook) others(host string, counts []RunningCount) []RunningCount {
	own := map[string]int{}
	for _, r := range b.hosts[host].running {
		own[r.Upstream] += r.Count
	}
	var rest []RunningCount
	for _, r := range counts {
		if count := r.Count - own[r.Upstream]; count > 0 {
			rest = append(rest, RunningCount{Upstream: r.Upstream, Count: count})
		}
	}
	return rest
}
