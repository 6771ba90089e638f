package placement

import (
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

const (
	// maxServerSamples is the number of samples kept per server, and priorSamples the number of samples that the mean of the service counts as, so that a
	// single slow response does not make a server slow.
	maxServerSamples = 9
	priorSamples     = 2
	// minRateFactor and maxRateFactor bound a server's rate relative to that of its service.
	minRateFactor = 0.25
	maxRateFactor = 4
)

// serverRate estimates the prefill rate of one server from the prefills that this instance has seen complete there.
type serverRate struct {
	// rate is rateQuantile of the samples; 0 without samples.
	rate float64
	// count is the number of valid samples, the first ones.
	count int
	// next is the index that the next sample is written to.
	next int
	// samples are the last measured rates in tokens per millisecond.
	samples [maxServerSamples]float64
}

// observe adds a sample: the time in which the server prefilled tokens.
func (r *serverRate) observe(tokens ident.Tokens, took time.Duration) {
	r.samples[r.next] = float64(tokens) / milliseconds(took-baseLatency)
	r.next = (r.next + 1) % maxServerSamples
	r.count = min(r.count+1, maxServerSamples)
	sorted := slices.Sorted(slices.Values(r.samples[:r.count]))
	r.rate = sorted[int(rateQuantile*float64(r.count-1))]
}

// observeRate uses the first event of a request as a sample of its server's rate; the caller holds mu. The prompts that were ahead count with backlogWeight,
// because part of them was prefilled before the request arrived: otherwise servers with a backlog, the slow ones above all, would have no samples.
func (b *Balancer) observeRate(attempt *Attempt, now time.Time) {
	tokens := attempt.unsharedTokens + ident.Tokens(backlogWeight*float64(attempt.aheadTokens))
	took := now.Sub(attempt.sentAt)
	if !b.settings.LoadAware || tokens < minLoadAwareTokens || took <= baseLatency {
		return
	}
	attempt.server.figures.rate.observe(tokens, took)
	sum, count := 0.0, 0
	for _, known := range b.members {
		if known.figures.rate.count > 0 {
			sum += known.figures.rate.rate
			count++
		}
	}
	b.estimates.meanRate = sum / float64(max(count, 1))
}

// rateOf returns the prefill rate of a server in tokens per millisecond; that of the service unless it is load-aware. A server without samples is assumed to have
// the mean rate of the others, since the rate of the service is one that the slower servers do not reach.
func (b *Balancer) rateOf(known *server) float64 {
	if !b.settings.LoadAware || b.estimates.meanRate <= 0 {
		return b.speed.rate
	}
	own, mean := &known.figures.rate, b.estimates.meanRate
	if own.count == 0 {
		return mean
	}
	rate := (priorSamples*mean + float64(own.count)*own.rate) / float64(priorSamples+own.count)
	return min(max(rate, minRateFactor*mean), maxRateFactor*mean)
}

// prefillTimeAt returns how long a server takes to prefill tokens.
func (b *Balancer) prefillTimeAt(known *server, tokens ident.Tokens) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / b.rateOf(known) * float64(time.Millisecond))
}
