package placement

import (
	"math"
	"slices"
	"time"
)

// Evidence that a server does worse than the others of its service.
const (
	// suspectScore and ejectScore are the scores from which a server is suspect or ejected. From evidenceFloor, it takes some ten requests to reach
	// ejectScore at a server of which every second request fails; a server like the others practically never does.
	suspectScore = 1.7
	ejectScore   = 4.0
	// evidenceFloor bounds how far the evidence for a server outweighs later evidence against it.
	evidenceFloor = 1.0
	// trialFloor is the floor while the server is on trial.
	trialFloor = 2.0
	// clearedScore is the score at or below which a server is no longer suspect.
	clearedScore = 1.0
	// failScore is the score from which a server has failed its trial, and passRefused the one at or below which it has passed the trial after it
	// refused connections: two successes.
	failScore   = 1.5
	passRefused = -0.5
	// priorRequests is the weight of the usual rate in a server's rate.
	priorRequests = 10
)

// tally counts requests, and those of them that are evidence against the server.
type tally struct{ bad, total float64 }

// criterion is a kind of failure, and which of its rates are usual.
type criterion struct {
	cause Cause
	// least is the lowest rate that counts as usual, and assumed the rate without other servers; excess is how much above the usual rate a faulty
	// server's is. Where the usual rate is above most, the cause lies outside the servers, and none counts as faulty. At most a third of all requests can
	// take slowFactor times the mean.
	least, most, assumed, excess float64
	// onceOnly is set if only requests that must not run twice count, so that a trial says nothing about it. The criterion before it is that of the
	// other requests.
	onceOnly bool
	// pass is the score at or below which a server has passed its trial after it was ejected for this cause; four requests without a failure give it.
	pass  float64
	count func(*ServerCounts) tally
}

// criteria are the kinds of failures that are found by their rates.
var criteria = [...]criterion{
	{
		cause: CauseBroken, least: 0.015, most: 0.3, assumed: 0.015, excess: 0.28, pass: -1,
		count: func(c *ServerCounts) tally { return tally{bad: c.Failures, total: c.delivered()} },
	},
	{
		cause: CauseErrors, least: 0.05, most: 0.5, assumed: 0.15, excess: 0.3, pass: -1.5,
		count: func(c *ServerCounts) tally {
			return tally{bad: max(c.Errors-c.OnceErrors, 0), total: max(c.delivered()-c.Once, 0)}
		},
	},
	{
		cause: CauseErrors, least: 0.02, most: 0.5, assumed: 0.02, excess: 0.3, onceOnly: true,
		count: func(c *ServerCounts) tally { return tally{bad: c.OnceErrors, total: c.Once} },
	},
	{
		cause: CauseSlow, least: 0.05, most: 0.4, assumed: 0.1, excess: 0.4, pass: -1,
		count: func(c *ServerCounts) tally { return tally{bad: c.Slow, total: c.Timed} },
	},
}

// evidence is a test of whether a server's rate of failures is usual or usual plus an excess: the logarithm of the ratio of the probabilities of its
// results, decayed and with a floor, so that a long time without failures does not delay the detection.
type evidence struct {
	// baseline is the part of the server's decayed tally that is left out of the score, as of at.
	baseline tally
	at       time.Time
	score    float64
}

// update computes the score from the server's tally as of now; it is at least -floor.
func (e *evidence) update(now time.Time, current tally, usual, excess, floor float64) {
	factor := decayFactor(now.Sub(e.at))
	e.at = now
	// The tally shrinks when a peer's report expires.
	e.baseline.bad = min(e.baseline.bad*factor, current.bad)
	e.baseline.total = min(e.baseline.total*factor, current.total)
	bad := current.bad - e.baseline.bad
	good := max(current.total-e.baseline.total-bad, 0)
	e.score = bad*math.Log((usual+excess)/usual) + good*math.Log((1-usual-excess)/(1-usual))
	if e.score < -floor {
		kept := floor / -e.score
		e.baseline = tally{bad: current.bad - kept*bad, total: current.total - kept*(good+bad)}
		e.score = -floor
	}
}

// reset leaves all results so far out of the score.
func (e *evidence) reset(now time.Time, current tally) { *e = evidence{baseline: current, at: now} }

// usualRate returns the rate of failures that is usual at the other servers: the lower median, so that one faulty server does not hide another. It returns
// false if that is so high that no server counts as faulty.
func (c *criterion) usualRate(others []tally) (rate float64, found bool) {
	rates := make([]float64, 0, len(others))
	for _, other := range others {
		if other.total > 0 {
			rates = append(rates, other.rate(c.assumed))
		}
	}
	if len(rates) == 0 {
		return c.assumed, true
	}
	slices.Sort(rates)
	usual := rates[(len(rates)-1)/2]
	return max(usual, c.least), usual <= c.most
}

// rate returns the fraction of bad requests, which tends to the usual rate for servers that have had few requests.
func (t tally) rate(usual float64) float64 {
	return (t.bad + priorRequests*usual) / (t.total + priorRequests)
}
