package lease

import (
	"context"
	"testing"
	"time"
)

// Load: a fleet of small hosts that starts beside a few large ones. Guards against hosts
// that hear of the coordinator seconds after its election because they leave the lease to
// others: they slept through it, read the tables from the table service meanwhile (8 of 23
// calls a host in one run), and got no allowance and no loads.
func TestSmallHostHearsOfTheHolderSoon(t *testing.T) {
	store := &memoryTable{}
	ctx, cancel := context.WithCancel(context.Background())
	small, large := newElector("small", store, testTerms), newElector("large", store, testTerms)
	small.ClaimDelay = 1200 * time.Millisecond
	done := make(chan struct{})
	go func() { defer close(done); small.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(50 * time.Millisecond) // the small host has seen that nobody holds it
	large.poll(ctx)
	if !large.Held() {
		t.Fatal("the large host did not get the lease")
	}
	elected := time.Now()
	for small.Coordinator().Holder != "large" {
		if time.Since(elected) > time.Second {
			t.Fatalf("the small host knows no holder %v after the election", time.Since(elected))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against small hosts that leave the lease to others for much longer than they
// should: a fleet of which only these are left had no coordinator for three seconds.
func TestSmallHostClaimsAfterItsDelay(t *testing.T) {
	store := &memoryTable{}
	ctx, cancel := context.WithCancel(context.Background())
	small := newElector("small", store, testTerms)
	small.ClaimDelay = 500 * time.Millisecond
	start := time.Now()
	done := make(chan struct{})
	go func() { defer close(done); small.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for !small.Held() {
		if time.Since(start) > small.ClaimDelay+time.Second {
			t.Fatalf("no claim within %v", time.Since(start))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(start); took < small.ClaimDelay {
		t.Errorf("claimed after %v, before the delay of %v", took, small.ClaimDelay)
	}
}
