package gateway

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	// lastUseRatio is the part of the evacuation bound for which the last replicas in an
	// evacuated data centre stay in use after this host learned of the evacuation. It is
	// below the permitted half, because a relay or a follower may take up to 2 s.
	lastUseRatio = 0.4
	// evacuationMargin is how long before the end of the bound the last use ends. It covers
	// the time from the check before a send until the request arrives.
	evacuationMargin = 750 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After of a service without upstreams outside the
	// evacuated data centres. It is not known when an evacuation ends.
	evacuatedRetryAfter = 2 * time.Second
	// restoredGrace is how long an evacuation stays in force whose row is missing because the
	// table service came back from an older copy: the operator writes it again.
	restoredGrace = 10 * time.Second
)

// DecodeEvacuation returns the evacuation that a row requests, or ends if the row is
// deleted. ok is false for other rows.
type DecodeEvacuation func(row table.Row) (evacuation catalog.Evacuation, ok bool)

// evacuation is the request to evacuate a data centre, as this host knows it. All times are
// on the boot clock.
type evacuation struct {
	learnedAt time.Duration
	// notBefore is a time at which the request did not exist; 0: not known.
	notBefore time.Duration
	// lastUseUntil is when the last replicas there are used no more.
	lastUseUntil time.Duration
	// keptUntil is when an evacuation ends whose row was lost by the table service; 0: it was not.
	keptUntil time.Duration
}

// evacuations are the evacuations in force, by data centre. It is safe for concurrent use.
type evacuations struct {
	bound   time.Duration // from the request until nothing more may be sent
	changes sync.Mutex    // held while current is replaced
	current atomic.Pointer[map[string]evacuation]
}

func (e *evacuations) load() map[string]evacuation {
	if current := e.current.Load(); current != nil {
		return *current
	}
	return nil
}

// requested reports whether a data centre is to be evacuated.
func (e *evacuations) requested(dataCenter string) bool {
	_, ok := e.load()[dataCenter]
	return ok
}

// begin returns the evacuation that this host learns of now. notBefore is a time at which it
// was not requested yet; 0: not known. Without it the bound may have passed.
func (e *evacuations) begin(now, notBefore time.Duration) evacuation {
	begun := evacuation{learnedAt: now, notBefore: notBefore}
	if notBefore > 0 {
		lastUse := time.Duration(float64(e.bound) * lastUseRatio)
		begun.lastUseUntil = min(now+lastUse, notBefore+e.bound-evacuationMargin)
	}
	return begun
}

// apply applies a change of the operator's table and returns the data centres whose evacuation
// began or ended.
func (e *evacuations) apply(now time.Duration, decode DecodeEvacuation, change table.Change, notBefore time.Duration) (begun, ended []string) {
	e.changes.Lock()
	defer e.changes.Unlock()
	known := e.load()
	next := map[string]evacuation{}
	if !change.Full {
		maps.Copy(next, known)
	}
	for _, row := range change.Rows {
		decoded, ok := decode(row)
		if !ok {
			continue
		}
		before, inForce := known[decoded.DataCenter]
		before.keptUntil = 0
		switch {
		case row.Deleted:
			delete(next, decoded.DataCenter)
		case inForce:
			next[decoded.DataCenter] = before
		default:
			next[decoded.DataCenter] = e.begin(now, notBefore)
		}
	}
	if change.Full {
		keepLost(now, known, next, change.NewGeneration())
	}
	return e.replace(known, next)
}

// keepLost adds to next, which a whole table lists, the known evacuations that are kept although
// it lacks them.
func keepLost(now time.Duration, known, next map[string]evacuation, newGeneration bool) {
	for dataCenter, state := range known {
		if _, listed := next[dataCenter]; listed {
			continue
		}
		if newGeneration {
			state.keptUntil = now + restoredGrace
		}
		if now < state.keptUntil {
			next[dataCenter] = state
		}
	}
}

// expire ends the evacuations that were kept although the table lacks them.
func (e *evacuations) expire(now time.Duration) (ended []string) {
	e.changes.Lock()
	defer e.changes.Unlock()
	known := e.load()
	next := maps.Clone(known)
	maps.DeleteFunc(next, func(_ string, state evacuation) bool { return state.keptUntil != 0 && now >= state.keptUntil })
	_, ended = e.replace(known, next)
	return ended
}

// replace puts other evacuations in force and returns the data centres that differ. The caller
// holds e.changes.
func (e *evacuations) replace(known, next map[string]evacuation) (begun, ended []string) {
	for dataCenter := range next {
		if _, inForce := known[dataCenter]; !inForce {
			begun = append(begun, dataCenter)
		}
	}
	for dataCenter := range known {
		if _, inForce := next[dataCenter]; !inForce {
			ended = append(ended, dataCenter)
		}
	}
	if !maps.Equal(known, next) {
		e.current.Store(&next)
	}
	return begun, ended
}

// evacuationsNow are the evacuations in force at one moment.
type evacuationsNow struct {
	byDataCenter map[string]evacuation // nil: none
	now          time.Duration
}

// at returns the evacuations in force. It reads the clock only if there are any.
func (e *evacuations) at(now func() time.Duration) evacuationsNow {
	current := e.load()
	if len(current) == 0 {
		return evacuationsNow{}
	}
	return evacuationsNow{current, now()}
}

// affects reports whether an upstream is in an evacuated data centre.
func (e evacuationsNow) affects(upstream *catalog.Upstream) bool {
	_, ok := e.byDataCenter[upstream.DataCenter]
	return ok
}

