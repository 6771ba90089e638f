package quarantine

import (
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// Decision says whether a request may be sent to a server.
type Decision struct {
	Admitted bool
	// Trial means that the request is admitted, to one server only, to learn whether its quarantined part is sound.
	Trial bool
	// Part is the quarantined part of a request that is refused or a trial.
	Part Part
	// RetryAfter is when a refused request may be admitted.
	RetryAfter time.Duration
}

// Admit decides on a request with these parts.
//
// A trial holds only one quarantined part, and at first no other part that may be the cause of crashes. Each quarantine has at most
// maxTrials that show something; after these, the part stays quarantined for as long as requests with it arrive.
func (r *Registry) Admit(now time.Time, parts []Part) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	quarantined := r.quarantinedOf(parts)
	if len(quarantined) == 0 {
		return Decision{Admitted: true}
	}
	for _, part := range quarantined {
		r.entries[part].lastSeen = now
	}
	part := quarantined[0]
	e := r.entries[part]
	if len(quarantined) == 1 && !now.Before(e.nextTrial) && r.config.OwnsTrials(part) && r.mayTry(now, e, parts) {
		delay := firstTrialDelay
		for range e.sentTrials() + 1 {
			delay *= trialDelayFactor
		}
		e.nextTrial, e.trialAt, e.trialCrash, e.trialIsClean = now.Add(delay), now, ident.ServerStart{}, r.isClean(part, parts)
		e.verdict.Trials++
		r.decide(now, e, e.verdict, "part_trial", false)
		return Decision{Admitted: true, Trial: true, Part: part}
	}
	retryAfter := TTL
	if e.usedTrials() < maxTrials && e.sentTrials() < maxSentTrials {
		retryAfter = max(e.nextTrial.Sub(now), firstTrialDelay)
	}
	return Decision{Part: part, RetryAfter: retryAfter}
}

// mayTry reports whether the quarantined part has a trial left and a request with these parts may be it; the caller holds mu.
func (r *Registry) mayTry(now time.Time, e *entry, parts []Part) bool {
	if r.wasted(e) {
		e.trialAt = time.Time{}
		e.wastedTrials++
	}
	if e.usedTrials() >= maxTrials || e.sentTrials() >= maxSentTrials {
		return false
	}
	wait := maxCleanTrialWait
	if !e.trialAt.IsZero() && e.trialCrash != (ident.ServerStart{}) && !e.trialIsClean {
		wait = maxDecisiveTrialWait
	}
	return now.Sub(e.nextTrial) >= wait || r.isClean(e.verdict.Part, parts)
}

// isClean reports whether a request has no part other than the given one under which servers crashed; the caller holds mu.
func (r *Registry) isClean(part Part, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(other Part) bool { return other != part && r.crashedSinceCompleted(other) })
}

// CancelTrial records that the last trial of a part did not reach a server.
func (r *Registry) CancelTrial(now time.Time, part Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[part]; e != nil && e.verdict.Quarantined && !e.trialAt.IsZero() {
		e.trialAt = time.Time{}
		e.unsentTrials++
		e.nextTrial = now.Add(firstTrialDelay)
	}
}

// sentTrials returns the number of trials in this quarantine that reached a server, and usedTrials that of those which showed something,
// as far as this instance knows.
func (e *entry) sentTrials() int { return e.verdict.Trials - e.unsentTrials }

func (e *entry) usedTrials() int { return e.sentTrials() - e.wastedTrials }

// wasted reports whether the last trial neither completed nor crashed its server, or another quarantined part explains that crash. The
// caller holds mu.
func (r *Registry) wasted(e *entry) bool {
	if e.trialAt.IsZero() {
		return false
	}
	return e.trialCrash == ident.ServerStart{} || r.otherExplains(e, e.trialCrash)
}

// otherExplains reports whether another quarantined part explains the crash of a server; the caller holds mu.
func (r *Registry) otherExplains(e *entry, server ident.ServerStart) bool {
	for _, other := range r.entries {
		if _, found := other.crashes[server]; found && other != e && other.verdict.Quarantined {
			return true
		}
	}
	return false
}

// crashedSinceCompleted reports whether a server crashed under a part and no request with it has completed since; the caller holds mu.
func (r *Registry) crashedSinceCompleted(part Part) bool {
	e := r.entries[part]
	if e == nil {
		return false
	}
	completedAt := r.completed.last(part)
	for _, known := range e.crashes {
		if known.at.After(completedAt) {
			return true
		}
	}
	return false
}

// Quarantines reports whether a request with these parts must not be sent to a further server.
func (r *Registry) Quarantines(parts []Part) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.quarantinedOf(parts)) > 0
}

// quarantinedOf returns those of the parts that are quarantined, each once; the caller holds mu.
func (r *Registry) quarantinedOf(parts []Part) []Part {
	var quarantined []Part
	for _, part := range parts {
		if e := r.entries[part]; e != nil && e.verdict.Quarantined && !slices.Contains(quarantined, part) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}
