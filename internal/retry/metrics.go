package retry

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts retry decisions.
type Metrics struct{ decisions *prometheus.CounterVec }

// NewMetrics registers the counters of retry decisions.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_retry_decisions_total",
		Help: "Decisions after failed attempts.",
	}, []string{"class", "action", "reason"})}
	registerer.MustRegister(m.decisions)
	return m
}

// Decide is the function Decide, counted.
func (m *Metrics) Decide(a Attempt) Decision {
	d := Decide(a)
	m.decisions.WithLabelValues(a.Class.String(), d.Action.String(), string(d.Reason)).Inc()
	return d
}

type suspectMetrics struct {
	busy        prometheus.Counter
	refusals    prometheus.Counter
	quarantined prometheus.Counter
	cleared     prometheus.Counter
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
		busy:        decisions.WithLabelValues("wait_for_isolation"),
		refusals:    decisions.WithLabelValues("refused_quarantined"),
		quarantined: decisions.WithLabelValues("quarantined"),
		cleared:     decisions.WithLabelValues("cleared"),
	}
}

func (m *suspectMetrics) refused(v Verdict) {
	if v == AwaitIsolation {
		m.busy.Inc()
		return
	}
	m.refusals.Inc()
}
