package retry

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts retry decisions.
type Metrics struct{ decisions *prometheus.CounterVec }

// NewMetrics registers the counters of retry decisions. It panics if they are
// registered already.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_retry_decisions_total",
		Help: "Decisions after failed attempts.",
	}, []string{"class", "action", "reason"})}
	registerer.MustRegister(m.decisions)
	return m
}

// Decide calls the function Decide and counts the decision.
func (m *Metrics) Decide(a Attempt) Decision {
	d := Decide(a)
	m.decisions.WithLabelValues(a.Class.String(), d.Action.String(), string(d.Reason)).Inc()
	return d
}

// suspectMetrics counts decisions on requests that may crash upstreams.
type suspectMetrics struct {
	awaitIsolation     prometheus.Counter
	refusedQuarantined prometheus.Counter
	quarantined        prometheus.Counter
	cleared            prometheus.Counter
}

func newSuspectMetrics(registerer prometheus.Registerer, count func() float64) *suspectMetrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_retry_suspicion_total",
		Help: "Decisions on requests that may crash upstreams.",
	}, []string{"decision"})
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusbank_retry_suspects",
		Help: "Requests that a crash is remembered for.",
	}, count)
	registerer.MustRegister(decisions, gauge)
	return &suspectMetrics{
		awaitIsolation:     decisions.WithLabelValues("wait_for_isolation"),
		refusedQuarantined: decisions.WithLabelValues("refused_quarantined"),
		quarantined:        decisions.WithLabelValues("quarantined"),
		cleared:            decisions.WithLabelValues("cleared"),
	}
}

// countRefusal counts a verdict other than Allowed.
func (m *suspectMetrics) countRefusal(v Verdict) {
	if v == AwaitIsolation {
		m.awaitIsolation.Inc()
		return
	}
	m.refusedQuarantined.Inc()
}
