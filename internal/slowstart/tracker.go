// Package slowstart limits the concurrent requests to upstreams that have just started or
// recovered, until their answers show that they keep pace. It is pure: times, on the boot clock,
// and measured ratios are arguments.
package slowstart

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowRatio is the ratio to the usual time from which an answer is slow. Engines usually
	// take 0.6 to 1.7 times as long as the mean.
	slowRatio = 2.0
	// slowPace is the pace over all hosts from which a window does not open by time. It is lower
	// than slowRatio: paces are averages that include two samples' worth of "as usual".
	slowPace = 1.8
	// holdTime is how long a window stays as it is after it was closed: the answers that arrive
	// meanwhile belong to requests that were sent before. A report of a pace reaches the other
	// hosts in at most two exchanges of 400 ms.
	holdTime = 800 * time.Millisecond
	// minRoundTrip and maxRoundTrip bound the time in which a window doubles without answers to
	// this host. With less than minRoundTrip, the hosts open before paces reach them.
	minRoundTrip = 500 * time.Millisecond
	maxRoundTrip = 2 * time.Second
	// MaxAge is the age at which a window ends in any case: a slow upstream is then known by its
	// pace.
	MaxAge = 30 * time.Second
	// refusalPause is the time without room after a refusal; it doubles with each further one up to
	// maxRefusalPause. Refusals come at once, so that a limit of concurrent requests does not limit
	// their number.
	refusalPause    = 100 * time.Millisecond
	maxRefusalPause = 1600 * time.Millisecond
	// turnTime is how long the hosts with a request of a small window stay the same.
	turnTime = time.Second
	// maxStep is the longest time by which a window opens at once. A host that was frozen has
	// learned nothing meanwhile.
	maxStep = time.Second
	// minSize keeps one request at an upstream, to measure it.
	minSize = 1.0
	// defaultSlots is the number of concurrent requests of an upstream that states none.
	defaultSlots = 8
	// unknownHosts is the number of hosts of the largest fleet, for a host that no coordinator
	// has told the number.
	unknownHosts = 195
)

// Incarnation is one start of an upstream.
type Incarnation struct {
	ID        string
	StartedMS int64 // Unix ms
}

// Reason is why an upstream has a window.
type Reason string

// Reasons of a window.
const (
	Started   Reason = "started"
	Recovered Reason = "recovered"
)

// window limits the requests to an incarnation.
type window struct {
	startedMS int64
	reason    Reason
	service   string
	began     time.Duration
	heldUntil time.Duration // until when neither time nor a further slow answer changes size
	size      float64       // concurrent requests over all hosts
	full      float64       // size from which there is no window
	phase     float64       // place of this host in the order of hosts, in [0, 1)
	slowed    bool          // an answer was slow
	closes    int
	answered  bool // an answer to this host was in time since the window was closed last
	// pausedUntil is until when a refusal leaves no room, refusals how many came in succession.
	pausedUntil time.Duration
	refusals    int
}

// Tracker keeps the windows of the upstreams that a host knows. It is not safe for concurrent
// use.
type Tracker struct {
	rule    Rule
	phase   func(id string) float64
	hosts   int
	windows map[string]*window // by ID
	sweptAt time.Duration
	begun   map[Reason]int
	closes  int
}

// NewTracker returns a Tracker without windows. phase returns a number in [0, 1) for an upstream
// that differs among hosts and is spread evenly over them.
func NewTracker(rule Rule, phase func(id string) float64) *Tracker {
	return &Tracker{rule: rule, phase: phase, hosts: unknownHosts, windows: map[string]*window{}, begun: map[Reason]int{}}
}

// SetHosts sets the number of hosts that share the windows; at most 0: unknown.
func (t *Tracker) SetHosts(hosts int) {
	if hosts <= 0 {
		hosts = unknownHosts
	}
	t.hosts = hosts
}

// Len returns the number of windows.
func (t *Tracker) Len() int { return len(t.windows) }

// Begun returns how many windows began for a reason.
func (t *Tracker) Begun(reason Reason) int { return t.begun[reason] }

// Closes returns how often windows were closed.
func (t *Tracker) Closes() int { return t.closes }

