package gateway

import (
	"math"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/slowstart"
)

const (
	// settledTime is the time since the first entry of the upstreams' table from which a new
	// entry is an upstream that has just started. Entries are written every 1.2 s and may be
	// missing from the first read.
	settledTime = 5 * time.Second
	// failedRun is the number of failed answers in succession after which an upstream has to
	// recover.
	failedRun = 3
	// minSampleWeight is the weight from which a sample of the pace counts for a window. That of a
	// time to the first event is lower: it depends on what is cached, and one slow sample closes
	// a window.
	minSampleWeight = 0.5
)

// newSlowStart returns the windows of a host.
func newSlowStart(host string) *slowstart.Tracker {
	return slowstart.NewTracker(slowstart.Doubling, func(id string) float64 {
		return float64(rendezvous.Score("slowstart/"+id, host)) / math.MaxUint64
	})
}

func slowIncarnation(entry *catalog.Upstream) slowstart.Incarnation {
	return slowstart.Incarnation{ID: entry.ID, StartedMS: entry.StartedMS}
}

// beginSlowStart begins the window of an upstream. The caller holds r.mu.
func (r *Registry) beginSlowStart(entry *catalog.Upstream, reason slowstart.Reason, opensIn time.Duration) {
	slots := entry.Slots
	if service := r.cold.service(entry.Service); slots <= 0 && service != nil && service.Engine != nil {
		slots = service.Engine.BatchSlots
	}
	now := r.now()
	if r.slow.Begin(now, slowIncarnation(entry), entry.Service, reason, now+opensIn, slots) {
		r.log.Info("Slow start begins.", "upstream", entry.ID, "born", entry.StartedMS, "reason", string(reason), "slots", slots)
	}
}

// noteStarted begins the window of a new incarnation if it has just started. One whose entry
// shows an earlier start was only out of this host's sight, for instance while it was frozen. The
// caller holds r.mu.
func (r *Registry) noteStarted(entry *catalog.Upstream, isNew bool) {
	now := r.now()
	if r.settledAt == 0 {
		r.settledAt = now + settledTime
	}
	if !isNew || now < r.settledAt {
		return
	}
	if entry.StartedMS > 0 && time.Since(time.UnixMilli(entry.StartedMS)) > slowstart.MaxAge+startClockMargin {
		return
	}
	r.beginSlowStart(entry, slowstart.Started, 0)
}

// noteFailure begins the window of an upstream whose connection was lost, or that failed a run of
// requests. The caller holds r.mu.
func (r *Registry) noteFailure(id string, h *health, outcome Outcome) {
	entry := r.entries[id]
	switch outcome {
	case OutcomeSuccess:
		h.failures = 0
		return
	case OutcomeFailed:
		h.failures++
		switch {
		case entry == nil:
		case h.failures%failedRun == 0:
			r.beginSlowStart(entry, slowstart.Recovered, 0)
		default:
			r.slow.Refused(r.now(), slowIncarnation(entry))
		}
	case OutcomeUnreachable, OutcomeConnectionLost, OutcomeMalformed:
		if entry != nil {
			r.beginSlowStart(entry, slowstart.Recovered, h.backoff)
		}
	}
}

// paceSample passes a sample of a pace on to the window of the upstream. The caller holds r.mu.
func (r *Registry) paceSample(now time.Duration, of pace.Incarnation, ratio, weight float64) {
	if r.slow.Len() == 0 || weight < minSampleWeight {
		return
	}
	running := 0
	if load := r.loads[of.ID]; load != nil {
		running = load.own.count
	}
	r.slow.Answer(now, slowstart.Incarnation(of), ratio, running)
}

// RecordRefused records that an upstream stated that it did not run a request.
func (r *Registry) RecordRefused(from *catalog.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow.Refused(r.now(), slowIncarnation(from))
}

// sweepSlowStart opens the windows by time. The caller holds r.mu.
func (r *Registry) sweepSlowStart(now time.Duration) {
	for _, e := range r.slow.Sweep(now, func(in slowstart.Incarnation, service string) slowstart.View {
		return slowstart.View{Pace: r.paces.Factor(now, pace.Incarnation(in)), RoundTrip: r.paces.Times(service).Duration}
	}) {
		r.log.Info("Slow start ends.", "upstream", e.ID, "born", e.StartedMS, "reason", string(e.Reason), "age_ms", e.Age.Milliseconds(),
			"window", e.Size, "closes", e.Closes)
	}
}

// limitSlowStart sets what the window of a candidate leaves to this host. The caller holds r.mu.
func (r *Registry) limitSlowStart(now time.Duration, c *Candidate) {
	if r.slow.Len() == 0 {
		return
	}
	if own, limited := r.slow.Window(now, slowIncarnation(c.Upstream)); limited {
		c.Limited, c.Room = true, float32(own-float64(c.Own))
	}
}

// slowStartDump returns the windows.
func (r *Registry) slowStartDump() []slowstart.Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slow.Dump(r.now())
}

// slowStartCount returns a count of the windows.
func (r *Registry) slowStartCount(count func(*slowstart.Tracker) int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(count(r.slow))
}

// shapeBySlowStart adds penalties to the candidates whose window is full. It excludes none: of
// candidates that are all limited, the one with the largest room is preferred; otherwise one
// without room weighs as much as one whose slots are all taken, and so gets the request before it
// would wait elsewhere.
func (s selection) shapeBySlowStart(candidates []Candidate, options []routing.Candidate) {
	largest, limited, free := math.Inf(-1), false, false
	for i := range candidates {
		c := &candidates[i]
		switch {
		case options[i].Leaving:
		case c.Limited:
			limited = true
			if !c.InBackoff {
				largest = max(largest, float64(c.Room))
			}
		case !c.InBackoff:
			free = true
		}
	}
	if !limited {
		return
	}
	for i := range candidates {
		c, slots, room := &candidates[i], float64(max(1, options[i].Slots)), float64(candidates[i].Room)
		switch {
		case !c.Limited:
		case free && room < 1:
			options[i].Penalty += slots + 1 - room
		case !free && room < largest && largest > math.Inf(-1):
			options[i].Penalty += slots * (largest - room)
		}
	}
}
