package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/clock"
)

// TestToLocal holds that an answer that was waited for long counts from when it was given.
func TestToLocal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var remote clock.Remote
	const zero = clock.Reading(time.Hour)
	at := zero.Add
	is.Equal(remote.ToLocal(at(0), at(8*time.Millisecond), 0), at(0))
	is.Equal(remote.ToLocal(at(0), at(8*time.Millisecond), 5*time.Second), at(0))
	// Rounded down, the other clock may seem to stand before the call.
	is.Equal(remote.ToLocal(at(9*time.Millisecond), at(9*time.Millisecond), 5008*time.Millisecond), at(9*time.Millisecond))
	waited := remote.ToLocal(at(10*time.Millisecond), at(2010*time.Millisecond), 7*time.Second)
	is.True(waited > at(1990*time.Millisecond) && waited <= at(2010*time.Millisecond))
	// A clock that begins anew tells no more than the call itself.
	is.Equal(remote.ToLocal(at(3*time.Second), at(4*time.Second), time.Minute), at(3*time.Second))
	is.Equal(remote.ToLocal(at(5*time.Second), at(6*time.Second), time.Millisecond), at(5*time.Second))
}

// TestToLocalIsLowerBound draws calls of any length over clocks that drift: what is returned is never after the true time.
func TestToLocalIsLowerBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var remote clock.Remote
		drift := rapid.Float64Range(-0.0009, 0.0009).Draw(t, "drift")
		begun := rapid.Int64Range(1<<30, 1<<40).Draw(t, "begun")
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause"))
			sent := now
			given := sent + time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "wait"))
			now = given + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "way"))
			shown := time.Duration(begun + int64(float64(given)*(1+drift))).Truncate(time.Millisecond)
			since := remote.ToLocal(clock.Reading(sent), clock.Reading(now), shown)
			const rounding = 100 // Nanoseconds.
			if since > clock.Reading(given)+rounding || since < clock.Reading(sent) {
				t.Fatalf("answer given at %v, sent at %v: counted from %v", given, sent, time.Duration(since))
			}
		}
	})
}
