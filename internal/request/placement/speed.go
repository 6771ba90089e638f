package placement

import (
	"math"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// Estimation of the engines' prefill speed.
const (
	// defaultRate is the prefill rate assumed before the first sample, in tokens per millisecond; it is at the slow end of
	// current engines.
	defaultRate = 16.0
	// baseLatency is the time to the first event of a short prompt.
	baseLatency = 15 * time.Millisecond
	// loadAwareRate replaces defaultRate at load-aware services. It is at the fast end, because a rate that is too low makes the first requests be refused
	// as late, and one that is too high is corrected by the first response.
	loadAwareRate = 64.0
	// minSampleTokens is the minimum length of a prompt whose prefill is used as a sample, and minLoadAwareTokens that of load-aware services, whose
	// prompts may all be short.
	minSampleTokens    = 3000
	minLoadAwareTokens = 1000
	// maxSamples is the number of samples kept, and rateQuantile the quantile of them that is used as the rate. It is high
	// because load that this instance does not know of makes samples too slow, and nothing makes them too fast.
	maxSamples   = 61
	rateQuantile = 0.85
	// sensitivePause is the largest MaxPause of a stream that counts as latency-sensitive, one that a long prefill on its
	// engine makes late.
	sensitivePause = 220 * time.Millisecond
	// stallFraction is the fraction of a stream's MaxPause that prefills may take up.
	stallFraction = 0.75
	// longPromptFraction is the prefill duration, as a fraction of the shortest MaxPause, above which prompts are kept off the
	// reserved engines.
	longPromptFraction = 0.3
)

// prefillSpeed estimates how fast the engines of a service prefill prompts.
type prefillSpeed struct {
	// samples are the last measured rates, in tokens per millisecond, and next is the index of the oldest once there are
	// maxSamples.
	samples []float64
	// rate is the estimate, in tokens per millisecond.
	rate float64
	next int
	// minPause is the shortest MaxPause of any latency-sensitive stream so far; 0 before the first.
	minPause time.Duration
	// maxSensitivePause is the longest MaxPause of a stream that counts as latency-sensitive.
	maxSensitivePause time.Duration
	// minTokens is the minimum length of a prompt whose prefill is used as a sample.
	minTokens ident.Tokens
}

func newPrefillSpeed() prefillSpeed {
	return prefillSpeed{rate: defaultRate, maxSensitivePause: sensitivePause, minTokens: minSampleTokens}
}

// configure applies the settings of the service; the samples so far stay.
func (s *prefillSpeed) configure(settings Settings) {
	s.maxSensitivePause, s.minTokens, s.minPause = sensitivePause, minSampleTokens, 0
	prior := defaultRate
	if settings.LoadAware {
		s.maxSensitivePause, s.minTokens, prior = settings.ShortestPause, minLoadAwareTokens, loadAwareRate
	}
	if len(s.samples) == 0 {
		s.rate = prior
	}
}

// observe adds a sample: the time to the first event of a prompt that the engine prefilled without others ahead of it.
func (s *prefillSpeed) observe(tokens ident.Tokens, took time.Duration) {
	if tokens < s.minTokens || took <= baseLatency {
		return
	}
	rate := float64(tokens) / milliseconds(took-baseLatency)
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, rate)
	} else {
		s.samples[s.next] = rate
		s.next = (s.next + 1) % maxSamples
	}
	sorted := slices.Sorted(slices.Values(s.samples))
	s.rate = max(sorted[int(rateQuantile*float64(len(sorted)-1))], 1)
}

// tokensIn returns how many tokens an engine prefills in an interval.
func (s *prefillSpeed) tokensIn(interval time.Duration) ident.Tokens {
	return ident.Tokens(milliseconds(interval) * s.rate)
}

// base returns the time to the first event without the prefill.
func (s *prefillSpeed) base() time.Duration { return baseLatency }

// latencySensitive reports whether a long prefill on the engine of a stream with this MaxPause makes the stream late, and
// updates minPause.
func (s *prefillSpeed) latencySensitive(pause time.Duration) bool {
	if pause <= 0 || pause > s.maxSensitivePause {
		return false
	}
	if s.minPause == 0 || pause < s.minPause {
		s.minPause = pause
	}
	return true
}

// stallLimit returns the longest prefill, in milliseconds, that does not make latency-sensitive streams late; infinity
// without such streams.
func (s *prefillSpeed) stallLimit() float64 { return s.fractionOfMinPause(stallFraction) }

// longPromptLimit returns the longest prefill, in milliseconds, that is allowed on reserved engines. It is below
// stallLimit because several such prefills together can make a stream late.
func (s *prefillSpeed) longPromptLimit() float64 { return s.fractionOfMinPause(longPromptFraction) }

func (s *prefillSpeed) fractionOfMinPause(fraction float64) float64 {
	if s.minPause == 0 {
		return math.Inf(1)
	}
	return fraction * milliseconds(s.minPause)
}
