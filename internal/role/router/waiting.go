package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/waiting"
	"vanillapond/pkg/ident"
)

// waitMetrics are the metrics of the requests that wait for capacity.
type waitMetrics struct {
	outcomes *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

var waitingDesc = prometheus.NewDesc("vanillapond_router_waiting", "Requests that wait for capacity now, by service.", []string{"service"}, nil)

func newWaitMetrics(r *Router, registry *prometheus.Registry) waitMetrics {
	m := waitMetrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_waits_total", Help: "Requests that waited for capacity or were to wait, by service and outcome.",
		}, []string{"service", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_router_wait_seconds", Help: "Time for which requests waited for capacity.",
			Buckets: prometheus.ExponentialBucketsRange(0.001, 1, 11),
		}, []string{"service"}),
	}
	registry.MustRegister(m.outcomes, m.seconds, waitingCollector{r})
	return m
}

// observe records the wait of an ended request.
func (m waitMetrics) observe(record forward.Record) {
	if record.WaitOutcome == "" {
		return
	}
	m.outcomes.WithLabelValues(string(record.Service), string(record.WaitOutcome)).Inc()
	if record.Waited > 0 {
		m.seconds.WithLabelValues(string(record.Service)).Observe(record.Waited.Seconds())
	}
}

// waitingCollector exports how many requests wait.
type waitingCollector struct{ router *Router }

// Collect implements prometheus.Collector.
func (c waitingCollector) Collect(values chan<- prometheus.Metric) {
	for service, queue := range c.router.waiting.all() {
		values <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(queue.Len()), string(service))
	}
}

// Describe implements prometheus.Collector.
func (waitingCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- waitingDesc }

// newWaiting returns the queue of a service that has got its first request, or of which a peer has told.
func (r *Router) newWaiting(ident.Pool) *waiting.Controller {
	queue := &waiting.Controller{}
	if r.health.draining.Load() {
		queue.Stop()
	}
	return queue
}

// recheckWaiting has the waiting requests checked again, because keys, routes or servers have changed.
func (r *Router) recheckWaiting() {
	for _, queue := range r.waiting.all() {
		queue.Recheck()
	}
}

// stopWaiting refuses the waiting requests as not run; from now on none waits.
func (r *Router) stopWaiting() {
	for _, queue := range r.waiting.all() {
		queue.Stop()
	}
}
