// Package metrics counts what the system answers for.
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

// Path is where a process's private listener gives its counters.
const Path = "/metrics"

// Result says how a request ended.
type Result string

// Results of requests.
const (
	ResultAttained Result = "attained"
	ResultMissed   Result = "missed"
	ResultRefused  Result = "refused"
	ResultFailed   Result = "failed"
)

// Sample is one ended request.
type Sample struct {
	Class    ident.Class
	Customer ident.Customer
	Result   Result
	// Code says why a request was refused or failed; empty for served ones.
	Code string
	// FirstByte is the time to the first byte of the answer; 0 for none.
	FirstByte time.Duration
	// Tokens is what was generated for the request.
	Tokens ident.Tokens
}

// Config says what is counted.
type Config struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Metrics holds the counters of one process.
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

// New returns counters at zero.
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

// Registry takes further collectors of the process.
func (m *Metrics) Registry() prometheus.Registerer { return m.registry }

// Handler answers with the counters in the exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge that is read when the counters are asked for.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// CountEvent counts one event of the process.
func (m *Metrics) CountEvent(name event.Name) { m.events.WithLabelValues(string(name)).Inc() }

// CountRequest counts one ended request; without a class nothing is known to count it by.
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
