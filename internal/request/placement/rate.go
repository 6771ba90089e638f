package placement

import (
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

const (
	// maxServerSamples is the number of samples kept per server, and priorSamples the number of samples that the service's rate counts as, so that a
	// single slow response does not make a server slow.
	maxServerSamples = 9
	priorSamples     = 2
	// minRateFactor and maxRateFactor bound a server's rate relative to that of its service.
	minRateFactor = 0.25
	maxRateFactor = 4
)

// serverRate estimates the prefill rate of one server from the prefills that this instance has seen complete there.
type serverRate struct {
	// samples are the last maxServerSamples measured rates in tokens per millisecond; the first count of them are valid.
	samples [maxServerSamples]float64
	count   int
	// next is the index that the next sample is written to.
	next int
	// rate is rateQuantile of the samples; 0 without samples.
	rate float64
}

// observe adds a sample: the time to the first event of a prompt that the server prefilled without others known ahead of it.
func (r *serverRate) observe(tokens ident.Tokens, took time.Duration) {
	if tokens < minLoadAwareTokens || took <= baseLatency {
		return
	}
	r.samples[r.next] = float64(tokens) / milliseconds(took-baseLatency)
	r.next = (r.next + 1) % maxServerSamples
	r.count = min(r.count+1, maxServerSamples)
	sorted := slices.Sorted(slices.Values(r.samples[:r.count]))
	r.rate = sorted[int(rateQuantile*float64(r.count-1))]
}

// rateOf returns the prefill rate of a server in tokens per millisecond; that of the service unless it is load-aware.
func (b *Balancer) rateOf(known *server) float64 {
	own := &known.figures.rate
	if own.count == 0 || !b.settings.LoadAware {
		return b.speed.rate
	}
	mean := (priorSamples*b.speed.rate + float64(own.count)*own.rate) / float64(priorSamples+own.count)
	return min(max(mean, minRateFactor*b.speed.rate), maxRateFactor*b.speed.rate)
}

// prefillTimeAt returns how long a server takes to prefill tokens.
func (b *Balancer) prefillTimeAt(known *server, tokens ident.Tokens) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / b.rateOf(known) * float64(time.Millisecond))
}
