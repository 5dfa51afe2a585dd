package routing

import "github.com/prometheus/client_golang/prometheus"

// trackerMetrics counts the cache hits that the prefix index predicts per dispatch.
type trackerMetrics struct {
	expectedBlocks prometheus.Counter
	totalBlocks    prometheus.Counter
	gaps           prometheus.Counter
}

func newTrackerMetrics(registerer prometheus.Registerer) *trackerMetrics {
	m := &trackerMetrics{
		expectedBlocks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutusbank_routing_prefix_blocks_expected_total",
			Help: "Prompt blocks expected in the cache of the chosen upstream.",
		}),
		totalBlocks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutusbank_routing_prefix_blocks_total",
			Help: "Prompt blocks of dispatched requests.",
		}),
		gaps: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutusbank_routing_cache_event_gaps_total",
			Help: "Gaps seen in the cache events of engines.",
		}),
	}
	registerer.MustRegister(m.expectedBlocks, m.totalBlocks, m.gaps)
	return m
}

func (m *trackerMetrics) observePrefix(expected, total int) {
	m.expectedBlocks.Add(float64(expected))
	m.totalBlocks.Add(float64(total))
}
