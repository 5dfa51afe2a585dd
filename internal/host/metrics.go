package host

import "github.com/prometheus/client_golang/prometheus"

// DescribeMetrics sends the descriptions of all metrics that this host can export,
// including those without a value.
func (h *Host) DescribeMetrics(descriptions chan<- *prometheus.Desc) {
	h.registry.Describe(descriptions)
}
