package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// Metrics counts the outcomes of callers' requests.
type Metrics struct {
	servedTotal  prometheus.Counter
	refusedTotal *prometheus.CounterVec
	duration     prometheus.Histogram
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		servedTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutusbank_caller_served_total", Help: "Requests answered in full."}),
		refusedTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusbank_caller_refused_total", Help: "Requests refused, by kind and by whether they certainly did not run."},
			[]string{"kind", "not_run"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutusbank_caller_request_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18)}),
	}
	registerer.MustRegister(m.servedTotal, m.refusedTotal, m.duration)
	return m
}

func (m *Metrics) recordServed(elapsed time.Duration) {
	m.servedTotal.Inc()
	m.duration.Observe(elapsed.Seconds())
}

func (m *Metrics) recordRefused(refusal *problem.Error, elapsed time.Duration) {
	notRun := "false"
	if refusal.NotRun {
		notRun = "true"
	}
	m.refusedTotal.WithLabelValues(string(refusal.Kind), notRun).Inc()
	m.duration.Observe(elapsed.Seconds())
}
