package quarantine

import (
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// entry is what a registry knows of a part.
type entry struct {
	// crashes holds the servers that crashed under the part; those that no longer count are kept, since peers report them repeatedly.
	crashes map[ident.ServerStart]crash
	verdict Verdict
	// nextTrial is when the next trial may begin; only valid while the part is quarantined.
	nextTrial time.Time
	// since is when the part was quarantined here, and foundHere means that this instance decided so; only valid while it is.
	since     time.Time
	foundHere bool
	// trialAt is when the last trial began; zero if there was none, or it is known to have been wasted.
	trialAt time.Time
	// trialIsClean means that its request had no other part under which servers crashed.
	trialIsClean bool
	// trialCrash is the first server that crashed under the part since then.
	trialCrash ident.ServerStart
	// unsentTrials is the number of trials that did not reach a server, and wastedTrials that of the others that showed nothing.
	unsentTrials, wastedTrials int
	// lastSeen is when the last crash was recorded, or when the last request with the quarantined part arrived at any instance.
	lastSeen time.Time
}

type crash struct {
	at time.Time
	// counts is cleared when a request with the part completes, or when a quarantined part explains the crash.
	counts bool
}

// count returns the number of crashes that count now.
func (e *entry) count(now time.Time) int {
	count := 0
	for _, crash := range e.crashes {
		if crash.counts && now.Sub(crash.at) < crashTTL {
			count++
		}
	}
	return count
}

// countBursts returns the number of crashes that count now, where those within burstTime of the one before are one.
func (e *entry) countBursts(now time.Time) int {
	var times []time.Time
	for _, crash := range e.crashes {
		if crash.counts && now.Sub(crash.at) < crashTTL {
			times = append(times, crash.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	bursts := 0
	var last time.Time
	for _, at := range times {
		if bursts == 0 || at.Sub(last) >= burstTime {
			bursts++
			last = at
		}
	}
	return bursts
}

// forgive makes the crashes up to a time count no longer.
func (e *entry) forgive(until time.Time) {
	for server, known := range e.crashes {
		if !known.at.After(until) {
			known.counts = false
			e.crashes[server] = known
		}
	}
}

// nextSequence returns the sequence of a verdict given now. It is taken from the time of day, so that it is also greater than that of a
// verdict which this instance has forgotten.
func (e *entry) nextSequence(now time.Time) int64 { return max(e.verdict.Sequence+1, now.UnixMilli()) }
