package quarantine

import (
	"slices"
	"time"
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
// A trial holds only one quarantined part. Each quarantine has at most maxTrials of them; after these, the part stays quarantined for
// as long as requests with it arrive.
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
	if len(quarantined) == 1 && e.verdict.Trials < maxTrials && !now.Before(e.nextTrial) && r.config.OwnsTrials(part) {
		delay := firstTrialDelay
		for range e.verdict.Trials + 1 {
			delay *= trialDelayFactor
		}
		e.nextTrial = now.Add(delay)
		e.verdict.Trials++
		r.decide(now, e, e.verdict, "part_trial", false)
		return Decision{Admitted: true, Trial: true, Part: part}
	}
	retryAfter := quarantineTTL
	if e.verdict.Trials < maxTrials {
		retryAfter = max(e.nextTrial.Sub(now), firstTrialDelay)
	}
	return Decision{Part: part, RetryAfter: retryAfter}
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
