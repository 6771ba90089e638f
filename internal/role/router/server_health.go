package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// healthReports returns what this instance reports about the health of servers, by service. Services without results are included, so that peers know
// that this instance takes part.
func (r *Router) healthReports(now time.Time) map[ident.Pool]placement.HealthReport {
	reports := make(map[ident.Pool]placement.HealthReport)
	for service, balancer := range r.balancers.all() {
		if report, shared := balancer.HealthReport(now); shared {
			reports[service] = report
		}
	}
	return reports
}

// mergeHealth applies what a peer reports about the health of servers.
func (g *gossip) mergeHealth(now time.Time, received message) {
	mergeReports(g, received.Process, received.Health, func(balancer *placement.Balancer, report placement.HealthReport) {
		balancer.MergeHealth(now, received.Process, report)
	})
}

// recordHealthEvents logs and counts the changes of servers' states.
func (r *Router) recordHealthEvents() {
	for service, balancer := range r.balancers.all() {
		for _, event := range balancer.HealthEvents(time.Now()) {
			r.metrics.healthChanges.WithLabelValues(string(service), string(event.State), string(event.Cause)).Inc()
			r.journal.Log("server_health", "server", event.Server, "service", service, "state", event.State, "previous", event.Previous,
				"cause", event.Cause, "instances", event.Instances, "age_ms", time.Since(event.At).Milliseconds(),
				"successes", event.Total.Successes, "broken", event.Total.Failures, "errors", event.Total.Errors,
				"refused", event.Total.Refused, "slow", event.Total.Slow)
		}
	}
}

func newHealthChanges() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "vanillapond_router_server_health_changes_total", Help: "Changes of servers' states by service, new state and cause.",
	}, []string{"service", "state", "cause"})
}

var serverHealthDesc = prometheus.NewDesc("vanillapond_router_servers_by_health",
	"Plain servers of load-aware services by service, state and cause.", []string{"service", "state", "cause"}, nil)

// serverHealthCollector exports how many servers are in each state.
type serverHealthCollector struct{ router *Router }

// Collect implements prometheus.Collector.
func (c serverHealthCollector) Collect(values chan<- prometheus.Metric) {
	type labels struct {
		service ident.Pool
		state   placement.HealthState
		cause   placement.Cause
	}
	counts := make(map[labels]int)
	for service, balancer := range c.router.balancers.all() {
		for _, status := range balancer.ServerStatuses(time.Now()) {
			if status.Health != "" {
				counts[labels{service, status.Health, status.Cause}]++
			}
		}
	}
	for each, count := range counts {
		values <- prometheus.MustNewConstMetric(serverHealthDesc, prometheus.GaugeValue, float64(count),
			string(each.service), string(each.state), string(each.cause))
	}
}

// Describe implements prometheus.Collector.
func (serverHealthCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- serverHealthDesc
}
