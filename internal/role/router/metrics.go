package router

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/process/table"
	"vanillapond/internal/request/forward"
)

// metrics holds the instance's Prometheus metrics.
type metrics struct {
	registry             *prometheus.Registry
	requests             *prometheus.CounterVec
	refusals             *prometheus.CounterVec
	firstByte            *prometheus.HistogramVec
	duration             *prometheus.HistogramVec
	attempts             *prometheus.CounterVec
	refusedWithFreeSlots *prometheus.CounterVec
	usageEvents          *prometheus.CounterVec
	storeCalls           *prometheus.CounterVec
	storeLatency         *prometheus.HistogramVec
	dials                prometheus.Counter
	announcements        *prometheus.CounterVec
	droppedLines         *prometheus.CounterVec
	suspectEvents        *prometheus.CounterVec
	retries              *prometheus.CounterVec
	quarantineEvents     *prometheus.CounterVec
	crashes              prometheus.Counter
	falseLoads           *prometheus.CounterVec
	healthChanges        *prometheus.CounterVec
	waits                waitMetrics
	balance              balanceMetrics
	holdings             holdingMetrics
}

var retriesRemainingDesc = prometheus.NewDesc("vanillapond_router_repeats_left",
	"Repeats that the entry may make now, by service.", []string{"service"}, nil)

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
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_router_first_byte_seconds", Help: "Time to the first byte for the caller.", Buckets: buckets,
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_router_request_seconds", Help: "Time to the end of a request.", Buckets: buckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_sends_total", Help: "Sends to servers by service and outcome.",
		}, []string{"service", "outcome"}),
		refusedWithFreeSlots: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_refused_beside_free_total", Help: "Refusals while a server had half of its slots free, by service.",
		}, []string{"service"}),
		usageEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_usage_events_total", Help: "What became of usage windows, by event of the log.",
		}, []string{"event"}),
		storeLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vanillapond_router_store_call_seconds", Help: "Time of calls to the platform's store, with the wait for changes.",
			Buckets: buckets,
		}, []string{"call"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_store_calls_total", Help: "Calls to the platform's store by call and outcome.",
		}, []string{"call", "outcome"}),
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "vanillapond_router_dials_total", Help: "New connections to servers.",
		}),
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_server_announcements_total",
			Help: "What servers said about themselves in their responses, by event of the log.",
		}, []string{"event"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_retries_total", Help: "Retries that the budget of their service allowed or refused.",
		}, []string{"service", "outcome"}),
		suspectEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_suspect_events_total", Help: "Losses of servers that count against requests, by event of the log.",
		}, []string{"event"}),
		quarantineEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_quarantine_events_total",
			Help: "Changes of what is known of prompt parts that crash servers, by event of the log.",
		}, []string{"event"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "vanillapond_router_server_crashes_total", Help: "Servers that crashed during requests with prompt parts.",
		}),
		falseLoads: newFalseLoads(),
		droppedLines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vanillapond_router_log_lines_dropped_total", Help: "Log lines that were not written, by event.",
		}, []string{"event"}),
	}
	m.healthChanges = newHealthChanges()
	m.registry.MustRegister(m.requests, m.refusals, m.firstByte, m.duration, m.attempts,
		m.refusedWithFreeSlots, m.usageEvents, m.storeCalls, m.storeLatency, m.dials, m.announcements, m.droppedLines, m.suspectEvents, m.retries,
		m.quarantineEvents, m.crashes, m.falseLoads, m.healthChanges)
	m.registry.MustRegister(retryBudgetCollector{r}, speedCollector{r}, serverHealthCollector{r}, shareCollector{r})
	m.waits = newWaitMetrics(r, m.registry)
	m.balance = newBalanceMetrics(m.registry)
	m.holdings = newHoldingMetrics(r, m.registry)
	for name, read := range r.gauges() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vanillapond_router_" + name, Help: name}, read))
	}
	return m
}

// gauges returns the gauges, by name; they are read on each scrape.
func (r *Router) gauges() map[string]func() float64 {
	return map[string]func() float64{
		"config_version":     func() float64 { return float64(r.configuration.Version()) },
		"config_age_seconds": func() float64 { return r.configAge().Seconds() },
		"store_lost": func() float64 {
			if r.health.storeUnavailable() {
				return 1
			}
			return 0
		},
		"store_era": func() float64 {
			era, _ := r.store.Era()
			return float64(era)
		},
		"servers_age_seconds": func() float64 { return r.serversAge().Seconds() },
		"usage_windows_open":  func() float64 { return float64(r.reporter.UnreportedWindows()) },
		"entries":             func() float64 { return float64(r.peers.FleetSize()) },
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

// metricsHandler serves the metrics and the router's current state.
func (r *Router) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathState, r.serveState)
	return mux
}

func (m *metrics) countUsageEvent(event string) { m.usageEvents.WithLabelValues(event).Inc() }

// retryBudgetCollector exports how many retries each service's budget allows now.
type retryBudgetCollector struct{ router *Router }

// Collect implements prometheus.Collector.
func (c retryBudgetCollector) Collect(values chan<- prometheus.Metric) {
	for service, remaining := range c.router.retriesRemaining(clock.Boot()) {
		values <- prometheus.MustNewConstMetric(retriesRemainingDesc, prometheus.GaugeValue, remaining, string(service))
	}
}

