package router

import (
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"vanillapond/internal/process/table"
	"vanillapond/internal/request/forward"
)

// metrics counts what the router answers for.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	first    *prometheus.HistogramVec
	took     *prometheus.HistogramVec
	sends    *prometheus.CounterVec
	store    *prometheus.CounterVec
	dials    prometheus.Counter
	drops    *prometheus.CounterVec
}

func newMetrics(r *Router) *metrics {
	buckets := prometheus.ExponentialBucketsRange(0.005, 30, 16)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_requests_total", Help: "Ended requests by route and outcome.",
		}, []string{"route", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_unserved_total", Help: "Requests that were not served, by route and reason.",
		}, []string{"route", "reason"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_router_first_byte_seconds", Help: "Time to the first byte for the caller.", Buckets: buckets,
		}, []string{"route"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_router_request_seconds", Help: "Time to the end of a request.", Buckets: buckets,
		}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_sends_total", Help: "Sends to servers by service and outcome.",
		}, []string{"service", "outcome"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_store_calls_total", Help: "Calls to the platform's store by call and outcome.",
		}, []string{"call", "outcome"}),
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "vanillapond_router_dials_total", Help: "New connections to servers.",
		}),
		drops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_log_lines_dropped_total", Help: "Log lines that were not written, by event.",
		}, []string{"event"}),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.first, m.took, m.sends, m.store, m.dials, m.drops)
	for name, read := range r.gauges() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vanillapond_router_" + name, Help: name}, read))
	}
	return m
}

// gauges are read when the counters are asked for.
func (r *Router) gauges() map[string]func() float64 {
	return map[string]func() float64{
		"config_version":     func() float64 { return float64(r.current.Version()) },
		"config_age_seconds": func() float64 { return r.configAge().Seconds() },
		"entries":            func() float64 { return float64(r.peers.Fleet()) },
		"servers_ready": func() float64 {
			_, ready := r.servers.Counts()
			return float64(ready)
		},
		"lease_fence": func() float64 {
			fence, _, held := r.lease.Held()
			if !held {
				return 0
			}
			return float64(fence)
		},
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) dialed() { m.dials.Inc() }

func (m *metrics) dropped(kind string) { m.drops.WithLabelValues(kind).Inc() }

func (m *metrics) storeCall(call string, err error) {
	outcome := "ok"
	switch {
	case err == nil:
	case errors.Is(err, table.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, table.ErrForgotten):
		outcome = "forgotten"
	case errors.Is(err, table.ErrRefused):
		outcome = "refused"
	default:
		outcome = "unknown"
	}
	m.store.WithLabelValues(call, outcome).Inc()
}

// observe counts and logs an ended request.
func (r *Router) observe(record forward.Record) {
	m := r.metrics
	m.requests.WithLabelValues(record.Route, record.Outcome).Inc()
	if record.Reason != "" {
		m.refusals.WithLabelValues(record.Route, record.Reason).Inc()
	}
	if record.First > 0 {
		m.first.WithLabelValues(record.Route).Observe(record.First.Seconds())
	}
	m.took.WithLabelValues(record.Route).Observe(record.Took.Seconds())
	for _, send := range record.Sends {
		m.sends.WithLabelValues(string(record.Service), send.Outcome).Inc()
	}
	r.logRequest(record)
}

func (r *Router) logRequest(record forward.Record) {
	pairs := []any{
		"id", record.ID, "route", record.Route, "service", record.Service, "customer", record.Customer, "rank", int(record.Rank),
		"outcome", record.Outcome, "status", record.Status, "reason", record.Reason, "first_ms", record.First.Milliseconds(),
		"objective_ms", record.Objective.Milliseconds(),
		"pause_ms", record.Pause.Milliseconds(), "max_pause_ms", record.MaxPause.Milliseconds(), "took_ms", record.Took.Milliseconds(), "version", int64(record.Version), "config_age_ms", record.ConfigAge.Milliseconds(),
	}
	for _, send := range record.Sends {
		pairs = append(pairs,
			"server", send.Choice.Server, "sent", send.Outcome, "sent_ms", send.Took.Milliseconds(), "usable", send.Choice.Usable,
			"expected_ms", send.Choice.Wait.Milliseconds(), "active", send.Choice.Work.Active, "ahead_ms", send.Choice.Ahead.Milliseconds(), "quiet", send.Choice.Quiet,
			"paced", send.Choice.Work.Paced, "uncached", int64(send.Choice.Uncached))
	}
	r.journal.Log("request", pairs...)
}
