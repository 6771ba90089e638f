package gateway

import (
	"strconv"
	"time"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/ident"
)

// result is how a request ended.
type result struct {
	// headAt is when the head of the answer was written; zero before.
	headAt time.Time
	// endAt is when the whole answer had come; zero before.
	endAt time.Time
	// tokens counts the parts relayed so far, and after the end what the endpoint counted.
	tokens ident.Tokens
	// failure is the final answer where there is no whole one.
	failure *refusal.Error
}

// attained reports whether the request was served within its targets.
func (e *Exchange) attained() bool {
	return !e.result.endAt.IsZero() && e.firstByte() <= e.class.FirstToken() && e.paced()
}

// firstByte returns the time to the first byte of the answer, 0 without one.
func (e *Exchange) firstByte() time.Duration {
	if e.result.headAt.IsZero() {
		return 0
	}
	return e.result.headAt.Sub(e.Started)
}

// figures returns what the time line shows of the request beside its names.
func (e *Exchange) figures() []event.Attribute {
	figures := []event.Attribute{
		{Key: "tier", Value: strconv.Itoa(int(e.class.Tier))},
		{Key: "elapsed_ms", Value: strconv.FormatInt(time.Since(e.Started).Milliseconds(), 10)},
	}
	if e.result.tokens > 0 {
		figures = append(figures, event.Attribute{Key: "tokens", Value: strconv.FormatInt(int64(e.result.tokens), 10)})
	}
	return figures
}

// paced reports whether the tokens came as close together as the class wants them.
func (e *Exchange) paced() bool {
	target := e.class.BetweenTokens()
	if target == 0 || e.result.tokens < 2 {
		return true
	}
	return e.result.endAt.Sub(e.result.headAt) <= target*time.Duration(e.result.tokens-1)
}

// count adds the ended request to the metrics.
func (g *Gateway) count(exchange *Exchange) {
	if exchange.answered {
		return
	}
	sample := metrics.Sample{
		Class: exchange.class.ID, Customer: exchange.customer.ID, Tokens: exchange.result.tokens, FirstByte: exchange.firstByte(),
	}
	failure := exchange.result.failure
	switch {
	case exchange.attained():
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
