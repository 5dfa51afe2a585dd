// Package scaling contains policies that decide how many replicas a model should
// have and how long idle replicas stay loaded. It does no I/O and does not read the
// clock; times are passed in.
package scaling

import (
	"fmt"
	"math"
	"time"
)

// Names of policies, as accepted by New.
const (
	NameAdaptive = "adaptive"
	NameLRU      = "lru"
)

// Load describes the current load of one model.
type Load struct {
	Waiting    int           // requests waiting for a replica
	WaitingFor time.Duration // how long requests have been waiting without interruption
	Running    int           // requests running or queued on the engines of the replicas
	Replicas   int           // replicas loaded or loading
	MaxBatch   int           // requests that one replica runs concurrently; 0: unknown
	LoadTime   time.Duration // expected time to load one more replica
}

// Policy decides on the replicas of all models of a deployment. Implementations are
// not safe for concurrent use.
type Policy interface {
	// RecordArrivals records n requests for a model that arrived at now.
	RecordArrivals(model string, n int, now time.Time)
	// DesiredReplicas returns the number of replicas that a model should have
	// under the given load.
	DesiredReplicas(model string, load Load, now time.Time) int
	// KeepAlive returns how long an idle replica stays loaded.
	KeepAlive(model string, loadTime time.Duration) time.Duration
}

// UnknownPolicyError reports a policy name that New does not know.
type UnknownPolicyError struct{ Name string }

// Error implements error.
func (e *UnknownPolicyError) Error() string { return fmt.Sprintf("unknown scaling policy %q", e.Name) }

// New returns a policy by name; an empty name selects the adaptive policy. It returns
// an *UnknownPolicyError for any other name.
func New(name string) (Policy, error) {
	switch name {
	case NameAdaptive, "":
		return NewAdaptive(), nil
	case NameLRU:
		return LRU{}, nil
	}
	return nil, &UnknownPolicyError{Name: name}
}

// lruKeepAlive is the fixed keep-alive time of LRU.
const lruKeepAlive = 10 * time.Minute

// LRU is the baseline policy for comparison: load one replica on demand, keep it for a
// fixed idle time, evict the least recently used.
type LRU struct{}

// RecordArrivals implements Policy.
func (LRU) RecordArrivals(string, int, time.Time) {}

// DesiredReplicas implements Policy.
func (LRU) DesiredReplicas(_ string, load Load, _ time.Time) int {
	if load.Waiting > 0 {
		return 1
	}
	return 0
}

// KeepAlive implements Policy.
func (LRU) KeepAlive(string, time.Duration) time.Duration { return lruKeepAlive }

// replicasFor returns the number of replicas that run the given requests concurrently.
func replicasFor(requests float64, maxBatch int) int {
	if maxBatch <= 0 {
		maxBatch = defaultMaxBatch
	}
	return int(math.Ceil(requests / float64(maxBatch)))
}

// defaultMaxBatch is assumed for engines that do not report their batch size.
const defaultMaxBatch = 8
