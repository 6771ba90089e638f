// Package metrics exports the Prometheus metrics of a process: the results of requests and the events.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"vanillapond/internal/process/event"
	"vanillapond/pkg/ident"
)

// Path is the path at which a process's private listener serves its metrics.
const Path = "/metrics"

// Result is the way in which a request ended.
type Result string

// Results of requests.
const (
	ResultAttained Result = "attained"
	ResultMissed   Result = "missed"
	ResultRefused  Result = "refused"
	ResultFailed   Result = "failed"
)

// Sample describes a request that has ended.
type Sample struct {
	Class    ident.Class
	Customer ident.Customer
	Result   Result
	// Code is the error code of a refused or failed request; empty for served ones.
	Code string
	// FirstByte is the time to the first byte of the response; 0 if there was none.
	FirstByte time.Duration
	// Tokens is the number of tokens generated for the request.
	Tokens ident.Tokens
}

// Config configures Metrics.
type Config struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Metrics holds the metrics of a process.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	goodput   *prometheus.CounterVec
	wasted    *prometheus.CounterVec
	events    *prometheus.CounterVec
	fairness  *fairness
}

// New returns metrics with all counters at zero.
func New(config Config) *Metrics {
	if config.Now == nil {
		config.Now = time.Now
	}
	class := []string{"class"}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_requests_total", Help: "Ended requests by class and result.",
		}, []string{"class", "result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_refusals_total", Help: "Refused and failed requests by class and error code.",
		}, []string{"class", "code"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_first_byte_seconds", Help: "Time to the first byte of served answers.",
			Buckets: prometheus.ExponentialBucketsRange(0.005, 60, 20),
		}, class),
		goodput: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_goodput_tokens_total", Help: "Tokens of answers served within their target.",
		}, class),
		wasted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_wasted_tokens_total", Help: "Tokens of answers that missed their target or broke off.",
		}, class),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_events_total", Help: "Recorded events by name.",
		}, []string{"event"}),
		fairness: newFairness(config.Now),
	}
	m.registry.MustRegister(
		m.requests, m.refusals, m.firstByte, m.goodput, m.wasted, m.events, m.fairness,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Registry returns the registerer for further collectors of the process.
func (m *Metrics) Registry() prometheus.Registerer { return m.registry }

// Handler returns a handler that responds with the metrics in the Prometheus exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge whose value is read each time the metrics are collected.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// CountEvent counts an event by its name.
func (m *Metrics) CountEvent(name event.Name) { m.events.WithLabelValues(string(name)).Inc() }

// CountRequest counts a request that has ended; the class is empty if the request ended before its class was known.
func (m *Metrics) CountRequest(sample Sample) {
	class := string(sample.Class)
	m.requests.WithLabelValues(class, string(sample.Result)).Inc()
	if sample.Code != "" {
		m.refusals.WithLabelValues(class, sample.Code).Inc()
	}
	if sample.FirstByte > 0 {
		m.firstByte.WithLabelValues(class).Observe(sample.FirstByte.Seconds())
	}
	if sample.Result == ResultAttained {
		m.goodput.WithLabelValues(class).Add(float64(sample.Tokens))
	} else {
		m.wasted.WithLabelValues(class).Add(float64(sample.Tokens))
	}
	if sample.Customer != "" {
		m.fairness.observe(sample)
	}
}
