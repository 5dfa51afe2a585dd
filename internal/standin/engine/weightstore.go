package engine

import (
	"context"
	"sync"
	"time"
)

// progressStep is the interval at which a load in progress samples its speed. It
// bounds the error of a load time to one step.
const progressStep = 2 * time.Millisecond

// startWindow is the sliding window over which load starts are counted.
const startWindow = time.Second

// WeightStoreOptions are the limits and speeds of a weight store. Loads beyond
// a limit are slowed down, not refused.
type WeightStoreOptions struct {
	BytesPerS            float64       // speed of one model load within the limits; 0: instantaneous
	LoadsPerS            float64       // sustained rate of model load starts; 0: unlimited
	ConcurrentLoads      int           // concurrent model loads at full speed; 0: unlimited
	AdapterLoadTime      time.Duration // time of one adapter load within the limits
	AdapterLoadsInFlight int           // concurrent adapter loads at full speed; 0: unlimited
}

// WeightStoreRecord counts the loads from a weight store and the violations of
// its limits.
type WeightStoreRecord struct {
	Loads             int `json:"loads"`
	AdapterLoads      int `json:"adapter_loads"`
	MaxConcurrent     int `json:"max_concurrent"`
	MaxAdapters       int `json:"max_adapters_in_flight"`
	MaxStartsInWindow int `json:"max_starts_per_s"`
	OverConcurrency   int `json:"over_concurrency"` // model loads started beyond the concurrency limit
	OverAdapters      int `json:"over_adapters"`    // adapter loads started beyond the concurrency limit
	OverRate          int `json:"over_rate"`        // model loads started beyond the rate limit
}

// WeightStore is a stand-in for the weight store that all engines of a fleet
// share. Loads beyond a concurrency limit share the throughput of the limit, and
// starts beyond the rate limit are delayed. It is safe for concurrent use.
type WeightStore struct {
	options WeightStoreOptions

	mu        sync.Mutex
	loads     int
	adapters  int
	slowdown  float64
	nextStart time.Time
	starts    []time.Time // within the last startWindow
	record    WeightStoreRecord
}

// NewWeightStore returns an idle weight store.
func NewWeightStore(options WeightStoreOptions) *WeightStore {
	return &WeightStore{options: options, slowdown: 1}
}

// SetSlowdown divides the speed of all loads, including those in progress, by a
// factor. A factor below 1 counts as 1.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = max(factor, 1)
}

// Record returns the counts so far.
func (s *WeightStore) Record() WeightStoreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Options returns the limits and speeds of the store.
func (s *WeightStore) Options() WeightStoreOptions { return s.options }

// LoadModel blocks for as long as loading model weights of the given size
// takes. It returns the cause when ctx ends.
func (s *WeightStore) LoadModel(ctx context.Context, bytes int64) error {
	wait := s.beginModel(time.Now())
	defer s.endModel()
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	if s.options.BytesPerS <= 0 {
		return nil
	}
	work := time.Duration(float64(bytes) / s.options.BytesPerS * float64(time.Second))
	return simulateTransfer(ctx, work, s.modelSpeed)
}

// LoadAdapter blocks for as long as loading one adapter takes. It returns the
// cause when ctx ends.
func (s *WeightStore) LoadAdapter(ctx context.Context) error {
	s.beginAdapter()
	defer s.endAdapter()
	return simulateTransfer(ctx, s.options.AdapterLoadTime, s.adapterSpeed)
}

// beginModel counts a model load and returns how long the rate limit delays its
// start.
func (s *WeightStore) beginModel(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	s.record.Loads++
	s.record.MaxConcurrent = max(s.record.MaxConcurrent, s.loads)
	if limit := s.options.ConcurrentLoads; limit > 0 && s.loads > limit {
		s.record.OverConcurrency++
	}
	s.countStart(now)
	return s.rateDelay(now)
}

// countStart counts a start within the sliding window. It requires s.mu.
func (s *WeightStore) countStart(now time.Time) {
	kept := s.starts[:0]
	for _, at := range s.starts {
		if now.Sub(at) < startWindow {
			kept = append(kept, at)
		}
	}
	s.starts = append(kept, now)
	s.record.MaxStartsInWindow = max(s.record.MaxStartsInWindow, len(s.starts))
	if limit := s.options.LoadsPerS; limit > 0 && float64(len(s.starts)) > limit {
		s.record.OverRate++
	}
}

// rateDelay returns the delay of a start. It permits a burst of one second's
// starts and spaces further starts evenly. It requires s.mu.
func (s *WeightStore) rateDelay(now time.Time) time.Duration {
	if s.options.LoadsPerS <= 0 {
		return 0
	}
	interval := time.Duration(float64(time.Second) / s.options.LoadsPerS)
	earliest := now.Add(-startWindow + interval)
	if s.nextStart.Before(earliest) {
		s.nextStart = earliest
	}
	wait := max(s.nextStart.Sub(now), 0)
	s.nextStart = s.nextStart.Add(interval)
	return wait
}

func (s *WeightStore) endModel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads--
}

func (s *WeightStore) beginAdapter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adapters++
	s.record.AdapterLoads++
	s.record.MaxAdapters = max(s.record.MaxAdapters, s.adapters)
	if limit := s.options.AdapterLoadsInFlight; limit > 0 && s.adapters > limit {
		s.record.OverAdapters++
	}
}

func (s *WeightStore) endAdapter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adapters--
}

func (s *WeightStore) modelSpeed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sharedSpeed(s.loads, s.options.ConcurrentLoads) / s.slowdown
}

func (s *WeightStore) adapterSpeed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sharedSpeed(s.adapters, s.options.AdapterLoadsInFlight) / s.slowdown
}

// sharedSpeed returns the relative speed of one load: 1 up to the limit, beyond
// it an equal share of the limit.
func sharedSpeed(inFlight, limit int) float64 {
	if limit <= 0 || inFlight <= limit {
		return 1
	}
	return float64(limit) / float64(inFlight)
}

// simulateTransfer blocks for the duration of work, given at speed 1, at a
// relative speed that may change meanwhile.
func simulateTransfer(ctx context.Context, work time.Duration, speed func() float64) error {
	last := time.Now()
	for work > 0 {
		current := speed()
		step := min(progressStep, time.Duration(float64(work)/current)+time.Microsecond)
		if err := sleep(ctx, step); err != nil {
			return err
		}
		now := time.Now()
		work -= time.Duration(float64(now.Sub(last)) * current)
		last = now
	}
	return nil
}

// sleep waits for d. It returns the cause when the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
