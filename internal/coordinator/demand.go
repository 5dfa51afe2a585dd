package coordinator

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the measured rates.
	demandMemory = 4 * time.Second
	// hostSilence is when a host's last word about its requests ends.
	hostSilence = 1500 * time.Millisecond
)

type modelRate struct {
	rate     float64
	at       time.Duration
	lastSeen time.Duration
}

func (r *modelRate) add(now time.Duration, arrivals int) {
	r.rate *= math.Exp(-(now - r.at).Seconds() / demandMemory.Seconds())
	r.rate += float64(arrivals) / demandMemory.Seconds()
	r.at = now
	if arrivals > 0 {
		r.lastSeen = now
	}
}

type hostWord struct {
	at          time.Duration
	demand      []ModelDemand
	running     []RunningCount
	unreachable []string
}

// demandBook collects what the hosts report. It is used by one goroutine at a time.
type demandBook struct {
	rates map[ModelKey]*modelRate
	hosts map[string]hostWord
}

func newDemandBook() *demandBook {
	return &demandBook{rates: map[ModelKey]*modelRate{}, hosts: map[string]hostWord{}}
}

func (b *demandBook) note(now time.Duration, request *ExchangeRequest) {
	b.hosts[request.Host] = hostWord{at: now, demand: request.Demand, running: request.Running, unreachable: request.Unreachable}
	for _, d := range request.Demand {
		rate := b.rates[d.ModelKey]
		if rate == nil {
			rate = &modelRate{at: now}
			b.rates[d.ModelKey] = rate
		}
		rate.add(now, d.Arrivals)
		if d.Waiting > 0 {
			rate.lastSeen = now
		}
	}
}

// forget drops the words of silent hosts.
func (b *demandBook) forget(now time.Duration) {
	for host, word := range b.hosts {
		if now-word.at > hostSilence {
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
		rate.add(now, 0)
		d := get(key.Model)
		d.Rate, d.LastSeen = rate.rate, rate.lastSeen
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
		for _, r := range word.running {
			if r.Model != "" {
				get(r.Model).Running += r.Count // model names are unique over services
			}
		}
	}
	return demand
}

// adapterRunning returns the requests of an adapter at an upstream.
func (b *demandBook) adapterRunning(upstream, name string) int {
	count := 0
	for _, word := range b.hosts {
		for _, r := range word.running {
			if r.Upstream == upstream && r.Adapter != "" && r.Model+"/"+r.Adapter == name {
				count += r.Count
			}
		}
	}
	return count
}

// running returns the requests at each upstream, by model, but for one host's.
func (b *demandBook) running(except string) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for host, word := range b.hosts {
		if host == except {
			continue
		}
		for _, r := range word.running {
			if counts[r.Upstream] == nil {
				counts[r.Upstream] = map[string]int{}
			}
			counts[r.Upstream][r.Model] += r.Count
		}
	}
	return counts
}
