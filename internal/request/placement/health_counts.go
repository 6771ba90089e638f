package placement

import (
	"math"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Limits of what instances report to each other about the health of servers.
const (
	// healthDecay is the time constant of the counts: a second of a small service's requests decides about a server.
	healthDecay = time.Second
	// maxHealthServers bounds the servers in a report, and maxHealthReports the peers whose reports are kept.
	maxHealthServers = 64
	maxHealthReports = 256
	// maxHealthCount bounds each count of a report, and maxHealthAge each of its ages.
	maxHealthCount = 1e6
	maxHealthAge   = time.Hour
)

// ServerCounts are the results of one instance's requests at one server. The counts are decayed with healthDecay as of the time of the report.
type ServerCounts struct {
	// Successes counts complete responses, Failures broken connections and invalid responses, Errors complete responses with a server's error,
	// and Refused attempts that could not connect.
	Successes float64 `cbor:"1,keyasint,omitempty"`
	Failures  float64 `cbor:"2,keyasint,omitempty"`
	Errors    float64 `cbor:"3,keyasint,omitempty"`
	Refused   float64 `cbor:"4,keyasint,omitempty"`
	// Once counts the requests that the server got and that must not run twice, and OnceErrors those of Errors among them: services whose reads
	// often fail answer writes with an error far less often.
	Once       float64 `cbor:"12,keyasint,omitempty"`
	OnceErrors float64 `cbor:"13,keyasint,omitempty"`
	// Timed counts the requests with a known response time or with one that is known to be long, Slow those of them that took much longer than is
	// usual for the service, and Milliseconds is the sum of their times.
	Timed        float64 `cbor:"5,keyasint,omitempty"`
	Slow         float64 `cbor:"6,keyasint,omitempty"`
	Milliseconds float64 `cbor:"7,keyasint,omitempty"`
	// SuccessAge is the time since the newest request that succeeded was sent, BrokenAge that since a connection last broke within a request,
	// RefusedAge that since a connection was last refused, and TrialAge that since the last trial, in milliseconds; 0 means never.
	SuccessAge int64 `cbor:"8,keyasint,omitempty"`
	BrokenAge  int64 `cbor:"9,keyasint,omitempty"`
	RefusedAge int64 `cbor:"10,keyasint,omitempty"`
	TrialAge   int64 `cbor:"11,keyasint,omitempty"`
	// Suspected means that the instance suspects the server by the counts of all instances.
	Suspected bool `cbor:"14,keyasint,omitempty"`
}

// HealthReport is what one instance knows from its own requests about the health of a service's servers.
type HealthReport struct {
	Servers map[ident.Endpoint]ServerCounts `cbor:"1,keyasint,omitempty"`
}

// Check returns an error if the report names too many servers or a value is out of range.
func (r HealthReport) Check() error {
	if len(r.Servers) > maxHealthServers {
		return oops.Errorf("health of servers: found %d servers, want at most %d", len(r.Servers), maxHealthServers)
	}
	for id, counts := range r.Servers {
		if id == "" {
			return oops.Errorf("health of servers: found a server without an id")
		}
		if err := counts.check(); err != nil {
			return oops.Wrapf(err, "health of server %s", id)
		}
	}
	return nil
}

func (c ServerCounts) check() error {
	for _, count := range []float64{c.Successes, c.Failures, c.Errors, c.Refused, c.Once, c.OnceErrors, c.Timed, c.Slow, c.Milliseconds / maxHealthCount} {
		if math.IsNaN(count) || count < 0 || count > maxHealthCount {
			return oops.Errorf("found the count %v, want 0 to %v", count, maxHealthCount)
		}
	}
	const rounding = 1e-6
	if c.Slow > c.Timed+rounding || c.OnceErrors > c.Errors+rounding || c.Once > c.delivered()+rounding || c.OnceErrors > c.Once+rounding {
		return oops.Errorf("found counts of parts above those of the whole: %+v", c)
	}
	for _, age := range []int64{c.SuccessAge, c.BrokenAge, c.RefusedAge, c.TrialAge} {
		if age < 0 || age > maxHealthAge.Milliseconds() {
			return oops.Errorf("found the age %d ms, want 0 to %d", age, maxHealthAge.Milliseconds())
		}
	}
	return nil
}

// delivered returns the number of requests that the server got.
func (c *ServerCounts) delivered() float64 { return c.Successes + c.Failures + c.Errors }

// add adds the counts of another, multiplied by a factor; the ages stay.
func (c *ServerCounts) add(other ServerCounts, factor float64) {
	c.Successes += factor * other.Successes
	c.Failures += factor * other.Failures
	c.Errors += factor * other.Errors
	c.Refused += factor * other.Refused
	c.Once += factor * other.Once
	c.OnceErrors += factor * other.OnceErrors
	c.Timed += factor * other.Timed
	c.Slow += factor * other.Slow
	c.Milliseconds += factor * other.Milliseconds
}

// decayed returns the counts as of later; the ages stay.
func (c *ServerCounts) decayed(later time.Duration) ServerCounts {
	var result ServerCounts
	result.add(*c, decayFactor(later))
	return result
}

// decayFactor returns what remains of a count after an interval.
func decayFactor(interval time.Duration) float64 {
	return math.Exp(-float64(max(interval, 0)) / float64(healthDecay))
}

// healthTimes are the times of one instance's newest results at a server; zero means never.
type healthTimes struct {
	// success is when the newest request that succeeded was sent.
	success time.Time
	broken  time.Time
	refused time.Time
	trial   time.Time
}

// failed returns when a connection last broke or was refused.
func (t healthTimes) failed() time.Time { return latest(t.broken, t.refused) }

// claimsFailure reports whether a failure is newer than the newest success.
func (t *healthTimes) claimsFailure() bool { return t.failed().After(t.success) }

// ages sets the ages of counts as of now.
func (t healthTimes) ages(now time.Time, counts *ServerCounts) {
	for _, each := range []struct {
		at  time.Time
		age *int64
	}{{t.success, &counts.SuccessAge}, {t.broken, &counts.BrokenAge}, {t.refused, &counts.RefusedAge}, {t.trial, &counts.TrialAge}} {
		if age := now.Sub(each.at); !each.at.IsZero() && age <= maxHealthAge {
			*each.age = max(age.Milliseconds(), 1)
		}
	}
}

// sameEvent is the largest difference of two reports' times of one event, caused by the delays of datagrams.
const sameEvent = 50 * time.Millisecond

// timesOf returns the times that a peer's ages mean at their receipt. An event that the peer reported before keeps its earliest time, so that
// delayed datagrams don't make it newer.
func timesOf(now time.Time, counts ServerCounts, before healthTimes) healthTimes {
	at := func(age int64, before time.Time) time.Time {
		if age == 0 {
			return time.Time{}
		}
		reported := now.Add(-time.Duration(age) * time.Millisecond)
		if reported.Sub(before).Abs() <= sameEvent && before.Before(reported) {
			return before
		}
		return reported
	}
	return healthTimes{
		success: at(counts.SuccessAge, before.success), broken: at(counts.BrokenAge, before.broken),
		refused: at(counts.RefusedAge, before.refused), trial: at(counts.TrialAge, before.trial),
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
