package scaling

import (
	"errors"
	"testing"
	"time"
)

const loadTime = 3 * time.Second

// recordBursts records bursts of arrivals that are one gap apart and returns the time
// of the last one.
func recordBursts(p Policy, gap time.Duration, bursts, size int) time.Time {
	now := time.Unix(1_000_000, 0)
	for range bursts {
		now = now.Add(gap)
		p.RecordArrivals("m", size, now)
	}
	return now
}

// TestAdaptiveKeepAlive guards against keeping replicas through gaps that cost more
// than a cold start, and against cold starts after gaps that cost less.
func TestAdaptiveKeepAlive(t *testing.T) {
	cases := []struct {
		name             string
		gap              time.Duration
		minimum, maximum time.Duration
	}{
		{"short gaps", 8 * time.Second, 8 * time.Second, idlePerColdStart * loadTime},
		{"long gaps", time.Hour, minKeepAlive, minKeepAlive},
	}
	for _, c := range cases {
		p := NewAdaptive()
		recordBursts(p, c.gap, 20, 1)
		if got := p.KeepAlive("m", loadTime); got < c.minimum || got > c.maximum {
			t.Errorf("%s: got %v, want %v to %v", c.name, got, c.minimum, c.maximum)
		}
	}
	if got := NewAdaptive().KeepAlive("m", loadTime); got != idlePerColdStart*loadTime {
		t.Errorf("without history: got %v", got)
	}
}

// TestAdaptiveDesiredReplicas guards against too few replicas for a growing queue or for the
// rest of a burst, and against replicas without demand.
func TestAdaptiveDesiredReplicas(t *testing.T) {
	p := NewAdaptive()
	now := time.Unix(1_000_000, 0)
	load := Load{Waiting: 4, MaxBatch: 8, LoadTime: loadTime}
	p.RecordArrivals("m", 4, now)
	if got := p.DesiredReplicas("m", load, now); got != 1 {
		t.Errorf("small queue: got %d", got)
	}
	load.Waiting = 14
	if got := p.DesiredReplicas("m", load, now.Add(time.Second)); got != 2 {
		t.Errorf("one rise: got %d", got)
	}
	load.Waiting = 24
	if got := p.DesiredReplicas("m", load, now.Add(2*time.Second)); got != 7 { // 24 + 10/s × 3 s
		t.Errorf("growing queue: got %d", got)
	}
	if got := p.DesiredReplicas("m", Load{LoadTime: loadTime}, now.Add(3*time.Second)); got != 0 {
		t.Errorf("no demand: got %d", got)
	}
	bursty := NewAdaptive()
	now = recordBursts(bursty, time.Hour, 20, 24).Add(time.Hour)
	bursty.RecordArrivals("m", 1, now)
	if got := bursty.DesiredReplicas("m", Load{Waiting: 1, MaxBatch: 8, LoadTime: loadTime}, now); got != 3 {
		t.Errorf("start of a burst: got %d", got)
	}
}

// TestAdaptivePrewarm guards against regular arrivals without a prewarmed replica, and
// against a prewarmed replica that idles for longer than a cold start is worth.
func TestAdaptivePrewarm(t *testing.T) {
	const gap = 2 * time.Minute
	p := NewAdaptive()
	now := recordBursts(p, gap, 20, 1)
	load := Load{MaxBatch: 8, LoadTime: loadTime}
	if got := p.DesiredReplicas("m", load, now.Add(gap/4)); got != 0 {
		t.Errorf("long before the next arrival: got %d", got)
	}
	if got := p.DesiredReplicas("m", load, now.Add(gap-loadTime)); got != 1 {
		t.Errorf("shortly before the next arrival: got %d", got)
	}
	if got := p.DesiredReplicas("m", load, now.Add(2*gap)); got != 0 {
		t.Errorf("after arrivals ceased: got %d", got)
	}
}

// TestNew guards against a mistyped policy name that selects another policy.
func TestNew(t *testing.T) {
	var unknown *UnknownPolicyError
	if _, err := New("lur"); !errors.As(err, &unknown) {
		t.Errorf("got %v", err)
	}
	if p, err := New(NameLRU); err != nil || p != (LRU{}) {
		t.Errorf("got %v and %v", p, err)
	}
}
