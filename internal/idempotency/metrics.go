package idempotency

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the counters of claim decisions and sweeps.
type metrics struct {
	decisions        *prometheus.CounterVec
	completed        prometheus.Counter
	completionFailed prometheus.Counter
	released         prometheus.Counter
	readBacks        prometheus.Counter
	swept            prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_idempotency_decisions_total",
		Help: "Decisions on calls with an idempotency key.",
	}, []string{"decision"})
	readBacks := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutusbank_idempotency_read_backs_total",
		Help: "Claim rows read after a conflict or an unknown outcome.",
	})
	swept := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutusbank_idempotency_swept_total",
		Help: "Expired claims deleted by this host.",
	})
	registerer.MustRegister(decisions, readBacks, swept)
	return &metrics{
		decisions:        decisions,
		completed:        decisions.WithLabelValues("completed"),
		completionFailed: decisions.WithLabelValues("completion_failed"),
		released:         decisions.WithLabelValues("released"),
		readBacks:        readBacks,
		swept:            swept,
	}
}

func (m *metrics) countDecision(kind Kind) { m.decisions.WithLabelValues(string(kind)).Inc() }

func (m *metrics) countError(err error) {
	var replay *ReplayError
	var corrupt *CorruptClaimError
	switch {
	case errors.As(err, &replay):
		m.decisions.WithLabelValues("replay_unavailable").Inc()
	case errors.As(err, &corrupt):
		m.decisions.WithLabelValues("corrupt").Inc()
	default:
		m.decisions.WithLabelValues("unavailable").Inc()
	}
}
