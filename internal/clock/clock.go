// Package clock provides a replaceable source of time, so that code that depends on
// time can be tested without waiting. It also provides the time since boot and an
// interruptible sleep.
package clock

import (
	"sync"
	"time"
)

// Clock is a source of the current time. Times of System contain a monotonic clock
// reading, so that differences are unaffected by steps of the wall clock.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with a monotonic clock reading.
func (System) Now() time.Time { return time.Now() }

// Fake is a clock for tests, which only Advance moves. It is safe for concurrent
// use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that starts at t.
func NewFake(t time.Time) *Fake { return &Fake{now: t} }

// Now returns the current time of the fake clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
