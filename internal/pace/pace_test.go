package pace

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// host drives a Tracker that sweeps every 200 ms.
type host struct {
	*Tracker
	now time.Duration
}

func newHost() *host { return &host{Tracker: NewTracker(), now: time.Hour} }

func (h *host) wait(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+200*time.Millisecond)
		h.Overdue(h.now)
	}
}

func in(id string) Incarnation { return Incarnation{id, 1} }

// stream runs a stream of 16 pauses at an upstream that takes ratio times as long as usual.
func (h *host) stream(of Incarnation, ratio float64) {
	run := h.Begin(h.now, "llm", of, 0, 1290) // 50 ms of prefill
	h.wait(time.Duration(ratio * float64(60*time.Millisecond)))
	for range 17 {
		h.Events(h.now, run, 1)
		h.now += time.Duration(ratio * float64(40*time.Millisecond))
	}
	h.End(h.now, run, true)
}

func (h *host) learnUsual() {
	for i := range 40 {
		h.stream(in(fmt.Sprint("usual", i%4)), 1)
	}
}

func requireFactor(t *testing.T, what string, got, lowest, highest float64) {
	t.Helper()
	if got < lowest || got > highest || math.IsNaN(got) {
		t.Errorf("%s: factor %.3f, want %.2f to %.2f", what, got, lowest, highest)
	}
}

// Guards against estimates that keep an upstream slow after it was avoided for a while, or
// that survive its restart.
func TestStaleFiguresFade(t *testing.T) {
	h := newHost()
	h.learnUsual()
	for range 3 {
		h.stream(in("slow"), 3)
	}
	requireFactor(t, "usual", h.Factor(h.now, in("usual1")), 0.95, 1.05)
	requireFactor(t, "unknown", h.Factor(h.now, in("other")), 1, 1)
	requireFactor(t, "slow", h.Factor(h.now, in("slow")), 1.7, 3)
	requireFactor(t, "slow, 10 s later", h.Factor(h.now+10*time.Second, in("slow")), 1.3, 2)
	requireFactor(t, "slow, 60 s later", h.Factor(h.now+time.Minute, in("slow")), 1, 1.02)
	restarted := Incarnation{"slow", 2}
	requireFactor(t, "restarted", h.Factor(h.now, restarted), 1, 1)
	h.stream(restarted, 1)
	requireFactor(t, "restarted, usual", h.Factor(h.now, restarted), 0.95, 1.05)
	h.stream(in("slow"), 5)
	requireFactor(t, "after an answer of the earlier start", h.Factor(h.now, restarted), 0.95, 1.05)
	h.wait(2 * time.Minute)
	h.TakeSamples(h.now)
	h.TakeSamples(h.now)
	if len(h.upstreams) != 0 {
		t.Errorf("%d upstreams are kept", len(h.upstreams))
	}
}

// Guards against noticing a stalled engine only when it answers again, and against blaming
// upstreams for what the host or its caller delays.
func TestOnlyTheUpstreamsOwnDelaysCount(t *testing.T) {
	for name, test := range map[string]struct {
		delay           func(h *host, runs []*Run)
		lowest, highest float64
	}{
		"engine stalls": {func(h *host, runs []*Run) {
			for range 15 {
				h.wait(100 * time.Millisecond)
				for _, run := range runs[1:] {
					h.Events(h.now, run, 2)
				}
			}
		}, 1.5, 16},
		"host is frozen":     {func(h *host, _ []*Run) { h.now += 5 * time.Second; h.Overdue(h.now) }, 1, 1},
		"host reads nothing": {func(h *host, _ []*Run) { h.wait(time.Second) }, 1, 1},
		"caller does not read": {func(h *host, runs []*Run) {
			h.now += time.Second
			h.Skip(h.now, runs[0])
			h.now += 40 * time.Millisecond
			h.Events(h.now, runs[0], 1)
			h.End(h.now, runs[0], true)
		}, 0.95, 1.05},
	} {
		h := newHost()
		h.learnUsual()
		var runs []*Run
		for i := range 5 {
			runs = append(runs, h.Begin(h.now, "llm", in(fmt.Sprint("e", i)), 0, 0))
		}
		h.now += 10 * time.Millisecond
		for _, run := range runs {
			h.Events(h.now, run, 1)
		}
		before := h.Factor(h.now, in("e0"))
		test.delay(h, runs)
		requireFactor(t, name, h.Factor(h.now, in("e0"))/before, test.lowest, test.highest)
	}
}

