package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/process/holdings"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// probeLimits bound what the clients of the listeners for readiness and metrics hold.
var probeLimits = holdings.Limits{Bytes: 4 << 20, Largest: 1 << 20, Connections: 64}

// callerLimits returns the limits of what callers hold, from the memory and the sockets of the process.
func callerLimits(settings platform.Settings) holdings.Limits {
	return holdings.NewLimits(holdings.Bytes(settings.MemoryLimit), settings.MaxSockets)
}

func (r *Router) newHoldings(limits holdings.Limits) *holdings.Account {
	return holdings.New(holdings.Config{Limits: limits, Observe: r.observeHolding})
}

// observeTooLong counts and logs a response that was given up because a head or an event of it did not end.
func (r *Router) observeTooLong(server ident.Endpoint) {
	const name = "response_too_long"
	r.metrics.holdings.ended.WithLabelValues(string(holdings.Response), name).Inc()
	r.journal.Log(name, "server", server)
}

// observeHolding counts and logs what had to go, or got no room.
func (r *Router) observeHolding(event holdings.Event) {
	name := event.Name()
	r.metrics.holdings.ended.WithLabelValues(string(event.Kind), name).Inc()
	r.journal.LogKind(name+"_"+string(event.Kind), name, "kind", event.Kind, "peer", event.Peer, "held_bytes", int64(event.Held),
		"age_ms", event.Age.Milliseconds(), "still_ms", event.Still.Milliseconds())
}

// observeRefusedHead counts and logs a refused header.
func (r *Router) observeRefusedHead(peer string, status, bytes int) {
	r.metrics.holdings.ended.WithLabelValues("head", "head_refused").Inc()
	r.journal.Log("head_refused", "peer", peer, "status", status, "bytes", bytes)
}

// holdingMetrics are the metrics of what callers hold.
type holdingMetrics struct{ ended *prometheus.CounterVec }

func newHoldingMetrics(r *Router, registry prometheus.Registerer) holdingMetrics {
	m := holdingMetrics{ended: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "vanillapond_router_caller_limits_total", Help: "Connections, heads, bodies and responses that had to go, got no room or did not end, by kind and event of the log.",
	}, []string{"kind", "event"})}
	registry.MustRegister(m.ended)
	for name, gauge := range map[string]struct {
		help string
		read func() float64
	}{
		"caller_bytes":             {"Bytes that callers hold.", func() float64 { return float64(r.callers.Bytes()) }},
		"caller_bytes_limit":       {"Bytes that callers may hold.", func() float64 { return float64(r.callers.Limits().Bytes) }},
		"response_bytes":           {"Bytes that are kept of responses.", func() float64 { return float64(r.responses.Bytes()) }},
		"response_bytes_limit":     {"Bytes that may be kept of responses.", func() float64 { return float64(r.responses.Limits().Bytes) }},
		"caller_connections":       {"Open connections of callers.", func() float64 { return float64(r.callers.Connections()) }},
		"caller_connections_limit": {"Connections that callers may have open.", func() float64 { return float64(r.callers.Limits().Connections) }},
	} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vanillapond_router_" + name, Help: gauge.help}, gauge.read))
	}
	return m
}
