package configstore

import "github.com/prometheus/client_golang/prometheus"

type storeMetrics struct {
	submissions *prometheus.CounterVec
	snapshots   *prometheus.CounterVec
}

func newStoreMetrics(registerer prometheus.Registerer) *storeMetrics {
	m := &storeMetrics{
		submissions: newCounterVec("submissions", "Submissions of configuration patches by result; repeated counts commits sent again after an unknown outcome.", "result"),
		snapshots:   newCounterVec("snapshots", "Configuration snapshots in the object store that were written, could not be written or could not be read.", "result"),
	}
	register(registerer, m.submissions, m.snapshots)
	return m
}

func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(collectors...)
}

type followerMetrics struct {
	version  prometheus.Gauge
	applied  *prometheus.CounterVec
	polls    *prometheus.CounterVec
	pulls    *prometheus.CounterVec
	pushes   *prometheus.CounterVec
	diverged prometheus.Counter
}

func newFollowerMetrics(registerer prometheus.Registerer) *followerMetrics {
	m := &followerMetrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "arbutusbank_config_version",
			Help: "Configuration version in force at this host.",
		}),
		applied: newCounterVec("applied", "Versions put in force, or that could not be, by where they came from.", "source", "result"),
		polls:   newCounterVec("polls", "Reads of the head by this host: current, behind or failed.", "result"),
		pulls:   newCounterVec("pulls", "Pulls of deltas from other hosts by result.", "result"),
		pushes:  newCounterVec("pushes", "Pushes of deltas to other hosts by result.", "result"),
		diverged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutusbank_config_diverged_total",
			Help: "Observations of another document under the version in force here; any is a fault.",
		}),
	}
	register(registerer, m.version, m.applied, m.polls, m.pulls, m.pushes, m.diverged)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusbank_config_" + name + "_total",
		Help: help,
	}, labels)
}
