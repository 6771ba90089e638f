// Package sharedrate divides a rate of requests among router instances that decide without asking each other.
//
// Load pattern: a server in need accepts few requests a second from all instances together, often fewer than there are instances, and all of
// them have requests for it at the same time. A bucket of its own at each instance would let each of them send at once. The instances
// therefore take turns by a common clock: each turn is one request of one instance, and a turn that is not used lapses.
package sharedrate

import (
	"math"
	"time"
)

// Rate is a number of requests a second from all instances together.
type Rate float64

// Share is an instance's share of each rate.
type Share struct {
	// Rank is the instance's position among Count instances, from 0. A Count of 0 means that the other instances are not known yet; the
	// instance then has no turns.
	Rank, Count int
	// Isolated reports whether the other instances may no longer count this one, so that they use its turns, too.
	Isolated bool
}

// Fraction returns the fraction of a fixed number that the instance may use; all instances together use at most 1. One instance more than is
// known may have just started. The others may no longer count an isolated instance, and one that does not know them can't tell its share.
func (s Share) Fraction() float64 {
	if s.Count == 0 || s.Isolated {
		return 0
	}
	return 1 / float64(s.Count+1)
}

// Config configures a Limiter.
type Config struct {
	// Window, Overage and Slack bound the requests from all instances together: in no interval of the length Window may there be more than
	// Overage times what the rate allows, and Slack in addition.
	Window         time.Duration
	Overage, Slack float64
	// Offset shifts the turns by a fraction of a turn cycle, from 0 to 1. Limiters with different offsets have their turns at different times.
	Offset float64
}

const (
	// lapseFraction is the fraction of the tolerated excess that is used by turns which are kept for a while. The rest is for instances
	// whose views of the fleet differ.
	lapseFraction = 1.0 / 3
	// isolatedFraction is the fraction of its turns that an isolated instance uses. Without any, it would not learn that a limit has ended.
	isolatedFraction = 0.25
	// minRate is the lowest rate that is kept: some request must show whether the limit still holds.
	minRate Rate = 0.25
)

// Limiter limits one instance's requests to its share of a rate. It does no I/O and reads no clock; it is not safe for concurrent use.
type Limiter struct {
	config Config
	rate   Rate
	share  Share
	// used is the number of the latest turn that was used or is not to be used.
	used int64
}

// New returns a limiter without a turn.
func New(config Config) *Limiter { return &Limiter{config: config} }

// Set sets the rate and the share. If one of them changes, the instance waits for the next turn. now is the common clock of all instances.
func (l *Limiter) Set(now time.Time, rate Rate, share Share) {
	rate = max(rate, minRate)
	if rate == l.rate && share == l.share {
		return
	}
	l.rate, l.share = rate, share
	l.used = l.turn(now)
}

// Rate returns the rate of all instances together.
func (l *Limiter) Rate() Rate { return l.rate }

// Available reports whether the instance may send a request now.
func (l *Limiter) Available(now time.Time) bool { return l.remaining(now) > 0 }

// Take reports whether the instance may send a request now, and uses a turn if so.
func (l *Limiter) Take(now time.Time) bool {
	if l.remaining(now) == 0 {
		return false
	}
	l.used++
	return true
}

// remaining returns the number of turns that are neither used nor lapsed.
func (l *Limiter) remaining(now time.Time) int64 {
	if l.share.Count == 0 || l.rate == 0 {
		return 0
	}
	newest := l.turn(now)
	// If the clock was set back, the turns since then are used already.
	l.used = min(max(l.used, l.turn(now.Add(-l.lifetime()))), newest)
	return newest - l.used
}

// turn returns the number of the instance's latest turn.
func (l *Limiter) turn(now time.Time) int64 {
	if l.share.Count == 0 || l.rate == 0 {
		return 0
	}
	return int64(math.Floor(seconds(now)/l.period() - l.phase()))
}

// period returns the time between two turns of the instance, in seconds.
func (l *Limiter) period() float64 {
	period := float64(l.share.Count) / float64(l.rate)
	if l.share.Isolated {
		period /= isolatedFraction
	}
	return period
}

// phase returns when in each period the turn begins, as a fraction of the period.
func (l *Limiter) phase() float64 {
	_, phase := math.Modf(float64(l.share.Rank)/float64(l.share.Count) + l.config.Offset)
	return phase
}

// lifetime returns for how long a turn can be used. All instances together send at most the turns of a window and of one lifetime
// before it.
func (l *Limiter) lifetime() time.Duration {
	excess := (l.config.Overage-1)*l.config.Window.Seconds() + l.config.Slack/float64(l.rate)
	return time.Duration(lapseFraction * excess * float64(time.Second))
}

func seconds(at time.Time) float64 { return float64(at.UnixNano()) / float64(time.Second) }