// closed reports whether nothing may be sent to an upstream any more, even if it is the last
// that can serve a request.
func (e evacuationsNow) closed(upstream *catalog.Upstream) bool {
	evacuation, ok := e.byDataCenter[upstream.DataCenter]
	return ok && e.now >= evacuation.lastUseUntil
}

// remove returns the candidates outside the evacuated data centres.
func (e evacuationsNow) remove(candidates []Candidate) []Candidate {
	if e.byDataCenter == nil {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c Candidate) bool { return e.affects(c.Upstream) })
}

// applyEvacuations applies a change of the operator's table. notBefore is when the content
// without it was confirmed, on the boot clock; 0: never.
func (r *Registry) applyEvacuations(decode DecodeEvacuation, change table.Change, notBefore time.Duration) {
	now := r.now()
	begun, ended := r.evacuations.apply(now, decode, change, notBefore)
	for _, dataCenter := range begun {
		state := r.evacuations.load()[dataCenter]
		r.log.Info("Evacuation in force.", "data_center", dataCenter, "not_before_ms", ageMS(now, state.notBefore),
			"last_use_ms", max(0, state.lastUseUntil-now).Milliseconds())
	}
	if len(begun)+len(ended) > 0 {
		r.endEvacuations(ended)
	}
}

// expireEvacuations ends the evacuations whose rows the table service has lost.
func (r *Registry) expireEvacuations() {
	if ended := r.evacuations.expire(r.now()); len(ended) > 0 {
		r.endEvacuations(ended)
	}
}

func (r *Registry) endEvacuations(ended []string) {
	for _, dataCenter := range ended {
		r.log.Info("Evacuation ended.", "data_center", dataCenter)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dataCenter := range ended {
		r.expectCold(dataCenter)
	}
	r.notifyChanged()
}

// beginEvacuated reports whether a request may be sent to an upstream as far as evacuations
// go. In its last use an upstream gets only requests that no other can serve.
func (r *Registry) beginEvacuated(upstream *catalog.Upstream) bool {
	leaving := r.evacuations.at(r.now)
	switch {
	case !leaving.affects(upstream):
		return true
	case leaving.closed(upstream):
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, viewed := r.engines[upstream.ID]; viewed || len(upstream.Holdings.Models) > 0 {
		return true // chosen as the last one with the model, or before this host learned
	}
	return !r.hasUpstreamElsewhere(upstream.Service, leaving)
}

// hasUpstreamElsewhere reports whether a service has upstreams outside the evacuated data
// centres. The caller holds r.mu.
func (r *Registry) hasUpstreamElsewhere(service string, leaving evacuationsNow) bool {
	for _, entry := range r.entries {
		if entry.Service == service && !entry.Draining && !leaving.affects(entry) {
			return true
		}
	}
	return false
}

// evacuatedWhole reports whether all upstreams of a service are in evacuated data centres
// and no longer in use.
func (r *Registry) evacuatedWhole(service string) bool {
	leaving := r.evacuations.at(r.now)
	if leaving.byDataCenter == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	evacuated := false
	for _, entry := range r.entries {
		if entry.Service != service || entry.Draining {
			continue
		}
		if !leaving.closed(entry) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// refuseEvacuated returns a refusal if all upstreams of the service are in evacuated data
// centres: no wait leads to service.
func (d *dispatcher) refuseEvacuated() *refusal {
	if !d.gateway.registry.evacuatedWhole(d.service.Name) {
		return nil
	}
	if d.query == nil {
		d.gateway.metrics.evacuationRefusals.Inc()
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "all upstreams are in evacuated data centers", retryAfter: evacuatedRetryAfter}
}

// EvacuationDump describes an evacuation in the state dump.
type EvacuationDump struct {
	DataCenter string `json:"data_center"`
	// KnownForMS is the time since this host learned of the request.
	KnownForMS int64 `json:"known_for_ms"`
	// AtMostMS is the greatest possible time since the request; -1: not known.
	AtMostMS int64 `json:"requested_at_most_ms"`
	// LastUseMS is how long the last replicas there stay in use.
	LastUseMS int64 `json:"last_use_ms"`
	// Running are this host's requests that upstreams there have not finished, by upstream.
	Running map[string]int `json:"running"`
}

func (r *Registry) evacuationDump() []EvacuationDump {
	now := r.now()
	dump := []EvacuationDump{}
	for dataCenter, state := range r.evacuations.load() {
		dump = append(dump, EvacuationDump{
			DataCenter: dataCenter, KnownForMS: (now - state.learnedAt).Milliseconds(), AtMostMS: ageMS(now, state.notBefore),
			LastUseMS: max(0, state.lastUseUntil-now).Milliseconds(), Running: r.runningIn(dataCenter),
		})
	}
	slices.SortFunc(dump, func(a, b EvacuationDump) int { return cmp.Compare(a.DataCenter, b.DataCenter) })
	return dump
}

// ageMS returns the time since a moment in milliseconds; -1: the moment is 0, not known.
func ageMS(now, at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (now - at).Milliseconds()
}

// runningIn returns this host's running requests in a data centre, by upstream.
func (r *Registry) runningIn(dataCenter string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := map[string]int{}
	for key, load := range r.running {
		if entry := r.entries[key.upstream]; entry != nil && entry.DataCenter == dataCenter {
			running[key.upstream] += load.count
		}
	}
	return running
}

// evacuatedRunning returns the number of this host's running requests in evacuated data
// centres.
func (r *Registry) evacuatedRunning() float64 {
	total := 0
	for dataCenter := range r.evacuations.load() {
		for _, count := range r.runningIn(dataCenter) {
			total += count
		}
	}
	return float64(total)
}
