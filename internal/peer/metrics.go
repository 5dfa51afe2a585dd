package peer

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the outcome label.
const (
	outcomeOK          = "ok"
	outcomeUnreachable = "unreachable"
	outcomeRefused     = "refused"
)

type metrics struct {
	calls *prometheus.CounterVec
	dials *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "arbutusbank", Subsystem: "peer", Name: "calls_total",
			Help: "Calls to other hosts, by call and outcome.",
		}, []string{"call", "outcome"}),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "arbutusbank", Subsystem: "peer", Name: "dials_total",
			Help: "Connections opened to other hosts, by outcome.",
		}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.dials)
	}
	return m
}

func (m *metrics) recordCall(name string, err error) {
	m.calls.WithLabelValues(name, outcomeOf(err)).Inc()
}

func (m *metrics) recordDial(err error) {
	outcome := outcomeOK
	if err != nil {
		outcome = outcomeUnreachable
	}
	m.dials.WithLabelValues(outcome).Inc()
}

func outcomeOf(err error) string {
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return outcomeOK
	case errors.As(err, &unreachable):
		return outcomeUnreachable
	default:
		return outcomeRefused
	}
}
