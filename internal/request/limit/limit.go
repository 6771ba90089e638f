// Package limit enforces each customer's limits on request rate, concurrency and tokens per window.
//
// Entries, the processes that accept callers' requests, do not coordinate per request: each enforces the limit divided by the
// number of live entries.
package limit

import (
	"time"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// burstDuration is how long the unused part of a customer's rate accumulates; it bounds the customer's bursts.
const burstDuration = time.Second

// concurrencyRetryAfter is the time to retry after for a customer with too many requests in flight.
const concurrencyRetryAfter = time.Second

// Reason names the limit that a request would exceed.
type Reason string

// Limits of a customer.
const (
	Rate        Reason = "requests_per_second"
	Concurrency Reason = "concurrency"
	Tokens      Reason = "tokens_per_window" //nolint:gosec // The name of a limit.
)

// Refusal is the refusal of a request that would exceed a limit, with the time to retry after.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter tracks the usage of all customers at this entry. It reads no clock and is not safe for concurrent use: the caller
// passes the time and serializes calls.
type Limiter struct {
	customers map[ident.Customer]*usage
}

// usage is the usage of one customer.
type usage struct {
	// allowance is the level of the rate's token bucket, in requests; at most the burst.
	allowance float64
	// updatedAt is when allowance was last updated.
	updatedAt time.Time
	active    int
	// window is the billing window of the last update, and spent the tokens used in it so far.
	window ident.Window
	spent  ident.Tokens
}

// Request describes a request, with the limits of its customer.
type Request struct {
	Customer ident.Customer
	Limits   configuration.Limits
	// Entries is the number of entries that share the limits; at least 1.
	Entries int
	// WindowSeconds is the length of a billing window.
	WindowSeconds int64
}

// New returns a limiter without usage.
func New() *Limiter { return &Limiter{customers: make(map[ident.Customer]*usage)} }

// Acquire admits a request or returns a refusal. Each admitted request must be passed to Release when it ends.
func (l *Limiter) Acquire(now time.Time, request Request) *Refusal {
	used := l.usage(request.Customer)
	used.rollWindow(now, request.WindowSeconds)
	entries := max(request.Entries, 1)
	if limit := request.Limits.TokensPerWindow; limit > 0 && used.spent >= (limit+ident.Tokens(entries)-1)/ident.Tokens(entries) {
		return &Refusal{Reason: Tokens, RetryAfter: untilNextWindow(now, request.WindowSeconds)}
	}
	if limit := request.Limits.Concurrency; limit > 0 && used.active >= (limit+entries-1)/entries {
		return &Refusal{Reason: Concurrency, RetryAfter: concurrencyRetryAfter}
	}
	if limit := request.Limits.RequestsPerSecond; limit > 0 {
		if refusal := used.acquireRate(now, float64(limit)/float64(entries)); refusal != nil {
			return refusal
		}
	}
	used.active++
	return nil
}

// Release ends a request and counts its tokens in the window in which it ends.
func (l *Limiter) Release(now time.Time, request Request, spent ident.Tokens) {
	used := l.usage(request.Customer)
	used.rollWindow(now, request.WindowSeconds)
	used.active--
	used.spent += spent
}

func (l *Limiter) usage(customer ident.Customer) *usage {
	found := l.customers[customer]
	if found == nil {
		found = new(usage)
		l.customers[customer] = found
	}
	return found
}

// rollWindow resets the token count when a new billing window has begun.
func (u *usage) rollWindow(now time.Time, length int64) {
	if window := ident.Window(now.Unix() / max(length, 1)); window != u.window {
		u.window = window
		u.spent = 0
	}
}

// acquireRate takes one request from the token bucket of the rate, or returns a refusal.
func (u *usage) acquireRate(now time.Time, rate float64) *Refusal {
	burst := max(rate*burstDuration.Seconds(), 1)
	if u.updatedAt.IsZero() {
		u.allowance = burst
	} else {
		u.allowance = min(u.allowance+rate*now.Sub(u.updatedAt).Seconds(), burst)
	}
	u.updatedAt = now
	if u.allowance < 1 {
		return &Refusal{Reason: Rate, RetryAfter: time.Duration((1 - u.allowance) / rate * float64(time.Second))}
	}
	u.allowance--
	return nil
}

// untilNextWindow returns the time to the next billing window.
func untilNextWindow(now time.Time, length int64) time.Duration {
	length = max(length, 1)
	next := time.Unix((now.Unix()/length+1)*length, 0)
	return next.Sub(now)
}
