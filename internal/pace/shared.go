package pace

import (
	"math"
	"time"
)

const (
	// publishedStep is the relative change of a factor from which it is published again, at
	// once from urgentStep on, otherwise publishedInterval after the last time. Each change is
	// told to every host: at once, 60 engines of different pace made 7 changes per exchange.
	publishedStep     = 1.15
	urgentStep        = 1.5
	publishedInterval = 2 * time.Second
	// sharedTTL is the time without samples after which a pace is forgotten. It has been
	// published as neutral for at least 20 s then, so that each host that relies on published
	// paces has been told.
	sharedTTL = 6 * fadeTime
)

// sharedPace is what the coordinator knows of an upstream.
type sharedPace struct {
	startedMS int64
	estimate  Estimate
	published float64       // factor; 0: never
	version   int64         // of published
	at        time.Duration // when it was published
}

// Collector collects the samples of all hosts and tells which paces changed. The coordinator
// keeps one for its term. It is not safe for concurrent use.
type Collector struct {
	paces   map[string]*sharedPace
	version int64
}

// NewCollector returns an empty Collector. Its first version is 1, so that a host with
// version 0 is told all.
func NewCollector() *Collector { return &Collector{paces: map[string]*sharedPace{}, version: 1} }

// Record adds a host's samples. Those of an earlier incarnation are ignored.
func (c *Collector) Record(now time.Duration, samples []Sample) {
	for _, s := range samples {
		if math.IsNaN(s.Ratio) || math.IsInf(s.Ratio, 0) || math.IsNaN(s.Weight) {
			continue
		}
		p := c.paces[s.ID]
		if p == nil {
			p = &sharedPace{startedMS: s.StartedMS}
			c.paces[s.ID] = p
		}
		if p.startedMS > s.StartedMS {
			continue
		}
		if p.startedMS < s.StartedMS {
			*p = sharedPace{startedMS: s.StartedMS, published: p.published, version: p.version, at: p.at}
		}
		p.estimate.Observe(now, s.Ratio, s.Weight)
	}
}

// Refresh publishes the factors that changed and forgets upstreams without samples.
func (c *Collector) Refresh(now time.Duration) {
	for id, p := range c.paces {
		if p.estimate.Age(now) > sharedTTL {
			delete(c.paces, id)
			continue
		}
		factor := p.estimate.Factor(now)
		if !Notable(factor) {
			factor = 1
		}
		last := p.published
		if last == 0 {
			last = 1
		}
		change := max(factor/last, last/factor)
		if change >= urgentStep || change >= publishedStep && now-p.at >= publishedInterval {
			c.version++
			p.published, p.version, p.at = factor, c.version, now
		}
	}
}

// Since returns the published paces that changed after a version, and the current version.
// full reports that they are all: the version is not one of this Collector.
func (c *Collector) Since(now time.Duration, known bool, version int64) (paces []Shared, full bool, current int64) {
	full = !known || version <= 0 || version > c.version
	if !full && version == c.version {
		return nil, false, c.version
	}
	for id, p := range c.paces {
		if p.published == 0 || (!full && p.version <= version) || (full && p.published == 1) {
			continue
		}
		shared := Shared{Incarnation{id, p.startedMS}, 1, 0}
		if p.published != 1 {
			shared.Ratio, shared.Weight = ratioOf(p.estimate.mean), math.Round(10*p.estimate.weightAt(now))/10
		}
		paces = append(paces, shared)
	}
	return paces, full, c.version
}

// Pace returns the factor and the confidence of an incarnation over all hosts; 1 and 0 if it
// is unknown.
func (c *Collector) Pace(now time.Duration, in Incarnation) (factor, confidence float64) {
	p := c.paces[in.ID]
	if p == nil || p.startedMS != in.StartedMS {
		return 1, 0
	}
	return p.estimate.Factor(now), p.estimate.Confidence(now)
}
