package quota

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "outcome".
const (
	outcomeOK           = "ok"
	outcomeFailed       = "failed"
	outcomeRateLimited  = "rate_limited"
	outcomeExceedsBurst = "exceeds_burst"
)

// metrics holds the limiter's counters.
type metrics struct {
	acquires *prometheus.CounterVec
	granted  prometheus.Counter // acquires with outcomeOK, resolved once for the request path
	borrows  *prometheus.CounterVec
	returns  *prometheus.CounterVec
	borrowed prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		acquires: counterVec("acquires_total", "Requests that asked for tokens, by outcome."),
		borrows:  counterVec("borrows_total", "Loan requests to other hosts, by outcome."),
		returns:  counterVec("loan_returns_total", "Loan returns to other hosts, by outcome."),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "arbutusbank", Subsystem: "quota", Name: "borrowed_tokens_total",
			Help: "Tokens granted by other hosts.",
		}),
	}
	m.granted = m.acquires.WithLabelValues(outcomeOK)
	if registerer != nil {
		registerer.MustRegister(m.acquires, m.borrows, m.returns, m.borrowed)
	}
	return m
}

func counterVec(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "arbutusbank", Subsystem: "quota", Name: name, Help: help,
	}, []string{"outcome"})
}

// count records the outcome of a call of Acquire.
func (m *metrics) count(err error) {
	var limited *RateLimitedError
	var burst *ExceedsBurstError
	switch {
	case err == nil:
		m.granted.Inc()
	case errors.As(err, &limited):
		m.acquires.WithLabelValues(outcomeRateLimited).Inc()
	case errors.As(err, &burst):
		m.acquires.WithLabelValues(outcomeExceedsBurst).Inc()
	default:
		m.acquires.WithLabelValues(outcomeFailed).Inc()
	}
}
