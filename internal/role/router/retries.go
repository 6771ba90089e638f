package router

import (
	"vanillapond/internal/connection/socket"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/request/retry"
	"vanillapond/pkg/ident"
)

// newRetryBudget returns the retry budget of a service.
func (r *Router) newRetryBudget(service ident.Pool) *retry.Budget {
	bounds := r.settings.Bounds
	return retry.New(retry.Config{
		Ratio: retryFraction * bounds.RetryRatio, Extra: retryFraction * bounds.RetryExtra, Window: bounds.RetryWindow,
		MaxDelay: socket.UnackedTimeout, Share: func() float64 { return r.peers.Share().Fraction() }, Start: r.startedAt,
		OnDecision: func(decision retry.Decision) { r.recordRetryDecision(service, decision) },
	})
}

// recordRetryDecision counts a retry that was allowed or not, and logs when a budget gets used up.
func (r *Router) recordRetryDecision(service ident.Pool, decision retry.Decision) {
	outcome := "allowed"
	if !decision.Allowed {
		outcome = "refused"
	}
	r.metrics.retries.WithLabelValues(string(service), outcome).Inc()
	if decision.UsedUp {
		r.journal.Log("retry_budget_used_up", "service", service, "requests", decision.Requests, "retries", decision.Retries,
			"instances", r.instances(), "up_ms", clock.Boot().Sub(r.startedAt).Milliseconds())
	}
}

// retriesRemaining returns how many retries the budget allows now, by service.
func (r *Router) retriesRemaining(now clock.Reading) map[ident.Pool]float64 {
	remaining := make(map[ident.Pool]float64)
	for service, budget := range r.retryBudgets.all() {
		remaining[service] = budget.Remaining(now)
	}
	return remaining
}
