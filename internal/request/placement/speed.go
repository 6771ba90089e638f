package placement

import (
	"math"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// What is assumed of engines until their speed has been seen, and how it is learned.
const (
	// defaultRate is the prompt tokens read in a millisecond, on the slow side of present engines.
	defaultRate = 16.0
	// baseLatency is the time to the first event of a short prompt.
	baseLatency = 15 * time.Millisecond
	// minSampleTokens is how many tokens a prompt needs to tell the speed of reading.
	minSampleTokens = 3000
	// maxSamples is how many readings the estimate is taken from, and fastShare the place of the one that is taken in
	// order of speed: work that is not known of makes readings slow, and nothing makes them fast.
	maxSamples   = 61
	rateQuantile = 0.85
	// sensitivePause is the pause below which a stream suffers from long prompts beside it.
	sensitivePause = 220 * time.Millisecond
	// stallFraction is the part of a paced stream's pause that reading prompts may take up.
	stallFraction = 0.75
	// longPromptFraction is the part of a paced stream's pause from which on a prompt is kept off the quiet engines.
	longPromptFraction = 0.3
)

// prefillSpeed is what is known of how fast the engines of a service read prompts.
type prefillSpeed struct {
	// samples are the last readings, in tokens a millisecond.
	samples []float64
	rate    float64
	next    int
	// minPause is the shortest pause that was asked for; 0 before the first.
	minPause time.Duration
}

func newPrefillSpeed() prefillSpeed { return prefillSpeed{rate: defaultRate} }

// observe learns from the first event of a prompt that was read alone.
func (s *prefillSpeed) observe(tokens ident.Tokens, took time.Duration) {
	if tokens < minSampleTokens || took <= baseLatency {
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

// prefillTime returns how long an engine reads tokens.
func (s *prefillSpeed) prefillTime(tokens ident.Tokens) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / s.rate * float64(time.Millisecond))
}

// tokensIn returns what an engine reads in a time.
func (s *prefillSpeed) tokensIn(interval time.Duration) ident.Tokens {
	return ident.Tokens(milliseconds(interval) * s.rate)
}

// base returns the time to the first event besides reading.
func (s *prefillSpeed) base() time.Duration { return baseLatency }

// latencySensitive reports whether a stream with this pause suffers from long prompts beside it.
func (s *prefillSpeed) latencySensitive(pause time.Duration) bool {
	if pause <= 0 || pause > sensitivePause {
		return false
	}
	if s.minPause == 0 || pause < s.minPause {
		s.minPause = pause
	}
	return true
}

// stallLimit returns for how long an engine may read before paced streams are late, in milliseconds; without such streams
// it is endless.
func (s *prefillSpeed) stallLimit() float64 { return s.fractionOfMinPause(stallFraction) }

// longPromptLimit returns for how long a prompt may be read before it disturbs paced streams, together with others like it.
func (s *prefillSpeed) longPromptLimit() float64 { return s.fractionOfMinPause(longPromptFraction) }

func (s *prefillSpeed) fractionOfMinPause(fraction float64) float64 {
	if s.minPause == 0 {
		return math.Inf(1)
	}
	return fraction * milliseconds(s.minPause)
}
