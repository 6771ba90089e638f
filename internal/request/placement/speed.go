package placement

import (
	"math"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// What is assumed of engines until their speed has been seen, and how it is learned.
const (
	// firstRate is the prompt tokens read in a millisecond, on the slow side of present engines.
	firstRate = 16.0
	// firstBase is the time to the first event of a short prompt.
	firstBase = 15 * time.Millisecond
	// minSample is how many tokens a prompt needs to tell the speed of reading.
	minSample = 3000
	// samplesKept is how many readings the estimate is taken from, and fastShare the place of the one that is taken in
	// order of speed: work that is not known of makes readings slow, and nothing makes them fast.
	samplesKept = 61
	fastShare   = 0.85
	// pacedPause is the pause below which a stream suffers from long prompts beside it.
	pacedPause = 220 * time.Millisecond
	// stallShare is the part of a paced stream's pause that reading prompts may take up.
	stallShare = 0.75
	// loudShare is the part of a paced stream's pause from which on a prompt is kept off the quiet engines.
	loudShare = 0.3
)

// speed is what is known of how fast the engines of a service read prompts.
type speed struct {
	// rates are the last readings, in tokens a millisecond.
	rates []float64
	rate  float64
	next  int
	// tightest is the shortest pause that was asked for; 0 before the first.
	tightest time.Duration
}

func newSpeed() speed { return speed{rate: firstRate} }

// observe learns from the first event of a prompt that was read alone.
func (s *speed) observe(tokens ident.Tokens, took time.Duration) {
	if tokens < minSample || took <= firstBase {
		return
	}
	rate := float64(tokens) / milliseconds(took-firstBase)
	if len(s.rates) < samplesKept {
		s.rates = append(s.rates, rate)
	} else {
		s.rates[s.next] = rate
		s.next = (s.next + 1) % samplesKept
	}
	sorted := slices.Sorted(slices.Values(s.rates))
	s.rate = max(sorted[int(fastShare*float64(len(sorted)-1))], 1)
}

// reading returns how long an engine reads tokens.
func (s *speed) reading(tokens ident.Tokens) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / s.rate * float64(time.Millisecond))
}

// tokens returns what an engine reads in a time.
func (s *speed) tokens(time time.Duration) ident.Tokens {
	return ident.Tokens(milliseconds(time) * s.rate)
}

// base returns the time to the first event besides reading.
func (s *speed) base() time.Duration { return firstBase }

// fragile reports whether a stream with this pause suffers from long prompts beside it.
func (s *speed) fragile(pause time.Duration) bool {
	if pause <= 0 || pause > pacedPause {
		return false
	}
	if s.tightest == 0 || pause < s.tightest {
		s.tightest = pause
	}
	return true
}

// stalling returns for how long an engine may read before paced streams are late, in milliseconds; without such streams
// it is endless.
func (s *speed) stalling() float64 { return s.share(stallShare) }

// loud returns for how long a prompt may be read before it disturbs paced streams, together with others like it.
func (s *speed) loud() float64 { return s.share(loudShare) }

func (s *speed) share(part float64) float64 {
	if s.tightest == 0 {
		return math.Inf(1)
	}
	return part * milliseconds(s.tightest)
}