// Guards against telling the load from the pace: all upstreams answer slower under load.
func TestLoadIsNotPace(t *testing.T) {
	h := newHost()
	at := func(id string, load float64) {
		run := h.Begin(h.now, "ledger", in(id), load, 0)
		h.now += time.Duration((1 + load) * float64(50*time.Millisecond))
		h.Overdue(h.now)
		h.End(h.now, run, true)
	}
	for i := range 200 {
		at("s1", float64(i%5)/4)
	}
	for range 10 {
		at("busy", 1)
		at("idle", 0)
	}
	requireFactor(t, "busy", h.Factor(h.now, in("busy")), 0.9, 1.1)
	requireFactor(t, "idle", h.Factor(h.now, in("idle")), 0.9, 1.1)
}

// exchange makes one exchange of a host with the coordinator.
func exchange(h *host, c *Collector, version int64) int64 {
	c.Record(h.now, h.TakeSamples(h.now))
	c.Refresh(h.now)
	paces, full, current := c.Since(h.now, true, version)
	h.ConfirmShared(h.now)
	h.ApplyShared(h.now, paces, full)
	return current
}

// Guards against each host that learns of a slow upstream alone, against paces that stay
// shared after they ended, and against messages that list what is as usual or unchanged.
func TestPacesAreShared(t *testing.T) {
	c, first, second := NewCollector(), newHost(), newHost()
	first.learnUsual()
	version := exchange(second, c, exchange(first, c, 0))
	if len(c.paces) != 0 {
		t.Errorf("%d paces of usual upstreams are reported", len(c.paces))
	}
	for range 4 {
		first.stream(in("slow"), 3)
	}
	exchange(first, c, version)
	second.now = first.now
	version = exchange(second, c, version)
	requireFactor(t, "at another host", second.Factor(second.now, in("slow")), 1.7, 3)
	if factor, confidence := c.Pace(first.now, in("slow")); factor < 1.7 || confidence < 0.5 {
		t.Errorf("shared factor %.2f, confidence %.2f", factor, confidence)
	}
	if paces, full, _ := c.Since(first.now, true, version); full || len(paces) != 0 {
		t.Errorf("unchanged paces are sent again: %+v", paces)
	}
	if paces, full, _ := c.Since(first.now, false, version); !full || len(paces) != 1 {
		t.Errorf("another term: %+v, full %v", paces, full)
	}
	for range 250 {
		second.now += 200 * time.Millisecond
		version = exchange(second, c, version)
	}
	requireFactor(t, "50 s later", second.Factor(second.now, in("slow")), 1, 1)
}

// Guards against a message of a faulty host that makes a factor unusable.
func TestOddSamplesAreIgnored(t *testing.T) {
	c, h := NewCollector(), newHost()
	for _, odd := range []float64{0, -1, math.Inf(1), math.NaN(), math.MaxFloat64, 1e-300} {
		c.Record(h.now, []Sample{{in("e"), odd, 1}, {in("e"), 2, odd}})
		h.ApplyShared(h.now, []Shared{{in("e"), odd, 1}, {in("e"), 2, odd}}, false)
		factor, _ := c.Pace(h.now, in("e"))
		requireFactor(t, fmt.Sprint("collector ", odd), factor, 1.0/maxRatio, maxRatio)
		requireFactor(t, fmt.Sprint("host ", odd), h.Factor(h.now, in("e")), 1.0/maxRatio, maxRatio)
	}
}
