package admission

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// waitBuckets are in seconds and range from a slot freed at once to a cold start.
var waitBuckets = prometheus.ExponentialBuckets(0.001, 4, 9)

// metrics holds the metrics of admission decisions.
type metrics struct {
	dispatchedAtOnce    prometheus.Counter
	dispatchedAfterWait prometheus.Counter
	queueFull           prometheus.Counter
	deadlineUnmeetable  prometheus.Counter
	deadlinePassed      prometheus.Counter
	canceled            prometheus.Counter
	wait                prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer, waiting func() float64) *metrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_admission_decisions_total",
		Help: "Admission decisions by outcome.",
	}, []string{"decision"})
	wait := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "arbutusbank_admission_wait_seconds",
		Help:    "Waits of requests that were queued and then dispatched.",
		Buckets: waitBuckets,
	})
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusbank_admission_waiting",
		Help: "Requests that wait for a slot.",
	}, waiting)
	registerer.MustRegister(decisions, wait, gauge)
	return &metrics{
		dispatchedAtOnce:    decisions.WithLabelValues("dispatched_at_once"),
		dispatchedAfterWait: decisions.WithLabelValues("dispatched_after_wait"),
		queueFull:           decisions.WithLabelValues("queue_full"),
		deadlineUnmeetable:  decisions.WithLabelValues("deadline_unmeetable"),
		deadlinePassed:      decisions.WithLabelValues("deadline_passed"),
		canceled:            decisions.WithLabelValues("canceled"),
		wait:                wait,
	}
}

func (m *metrics) observeDispatch(wait time.Duration) {
	m.dispatchedAfterWait.Inc()
	m.wait.Observe(wait.Seconds())
}

func (m *metrics) countRefusal(err error) {
	var full *QueueFullError
	var deadline *DeadlineError
	switch {
	case errors.As(err, &full):
		m.queueFull.Inc()
	case errors.As(err, &deadline) && deadline.Unmeetable:
		m.deadlineUnmeetable.Inc()
	case errors.As(err, &deadline):
		m.deadlinePassed.Inc()
	default:
		m.canceled.Inc()
	}
}
