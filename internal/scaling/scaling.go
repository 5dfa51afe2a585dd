// Package scaling decides how many replicas a model should have and how long
// idle replicas stay loaded. It is pure: times are passed in.
package scaling

import (
	"fmt"
	"math"
	"time"
)

// Names of policies.
const (
	NameAdaptive = "adaptive"
	NameLRU      = "lru"
)

// Load describes the present load of one model.
type Load struct {
	Waiting    int           // requests waiting for a replica
	WaitingFor time.Duration // how long requests have been waiting without a break
	Running    int           // requests running or queued on engines that hold replicas
	Replicas   int           // replicas loaded or loading
	MaxBatch   int           // requests that one replica runs at once; 0: unknown
	LoadTime   time.Duration // expected time to load one more replica
}

// Policy decides for all models of a deployment. Implementations are not safe
// for concurrent use.
type Policy interface {
	// RecordArrivals records n requests for a model.
	RecordArrivals(model string, n int, now time.Time)
	// DesiredReplicas returns the number of replicas that the load justifies.
	DesiredReplicas(model string, load Load, now time.Time) int
	// KeepAlive returns how long an idle replica stays loaded.
	KeepAlive(model string, loadTime time.Duration) time.Duration
}

// UnknownPolicyError reports a policy name that does not exist.
type UnknownPolicyError struct{ Name string }

// Error implements error.
func (e *UnknownPolicyError) Error() string { return fmt.Sprintf("unknown scaling policy %q", e.Name) }

// New returns the policy of a name.
func New(name string) (Policy, error) {
	switch name {
	case NameAdaptive, "":
		return NewAdaptive(), nil
	case NameLRU:
		return LRU{}, nil
	}
	return nil, &UnknownPolicyError{Name: name}
}

// lruKeepAlive is the fixed keep-alive time of the baseline.
const lruKeepAlive = 10 * time.Minute

// LRU is the baseline policy: load one replica on demand, keep it for a fixed
// time, evict the least recently used.
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

// replicasFor returns the replicas that run a number of requests at once.
func replicasFor(requests float64, maxBatch int) int {
	if maxBatch <= 0 {
		maxBatch = defaultMaxBatch
	}
	return int(math.Ceil(requests / float64(maxBatch)))
}

// defaultMaxBatch applies to engines that do not report their batch size.
const defaultMaxBatch = 8
