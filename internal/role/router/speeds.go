package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

// maxSpeedServers bounds the servers in the speed reports of all services together, so that a message stays well below maxMessageBytes: a server
// takes about 100 bytes.
const maxSpeedServers = 128

// SpeedState is the estimated speed of a server.
type SpeedState struct {
	// PrefillTokensPerMS is the prefill rate, BaseMS the time to the first event without prefill and StepMS the duration of a decode step of one
	// running request, all while its work takes as long as normal. Work is how many times as long it takes now.
	PrefillTokensPerMS float64 `json:"prefill_tokens_per_ms"`
	BaseMS             float64 `json:"base_ms"`
	StepMS             float64 `json:"step_ms"`
	Work               float64 `json:"work"`
	// The weights are those of the samples of all instances, and the ages those of the newest ones; 0 without samples.
	PrefillWeight float64 `json:"prefill_weight"`
	PrefillAgeMS  int64   `json:"prefill_age_ms"`
	StepWeight    float64 `json:"step_weight"`
	StepAgeMS     int64   `json:"step_age_ms"`
	WorkAgeMS     int64   `json:"work_age_ms"`
}

func speedState(now time.Time, status placement.ServerStatus) *SpeedState {
	if !status.HasSpeed {
		return nil
	}
	speed := &status.Speed
	return &SpeedState{
		PrefillTokensPerMS: speed.Rate, BaseMS: speed.BaseMS, StepMS: speed.StepMS + speed.StepMSPerRequest, Work: speed.Work,
		PrefillWeight: speed.Prefill.Weight, PrefillAgeMS: speed.Prefill.Age(now).Milliseconds(),
		StepWeight: speed.Step.Weight, StepAgeMS: speed.Step.Age(now).Milliseconds(), WorkAgeMS: speed.WorkFigure.Age(now).Milliseconds(),
	}
}

// speedReports returns what this instance has measured of the servers' speeds, by service. Services that do not fit are left out.
func (r *Router) speedReports(now time.Time) map[ident.Pool]servermodel.Report {
	reports := make(map[ident.Pool]servermodel.Report)
	servers := 0
	for service, balancer := range r.balancers.all() {
		report, found := balancer.SpeedReport(now)
		if found && servers+len(report.Servers) <= maxSpeedServers {
			reports[service] = report
			servers += len(report.Servers)
		}
	}
	return reports
}

// mergeSpeeds applies what a peer has measured of the servers' speeds.
func (g *gossip) mergeSpeeds(now time.Time, received message) {
	for service, report := range received.Speeds {
		if err := report.Check(); err != nil {
			g.router.journal.Log("peer_report_refused", "peer", received.Process, "err", err)
			return
		}
		g.router.balancers.get(service).MergeSpeeds(now, received.Process, report)
	}
}

func newFalseLoads() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "vanillapond_router_false_loads_total", Help: "Load headers of servers that are unreadable or contradicted by responses, by cause.",
	}, []string{"cause"})
}

// recordFalseLoad counts a false load header, and logs the first of each cause and server.
func (r *Router) recordFalseLoad(server ident.Endpoint, finding servermodel.Finding) {
	r.metrics.falseLoads.WithLabelValues(finding.Cause.String()).Inc()
	if finding.First {
		r.journal.Log("server_load_false", "server", server, "cause", finding.Cause.String())
	}
}

var (
	prefillRateDesc = prometheus.NewDesc("vanillapond_router_prefill_tokens_per_ms",
		"Estimated prefill rates of the servers of a load-aware service, in tokens per millisecond.", []string{"service"}, nil)
	stepDesc = prometheus.NewDesc("vanillapond_router_decode_step_seconds",
		"Estimated durations of a decode step of one running request at the servers of a load-aware service.", []string{"service"}, nil)
	rateBuckets = prometheus.ExponentialBucketsRange(4, 512, 22)
	stepBuckets = prometheus.ExponentialBucketsRange(0.0005, 0.064, 22)
)

// speedCollector exports the estimated speeds of the servers as a histogram over the servers.
type speedCollector struct{ router *Router }

// Describe implements prometheus.Collector.
func (speedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- prefillRateDesc
	descriptions <- stepDesc
}

// Collect implements prometheus.Collector.
func (c speedCollector) Collect(values chan<- prometheus.Metric) {
	now := time.Now()
	for service, balancer := range c.router.balancers.all() {
		var rates, steps []float64
		for _, status := range balancer.ServerStatuses(now) {
			if status.HasSpeed {
				rates = append(rates, status.Speed.Rate)
				steps = append(steps, (status.Speed.StepMS+status.Speed.StepMSPerRequest)/1000)
			}
		}
		if len(rates) > 0 {
			values <- histogramOf(prefillRateDesc, rateBuckets, rates, service)
			values <- histogramOf(stepDesc, stepBuckets, steps, service)
		}
	}
}

func histogramOf(description *prometheus.Desc, bounds, samples []float64, service ident.Pool) prometheus.Metric {
	sum, counts := 0.0, make(map[float64]uint64, len(bounds))
	for _, sample := range samples {
		sum += sample
		for _, bound := range bounds {
			if sample <= bound {
				counts[bound]++
			}
		}
	}
	return prometheus.MustNewConstHistogram(description, uint64(len(samples)), sum, counts, string(service))
}
