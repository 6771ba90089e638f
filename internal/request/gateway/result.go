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
	// headWrittenAt is when the head of the answer was written; zero before.
	headWrittenAt time.Time
	// completedAt is when the whole answer had come; zero before.
	completedAt time.Time
	// tokens counts the parts relayed so far, and after the end what the endpoint counted.
	tokens ident.Tokens
	// failure is the final answer where there is no whole one.
	failure *refusal.Error
}

// metTargets reports whether the request was served within its targets.
func (e *Exchange) metTargets() bool {
	return !e.result.completedAt.IsZero() && e.timeToFirstByte() <= e.class.FirstToken() && e.metTokenInterval()
}

// timeToFirstByte returns the time to the first byte of the answer, 0 without one.
func (e *Exchange) timeToFirstByte() time.Duration {
	if e.result.headWrittenAt.IsZero() {
		return 0
	}
	return e.result.headWrittenAt.Sub(e.Started)
}

// eventPairs returns what the time line shows of the request beside its names.
func (e *Exchange) eventPairs() []event.Pair {
	pairs := []event.Pair{
		{Key: "tier", Value: strconv.Itoa(int(e.class.Tier))},
		{Key: "elapsed_ms", Value: strconv.FormatInt(time.Since(e.Started).Milliseconds(), 10)},
	}
	if e.result.tokens > 0 {
		pairs = append(pairs, event.Pair{Key: "tokens", Value: strconv.FormatInt(int64(e.result.tokens), 10)})
	}
	return pairs
}

// metTokenInterval reports whether the tokens came as close together as the class wants them.
func (e *Exchange) metTokenInterval() bool {
	target := e.class.BetweenTokens()
	if target == 0 || e.result.tokens < 2 {
		return true
	}
	return e.result.completedAt.Sub(e.result.headWrittenAt) <= target*time.Duration(e.result.tokens-1)
}

// recordMetrics adds the ended request to the metrics.
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
	g.config.Metrics.Ended(sample)
}
