package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/clock"
)

// TestToLocal checks that the response of a long call counts from when it was sent, not from when the call was made.
func TestToLocal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var remote clock.Remote
	const zero = clock.Reading(time.Hour)
	at := zero.Add
	is.Equal(remote.ToLocal(at(0), at(8*time.Millisecond), 0), at(0))
	is.Equal(remote.ToLocal(at(0), at(8*time.Millisecond), 5*time.Second), at(0))
	// Because it is rounded down, the remote reading may seem to be from before the call.
	is.Equal(remote.ToLocal(at(9*time.Millisecond), at(9*time.Millisecond), 5008*time.Millisecond), at(9*time.Millisecond))
	converted := remote.ToLocal(at(10*time.Millisecond), at(2010*time.Millisecond), 7*time.Second)
	is.True(converted > at(1990*time.Millisecond) && converted <= at(2010*time.Millisecond))
	// After a restart of the remote clock, only the time of the call is known.
	is.Equal(remote.ToLocal(at(3*time.Second), at(4*time.Second), time.Minute), at(3*time.Second))
	is.Equal(remote.ToLocal(at(5*time.Second), at(6*time.Second), time.Millisecond), at(5*time.Second))
}

// TestToLocalIsLowerBound draws calls of any duration with drifting clocks: the result is never after the actual time
// of the remote reading.
func TestToLocalIsLowerBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var remote clock.Remote
		drift := rapid.Float64Range(-0.0009, 0.0009).Draw(t, "drift")
		remoteStart := rapid.Int64Range(1<<30, 1<<40).Draw(t, "begun")
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause"))
			sent := now
			responded := sent + time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "wait"))
			now = responded + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "way"))
			remoteTime := time.Duration(remoteStart + int64(float64(responded)*(1+drift))).Truncate(time.Millisecond)
			local := remote.ToLocal(clock.Reading(sent), clock.Reading(now), remoteTime)
			const rounding = 100 // Nanoseconds.
			if local > clock.Reading(responded)+rounding || local < clock.Reading(sent) {
				t.Fatalf("response sent at %v to a request sent at %v: converted to %v, want a time between the two",
					responded, sent, time.Duration(local))
			}
		}
	})
}
