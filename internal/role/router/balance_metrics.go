package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// balanceMetrics say how evenly the load of load-aware services is spread.
type balanceMetrics struct {
	imbalance            *prometheus.HistogramVec
	overloadedBesideIdle *prometheus.CounterVec
}

func newBalanceMetrics(registry *prometheus.Registry) balanceMetrics {
	m := balanceMetrics{
		imbalance: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vanillapond_router_imbalance",
			Help:    "Estimated load of the busiest server relative to the mean, both relative to the servers' speed, by service.",
			Buckets: []float64{1.1, 1.25, 1.5, 2, 3, 5, 10, 20, 50},
		}, []string{"service"}),
		overloadedBesideIdle: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_overloaded_beside_idle_total",
			Help: "Samples in which a server had no free slot while another of its service was idle.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.imbalance, m.overloadedBesideIdle)
	return m
}

// observe records a sample.
func (m *balanceMetrics) observe(service ident.Pool, sample placement.Balance) {
	if sample.Imbalance > 0 {
		m.imbalance.WithLabelValues(string(service)).Observe(sample.Imbalance)
	}
	if sample.OverloadedBesideIdle {
		m.overloadedBesideIdle.WithLabelValues(string(service)).Inc()
	}
}
