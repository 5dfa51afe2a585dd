package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/slowstart"
)

type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec

	callersLeft     *prometheus.CounterVec
	afterCallerLeft prometheus.Histogram
	adapterCalls    prometheus.Counter
	stalls          prometheus.Histogram
	statements      *prometheus.CounterVec
	sendsWithheld   prometheus.Counter

	evacuationRefusals prometheus.Counter
	coldRefusals       prometheus.Counter
	coldWithheld       prometheus.Counter

	foreignResponses prometheus.Counter
	lostRuns         prometheus.Counter

	queueRefusals *prometheus.CounterVec
	queueWait     prometheus.Histogram
}

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_requests_total", Help: "Requests by route and status (0: the caller left, 1: broken off).",
		}, []string{"route", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gateway_request_seconds", Help: "Time from the request's arrival to its end.",
			Buckets: []float64{.01, .03, .1, .3, 1, 3, 10, 30},
		}, []string{"route"}),
		callersLeft: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_callers_left_total", Help: "Callers that left before their response was complete, by what their request was doing.",
		}, []string{"stage"}),
		afterCallerLeft: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gateway_after_caller_left_seconds", Help: "Time from the notice that a caller had left to the end of its request.",
			Buckets: []float64{.001, .01, .1, .5, 1, 3},
		}),
		adapterCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_adapter_calls_total", Help: "Times that a request asked for an adapter to be loaded.",
		}),
		stalls: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gateway_stall_seconds", Help: "How late the host read a byte that it had written to itself at a tick.",
			Buckets: []float64{.01, .05, .25, .5, 1, 3},
		}),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_upstream_statements_total", Help: "Responses in which an upstream said that it leaves (leaving) or wants no requests for some time (pause).",
		}, []string{"kind"}),
		sendsWithheld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_sends_withheld_total", Help: "Requests that were not sent to the chosen upstream because of such a statement or an evacuation.",
		}),
		evacuationRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_evacuation_refusals_total", Help: "Requests that were refused because all upstreams of their service are in evacuated data centers.",
		}),
		coldRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_cold_refusals_total", Help: "Requests that were refused because their upstreams are cold for longer than they can wait.",
		}),
		coldWithheld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_cold_withheld_total", Help: "Requests that were not sent to the chosen upstream because it is cold and this host had no grant left.",
		}),
		foreignResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_foreign_responses_total", Help: "Responses of upstreams that belonged to another request and were skipped.",
		}),
		lostRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gateway_lost_runs_total", Help: "Runs that ended with the connection to their upstream, which may have crashed.",
		}),
	}
	m.queueRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gateway_queue_refusals_total", Help: "Requests that got no slot of an upstream, by service and reason.",
	}, []string{"service", "reason"})
	m.queueWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "gateway_queue_wait_seconds", Help: "Time for which requests waited for a slot that they got.",
		Buckets: []float64{.01, .03, .1, .3, 1, 3, 10},
	})
	m.registry.MustRegister(m.queueRefusals, m.queueWait, queueCollector{g.slots})
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	counter := func(name, help string, labels prometheus.Labels, value func() float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, value)
	}
	slowStarts := func(reason slowstart.Reason) prometheus.Collector {
		return counter("gateway_slow_starts_total", "Windows that began, by reason.", prometheus.Labels{"reason": string(reason)}, func() float64 {
			return g.registry.slowStartCount(func(t *slowstart.Tracker) int { return t.Begun(reason) })
		})
	}
	m.registry.MustRegister(m.requests, m.latency, m.callersLeft, m.afterCallerLeft, m.adapterCalls, m.stalls, m.statements, m.sendsWithheld, m.foreignResponses, m.lostRuns,
		m.evacuationRefusals, m.coldRefusals, m.coldWithheld,
		gauge("gateway_cold_upstreams", "Upstreams to which this host limits its requests because they are, or were just, cold.", func() float64 { return float64(len(g.registry.cold.dump())) }),
		gauge("gateway_slow_starts", "Upstreams that started or recovered, whose window limits the concurrent requests of this host.", func() float64 { return g.registry.slowStartCount((*slowstart.Tracker).Len) }),
		slowStarts(slowstart.Started), slowStarts(slowstart.Recovered),
		counter("gateway_slow_start_closes_total", "Times that such a window was closed because of slow answers, refusals or lost runs.", nil, func() float64 { return g.registry.slowStartCount((*slowstart.Tracker).Closes) }),
		gauge("gateway_evacuated_data_centers", "Data centers whose evacuation is requested.", func() float64 { return float64(len(g.registry.evacuations.load())) }),
		gauge("gateway_evacuated_requests", "Requests of this host that are in progress at upstreams of evacuated data centers.", g.registry.evacuatedRunning),
		gauge("gateway_quarantined", "Requests and prompt segments that are refused because they crash upstreams.", g.exchanger.quarantine.count),
		gauge("gateway_requests_in_flight", "Requests in progress.", func() float64 { return float64(g.inFlight.Load()) }),
		gauge("gateway_config_version", "Version of the configuration in force.", func() float64 { return float64(g.config.version()) }),
		gauge("gateway_config_age_seconds", "Time since the configuration was confirmed.", func() float64 { return g.config.age().Seconds() }),
		gauge("gateway_table_generation", "How often the table service has come back from an older copy, as it states; 0: it states none.", func() float64 { return float64(g.config.replica.Position().Generation) }),
		gauge("gateway_generation_pending", "1 while confirmations of the newest generation of the table service don't count.", func() float64 { return boolGauge(g.config.generationPending()) }),
		gauge("gateway_coordinator", "1 if this host coordinates the fleet.", func() float64 { return boolGauge(g.elector.Held()) }),
		gauge("gateway_coordinator_reached", "1 if the coordinator answers this host.", func() float64 { return boolGauge(g.exchanger.Reached()) }),
		gauge("gateway_ready", "1 if the host reports ready.", func() float64 { return boolGauge(g.Ready()) }),
		gauge("gateway_panics", "Panics that were confined to the message that caused them, since the start.", func() float64 { return float64(confine.Panics()) }),
		gauge("gateway_log_lines_dropped", "Log lines that were dropped because the output was slow.", g.droppedLogLines),
	)
	m.registry.MustRegister(g.intake.Collectors()...)
	return m
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (m *metrics) observe(route string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// queueCollector collects the numbers of waiting requests.
type queueCollector struct{ slots *slotQueue }

var queueWaiting = prometheus.NewDesc("gateway_queue_waiting", "Requests that wait for a slot of an upstream, by service.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (c queueCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- queueWaiting }

// Collect implements prometheus.Collector.
func (c queueCollector) Collect(metrics chan<- prometheus.Metric) {
	c.slots.mu.Lock()
	counts := c.slots.backlog.WaitingByService()
	c.slots.mu.Unlock()
	for service, count := range counts {
		metrics <- prometheus.MustNewConstMetric(queueWaiting, prometheus.GaugeValue, float64(count), service)
	}
}
