package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/request/fairshare"
	"vanillapond/pkg/ident"
)

// maxSharedServices bounds the services that peers' reports may create.
const maxSharedServices = 64

var (
	shareRefusalsDesc = prometheus.NewDesc("vanillapond_router_share_refusals_total",
		"Requests refused because their customer was over its share, by service.", []string{"service"}, nil)
	customersOverShareDesc = prometheus.NewDesc("vanillapond_router_customers_over_share",
		"Customers that ask for more than their share while the service is short of capacity, by service.", []string{"service"}, nil)
	serviceShortDesc = prometheus.NewDesc("vanillapond_router_service_short",
		"Whether the service is short of capacity (1) or not (0), by service.", []string{"service"}, nil)
)

// knownInstances returns the number of router instances, 0 if it is not known.
func (r *Router) knownInstances() int { return r.peers.Share().Count }

// mergeCustomerUse applies a peer's reports of what customers use. A peer without a report on a service has no use of it.
func (r *Router) mergeCustomerUse(now time.Time, process ident.Process, reports fairshare.Reports) {
	if err := reports.Check(); err != nil {
		r.journal.Log("peer_report_refused", "peer", process, "err", err)
		return
	}
	known := r.shares.all()
	for service := range reports {
		if known[service] == nil && r.mayShare(service) && len(known) < maxSharedServices {
			known[service] = r.shares.get(service)
		}
	}
	for service, controller := range known {
		controller.Merge(now, process, reports[service])
	}
}

// mayShare reports whether a service may have shares: one that is load-aware, or any before the configuration is known.
func (r *Router) mayShare(service ident.Pool) bool {
	table := r.configuration.Table()
	return table == nil || table.LoadAware(service)
}

// shareCollector exports the state of the shares of each service. It has no labels by customer: their number is not bounded.
type shareCollector struct{ router *Router }

// Collect implements prometheus.Collector.
func (c shareCollector) Collect(values chan<- prometheus.Metric) {
	now := time.Now()
	for service, controller := range c.router.shares.all() {
		status, short := controller.Status(now, c.router.knownInstances()), 0.0
		if status.Short {
			short = 1
		}
		values <- prometheus.MustNewConstMetric(shareRefusalsDesc, prometheus.CounterValue, float64(status.Refused), string(service))
		values <- prometheus.MustNewConstMetric(customersOverShareDesc, prometheus.GaugeValue, float64(status.Over), string(service))
		values <- prometheus.MustNewConstMetric(serviceShortDesc, prometheus.GaugeValue, short, string(service))
	}
}

// Describe implements prometheus.Collector.
func (shareCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- shareRefusalsDesc
	descriptions <- customersOverShareDesc
	descriptions <- serviceShortDesc
}
