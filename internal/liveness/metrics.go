package liveness

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts streams by the state in which they ended.
type Metrics struct{ streams *prometheus.CounterVec }

// NewMetrics registers the counters with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{streams: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_liveness_streams_total",
		Help: "Engine streams by the state in which they ended.",
	}, []string{"state"})}
	registerer.MustRegister(m.streams)
	return m
}

// StreamEnded counts a stream that ended in state s.
func (m *Metrics) StreamEnded(s State) { m.streams.WithLabelValues(s.String()).Inc() }