// Begin begins the window of an incarnation, or begins it anew. It does not open by time before
// opensAt. slots is the number of requests that the upstream runs at a time; 0: unknown. Begin
// reports whether the incarnation had no window.
func (t *Tracker) Begin(now time.Duration, in Incarnation, service string, reason Reason, opensAt time.Duration, slots int) bool {
	known := t.windows[in.ID]
	if known != nil && known.startedMS > in.StartedMS {
		return false
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	w := &window{
		startedMS: in.StartedMS, reason: reason, service: service, began: now, heldUntil: opensAt,
		size: min(StartSize, float64(slots)), full: float64(slots), phase: t.phase(in.ID),
	}
	isNew := known == nil || known.startedMS < in.StartedMS
	if isNew {
		t.begun[reason]++
	} else {
		w.slowed, w.closes = true, known.closes+1
		t.closes++
	}
	t.windows[in.ID] = w
	return isNew
}

// Forget drops the window of an upstream that is gone.
func (t *Tracker) Forget(id string) { delete(t.windows, id) }

func (t *Tracker) of(in Incarnation) *window {
	if w := t.windows[in.ID]; w != nil && w.startedMS == in.StartedMS {
		return w
	}
	return nil
}

// open reports that a window has its full size and limits nothing. It is kept until this host has
// an answer in time, to be closed again if there is none: refusals are not shared.
func (w *window) open(now time.Duration) bool { return w.size >= w.full && now >= w.heldUntil }

// own returns this host's part of a window, a whole number: the parts of all hosts add up to
// about its size, whatever their number. Where the size is less than the number of hosts, the
// first ones by their phase have one request each. The phases of all hosts turn every turnTime: the
// first ones may have no traffic, and a size of 1 may be nobody's.
func (t *Tracker) own(now time.Duration, w *window) float64 {
	whole, rest := math.Modf(w.size / float64(t.hosts))
	_, phase := math.Modf(w.phase + math.Phi*float64((now-w.began)/turnTime))
	if rest > phase {
		whole++
	}
	return whole
}

// Window returns how many requests this host may have in progress at an incarnation; false: any
// number.
func (t *Tracker) Window(now time.Duration, in Incarnation) (size float64, limited bool) {
	w := t.of(in)
	if w == nil || now-w.began >= MaxAge || w.open(now) {
		return 0, false
	}
	if now < w.pausedUntil {
		return 0, true
	}
	return t.own(now, w), true
}

// Answer records that a request, or a part of its answer, took ratio times as long as usual.
// running is the number of requests of this host at the upstream, with this one: a window that is
// less than half used does not open by answers.
func (t *Tracker) Answer(now time.Duration, in Incarnation, ratio float64, running int) {
	w := t.of(in)
	if w == nil {
		return
	}
	if ratio >= slowRatio {
		t.close(now, w, ratio)
		return
	}
	w.answered, w.refusals, w.pausedUntil = true, 0, 0
	own := t.own(now, w)
	if now >= w.heldUntil && 2*float64(running) >= own {
		w.size = max(minSize, t.rule.next(w.size, max(1, own), ratio, w.slowed))
	}
}

// Refused records that the upstream refused or failed a request of this host.
func (t *Tracker) Refused(now time.Duration, in Incarnation) {
	if w := t.of(in); w != nil {
		w.pausedUntil = now + min(refusalPause<<w.refusals, maxRefusalPause)
		w.refusals = min(w.refusals+1, 8)
		t.close(now, w, 2*slowRatio)
	}
}

func (t *Tracker) close(now time.Duration, w *window, ratio float64) {
	w.slowed, w.answered = true, false
	if now < w.heldUntil {
		return
	}
	w.size = max(minSize, t.rule.next(min(w.size, w.full), 1, ratio, true))
	w.heldUntil = now + holdTime
	w.closes++
	t.closes++
}

// View is what is known of an upstream besides the windows.
type View struct {
	Pace      float64       // its times relative to the usual ones, over all hosts
	RoundTrip time.Duration // usual duration of an answer; 0: unknown
}

// Ended is a window that ended.
type Ended struct {
	Incarnation
	Reason Reason
	Age    time.Duration
	Size   float64
	Closes int
}

// Sweep opens the windows by the time since the last call, as long as the upstream is not known to
// be slow, and removes those that are too old, or at full size and answered in time. It is to be called several times
// a second. Most hosts have no request at an upstream with a small window, so they would never
// learn of its pace from answers.
func (t *Tracker) Sweep(now time.Duration, view func(in Incarnation, service string) View) []Ended {
	step := min(maxStep, now-t.sweptAt)
	t.sweptAt = now
	var ended []Ended
	for id, w := range t.windows {
		in := Incarnation{id, w.startedMS}
		if step := min(step, now-max(w.began, w.heldUntil)); step > 0 {
			switch v := view(in, w.service); {
			case v.Pace >= slowPace && !w.slowed:
				t.close(now, w, slowRatio) // other hosts had slow answers
			case v.Pace < slowPace:
				trips := step.Seconds() / min(max(v.RoundTrip, minRoundTrip), maxRoundTrip).Seconds()
				if t.rule.doubles && !w.slowed {
					w.size = max(w.size, min(w.full, w.size*math.Exp2(trips)))
				} else {
					w.size = max(w.size, min(w.full, w.size+StartSize*trips))
				}
			}
		}
		if w.open(now) && w.answered || now-w.began >= MaxAge {
			ended = append(ended, Ended{in, w.reason, now - w.began, w.size, w.closes})
			delete(t.windows, id)
		}
	}
	return ended
}

// Dump describes a window in the state dump.
type Dump struct {
	Upstream  string  `json:"upstream"`
	StartedMS int64   `json:"born"` // Unix ms
	Reason    Reason  `json:"reason"`
	AgeMS     int64   `json:"age_ms"`
	Window    float64 `json:"window"`     // concurrent requests over all hosts
	OwnWindow float64 `json:"own_window"` // part of this host
	Closes    int     `json:"closes"`
}

// Dump returns the windows, by ID.
func (t *Tracker) Dump(now time.Duration) []Dump {
	dump := []Dump{}
	for id, w := range t.windows {
		dump = append(dump, Dump{id, w.startedMS, w.reason, (now - w.began).Milliseconds(), math.Round(10*w.size) / 10, t.own(now, w), w.closes})
	}
	slices.SortFunc(dump, func(a, b Dump) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return dump
}
