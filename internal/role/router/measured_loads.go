package router

import (
	"time"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// measuredLoads returns what peers are told about the load-aware services besides this instance's load. The measurements of all services together are limited
// to placement.MaxMeasurements, each service having an equal part.
func (r *Router) measuredLoads(now time.Time) map[ident.Pool]placement.LoadReport {
	balancers := r.balancers.all()
	loadAware := 0
	for _, balancer := range balancers {
		if balancer.LoadAware() {
			loadAware++
		}
	}
	if loadAware == 0 {
		return nil
	}
	reports := make(map[ident.Pool]placement.LoadReport, loadAware)
	for service, balancer := range balancers {
		if report, found := balancer.Report(now, placement.MaxMeasurements/loadAware); found {
			reports[service] = report
		}
	}
	return reports
}

// mergeMeasured applies a peer's reports on load-aware services. One that fails its check is refused; the others are applied.
func (g *gossip) mergeMeasured(now time.Time, received message) {
	mergeReports(g, received.Process, received.Measured, func(balancer *placement.Balancer, report placement.LoadReport) {
		balancer.Merge(now, received.Process, report)
	})
}

// mergeReports applies a peer's reports by service. One that fails its check is refused; the others are applied.
func mergeReports[R interface{ Check() error }](
	g *gossip, from ident.Process, reports map[ident.Pool]R, apply func(*placement.Balancer, R),
) {
	for service, report := range reports {
		if err := report.Check(); err != nil {
			g.router.journal.Log("peer_report_refused", "peer", from, "service", service, "err", err)
			continue
		}
		apply(g.router.balancers.get(service), report)
	}
}
