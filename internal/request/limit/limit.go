// Package limit holds customers to their rate, concurrency and tokens in a window, by this entry's share of each.
//
// Entries ask nobody for a request: each takes the limit divided by the number of live entries.
package limit

import (
	"time"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// burstTime is how much unused rate a customer may save up.
const burstTime = time.Second

// concurrencyRetry is when coming back may help a customer with too many open requests.
const concurrencyRetry = time.Second

// Reason says which limit a request would break.
type Reason string

// Limits of a customer.
const (
	Rate        Reason = "requests_per_second"
	Concurrency Reason = "concurrency"
	Tokens      Reason = "tokens_per_window" //nolint:gosec // The name of a limit.
)

// Refusal says which limit is used up and when coming back may help.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter holds what customers use at this entry; the caller gives the time and holds the lock.
type Limiter struct {
	customers map[ident.Customer]*usage
}

// usage is one customer's part of the table.
type usage struct {
	// allowance is what is left of the rate, in requests; never above the burst.
	allowance float64
	// asOf is the time of allowance.
	asOf time.Time
	open int
	// window is the billing window of spent, in tokens.
	window ident.Window
	spent  ident.Tokens
}

// Request is one request that wants to start.
type Request struct {
	Customer ident.Customer
	Limits   configuration.Limits
	// Instances is how many entries share the limits; at least 1.
	Instances int
	// WindowSeconds is the length of a billing window.
	WindowSeconds int64
}

// New returns an empty table.
func New() *Limiter { return &Limiter{customers: make(map[ident.Customer]*usage)} }

// Acquire opens a request, or returns the refusal; an opened one must be Returned.
func (t *Limiter) Acquire(now time.Time, ask Request) *Refusal {
	used := t.usage(ask.Customer)
	used.turn(now, ask.WindowSeconds)
	entries := max(ask.Instances, 1)
	if limit := ask.Limits.TokensPerWindow; limit > 0 && used.spent >= (limit+ident.Tokens(entries)-1)/ident.Tokens(entries) {
		return &Refusal{Reason: Tokens, RetryAfter: untilWindow(now, ask.WindowSeconds)}
	}
	if limit := ask.Limits.Concurrency; limit > 0 && used.open >= (limit+entries-1)/entries {
		return &Refusal{Reason: Concurrency, RetryAfter: concurrencyRetry}
	}
	if limit := ask.Limits.RequestsPerSecond; limit > 0 {
		if refusal := used.pass(now, float64(limit)/float64(entries)); refusal != nil {
			return refusal
		}
	}
	used.open++
	return nil
}

// Release closes a request and counts its tokens in the window in which it ends.
func (t *Limiter) Release(now time.Time, ask Request, spent ident.Tokens) {
	used := t.usage(ask.Customer)
	used.turn(now, ask.WindowSeconds)
	used.open--
	used.spent += spent
}

func (t *Limiter) usage(customer ident.Customer) *usage {
	found := t.customers[customer]
	if found == nil {
		found = new(usage)
		t.customers[customer] = found
	}
	return found
}

// turn starts the count of a new window.
func (u *usage) turn(now time.Time, length int64) {
	if window := ident.Window(now.Unix() / max(length, 1)); window != u.window {
		u.window = window
		u.spent = 0
	}
}

// pass takes one request from the rate.
func (u *usage) pass(now time.Time, rate float64) *Refusal {
	burst := max(rate*burstTime.Seconds(), 1)
	if u.asOf.IsZero() {
		u.allowance = burst
	} else {
		u.allowance = min(u.allowance+rate*now.Sub(u.asOf).Seconds(), burst)
	}
	u.asOf = now
	if u.allowance < 1 {
		return &Refusal{Reason: Rate, RetryAfter: time.Duration((1 - u.allowance) / rate * float64(time.Second))}
	}
	u.allowance--
	return nil
}

// untilWindow returns the time to the next billing window.
func untilWindow(now time.Time, length int64) time.Duration {
	length = max(length, 1)
	next := time.Unix((now.Unix()/length+1)*length, 0)
	return next.Sub(now)
}