// Describe implements prometheus.Collector.
func (retryBudgetCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- retriesRemainingDesc
}

func (m *metrics) countAnnouncement(event string) { m.announcements.WithLabelValues(event).Inc() }

func (m *metrics) countDial() { m.dials.Inc() }

func (m *metrics) countDroppedLine(event string) { m.droppedLines.WithLabelValues(event).Inc() }

func (m *metrics) observeStoreCall(call string, took time.Duration, err error) {
	m.storeLatency.WithLabelValues(call).Observe(took.Seconds())
	outcome := "ok"
	switch {
	case err == nil:
	case errors.Is(err, table.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, table.ErrHistoryUnavailable):
		outcome = "forgotten"
	case errors.Is(err, table.ErrRefused):
		outcome = "refused"
	default:
		outcome = "unknown"
	}
	m.storeCalls.WithLabelValues(call, outcome).Inc()
}

// observe records an ended request in the metrics and in the log.
func (r *Router) observe(record forward.Record) {
	m := r.metrics
	m.requests.WithLabelValues(record.Route, record.Outcome).Inc()
	if record.Reason != "" {
		m.refusals.WithLabelValues(record.Route, record.Reason).Inc()
	}
	if record.TimeToFirstByte > 0 {
		m.firstByte.WithLabelValues(record.Route).Observe(record.TimeToFirstByte.Seconds())
	}
	m.duration.WithLabelValues(record.Route).Observe(record.Duration.Seconds())
	for _, attempt := range record.Attempts {
		m.attempts.WithLabelValues(string(record.Service), attempt.Outcome).Inc()
		m.balance.observe(record.Service, attempt.Choice.Balance)
	}
	if last := len(record.Attempts) - 1; last >= 0 && record.Attempts[last].Outcome == forward.Unsent &&
		record.Attempts[last].Choice.Free > 0 {
		m.refusedWithFreeSlots.WithLabelValues(string(record.Service)).Inc()
	}
	m.waits.observe(record)
	r.logRequest(record)
}

func (r *Router) logRequest(record forward.Record) {
	pairs := []any{
		"id", record.ID, "route", record.Route, "service", record.Service, "customer", record.Customer, "rank", int(record.Priority),
		"outcome", record.Outcome, "status", record.Status, "reason", record.Reason, "first_ms", record.TimeToFirstByte.Milliseconds(),
		"objective_ms", record.Objective.Milliseconds(),
		"pause_ms", record.LongestPause.Milliseconds(), "max_pause_ms", record.MaxPause.Milliseconds(),
		"took_ms", record.Duration.Milliseconds(), "version", int64(record.Version), "config_age_ms", record.ConfigAge.Milliseconds(),
	}
	if record.ShareFraction > 0 {
		pairs = append(pairs, "share", strconv.FormatFloat(record.ShareFraction, 'f', 2, 64))
	}
	broken := false
	for _, attempt := range record.Attempts {
		pairs = append(pairs,
			"server", attempt.Choice.Server, "software", attempt.Software, "sent", attempt.Outcome, "sent_ms", attempt.Duration.Milliseconds(),
			"usable", attempt.Choice.Usable,
			"expected_ms", attempt.Choice.TimeToFirstEvent.Milliseconds(), "active", attempt.Choice.Load.Active,
			"ahead_ms", attempt.Choice.QueueDelay.Milliseconds(), "load_age_ms", attempt.Choice.FigureAge.Milliseconds(),
			"quiet", attempt.Choice.Reserved,
			"paced", attempt.Choice.Load.LatencySensitive, "uncached", int64(attempt.Choice.Uncached))
		if attempt.Choice.Trial {
			pairs = append(pairs, "trial", true)
		}
		if attempt.Cause != nil {
			broken = true
			pairs = append(pairs, "err", attempt.Cause)
		}
	}
	if broken && len(record.Parts) > 0 {
		pairs = append(pairs, "parts", formatParts(record.Parts))
	}
	if record.QuarantinedPart != 0 {
		pairs = append(pairs, "part", strconv.FormatUint(uint64(record.QuarantinedPart), 16))
	}
	if record.WaitOutcome != "" {
		pairs = append(pairs, "waited_ms", record.Waited.Milliseconds(), "wait", record.WaitOutcome)
	}
	if record.Resumes != "" {
		pairs = append(pairs, "resumes", record.Resumes)
	}
	if record.Key != "" {
		pairs = append(pairs, "key", record.Key, "key_customer", record.Withdrawal.Customer, "withdrawn_version", int64(record.Withdrawal.Version))
	}
	if record.Route == "" {
		pairs = append(pairs, "host", record.Host, "path", record.Path)
	}
	r.journal.LogKind("request_"+record.Outcome, "request", pairs...)
}

// formatParts returns the ids of prompt parts in hexadecimal, separated by commas.
func formatParts(parts []quarantine.Part) string {
	texts := make([]string, len(parts))
	for index, part := range parts {
		texts[index] = strconv.FormatUint(uint64(part), 16)
	}
	return strings.Join(texts, ",")
}

// recordCrash logs and counts the crash of a server.
func (r *Router) recordCrash(server *servers.Server, cause error) {
	r.metrics.crashes.Inc()
	r.journal.Log("server_crashed", "server", server.ID, "service", server.Service, "address", server.Address, "err", cause)
}
