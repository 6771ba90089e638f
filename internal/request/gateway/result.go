package gateway

import (
	"strconv"
	"time"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/ident"
)

// result describes how a request ended.
type result struct {
	// headWrittenAt is when the head of the response was written to the caller; zero until then.
	headWrittenAt time.Time
	// completedAt is when the response was complete; zero until then.
	completedAt time.Time
	// tokens is the number of data frames relayed so far, and after the end the number of tokens that the endpoint reported.
	tokens ident.Tokens
	// failure is the refusal of a request without a complete response.
	failure *refusal.Error
}

// metTargets reports whether the request got a complete response within the latency targets of its class.
func (e *Exchange) metTargets() bool {
	return !e.result.completedAt.IsZero() && e.timeToFirstByte() <= e.class.FirstToken() && e.metTokenInterval()
}

// timeToFirstByte returns the time from the start of the request to the first byte of its response, 0 if there is none.
func (e *Exchange) timeToFirstByte() time.Duration {
	if e.result.headWrittenAt.IsZero() {
		return 0
	}
	return e.result.headWrittenAt.Sub(e.Started)
}

// eventAttributes returns the attributes that are recorded with the request's events.
func (e *Exchange) eventAttributes() []event.Attribute {
	attributes := []event.Attribute{
		{Key: "tier", Value: strconv.Itoa(int(e.class.Tier))},
		{Key: "elapsed_ms", Value: strconv.FormatInt(time.Since(e.Started).Milliseconds(), 10)},
	}
	if e.result.tokens > 0 {
		attributes = append(attributes, event.Attribute{Key: "tokens", Value: strconv.FormatInt(int64(e.result.tokens), 10)})
	}
	return attributes
}

// metTokenInterval reports whether the mean time between tokens is within the target of the class.
func (e *Exchange) metTokenInterval() bool {
	target := e.class.BetweenTokens()
	if target == 0 || e.result.tokens < 2 {
		return true
	}
	return e.result.completedAt.Sub(e.result.headWrittenAt) <= target*time.Duration(e.result.tokens-1)
}

// recordMetrics adds an ended request to the metrics.
func (g *Gateway) recordMetrics(exchange *Exchange) {
	if exchange.responded {
		return
	}
	sample := metrics.Sample{
		Class: exchange.class.ID, Customer: exchange.customer.ID, Tokens: exchange.result.tokens, FirstByte: exchange.timeToFirstByte(),
	}
	failure := exchange.result.failure
	switch {
	case exchange.metTargets():
		sample.Result = metrics.ResultAttained
	case failure == nil:
		sample.Result = metrics.ResultMissed
	case failure.NotRun:
		sample.Result = metrics.ResultRefused
	default:
		sample.Result = metrics.ResultFailed
	}
	if failure != nil {
		sample.Code = string(failure.Code)
	}
	g.config.Metrics.CountRequest(sample)
}
