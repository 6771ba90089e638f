// Package quarantine finds the prompt parts that crash the servers which begin to answer them, and refuses requests that hold one.
//
// Load pattern: requests that have nothing in common but one part of their prompts arrive at all router instances, and each crashes the
// server it runs on, together with all other requests there. Those share the customer and other parts with sound requests. A part is
// therefore suspected only by the crashes since the last request with it that completed, and a crash that a quarantined part explains
// counts against no other part.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Limits of suspicions.
const (
	// crashLimit is the number of different servers that must crash under a part before it is quarantined.
	crashLimit = 3
	// completedCrashLimit replaces crashLimit for a part with which a request has completed recently.
	completedCrashLimit = 4
	// suspectCrashes is the number of crashes from which on each one is reported as an event: one crash concerns all requests that the
	// server had.
	suspectCrashes = 2
	// burstTime is the time within which crashes under a completed part count as one: servers that crash together have another cause,
	// and each of them was running requests with the parts that most requests hold.
	burstTime = 100 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = time.Minute
	// TTL is how long a quarantine lasts after the last request with the part.
	TTL = 10 * time.Minute
	// maxTrials is the number of requests with a quarantined part that are let through to learn whether it is sound; maxSentTrials is that
	// number with those that showed nothing.
	maxTrials     = 2
	maxSentTrials = 4
	// firstTrialDelay is the time from the quarantine to the first trial; each further one waits trialDelayFactor times as long.
	firstTrialDelay  = time.Second
	trialDelayFactor = 3
	// maxCleanTrialWait is how long a trial waits for a request without other parts under which servers crashed.
	maxCleanTrialWait = 3 * time.Second
	// maxDecisiveTrialWait is how long it waits after a trial whose crash another part may have caused.
	maxDecisiveTrialWait = 30 * time.Second
	// maxEntries bounds the parts that are tracked.
	maxEntries = 4096
)

// Config configures a Registry.
type Config struct {
	// OwnsTrials reports whether this instance makes the trials of a part. At any time, all instances agree on one; nil means that
	// this one does.
	OwnsTrials func(Part) bool
	// OnEvent receives the changes, while the registry is locked; it must not block. nil drops them.
	OnEvent func(Event)
}

// Registry holds the parts under which servers crashed. It does no I/O and reads no clock. It is safe for concurrent use.
type Registry struct {
	config Config
	mu     sync.Mutex
	// entries holds at most maxEntries parts; guarded by mu.
	entries map[Part]*entry
	// explained holds the servers whose crash a quarantined part explains, and when they crashed; guarded by mu.
	explained map[ident.ServerStart]time.Time
	// completed remembers the parts of completed requests; guarded by mu.
	completed recentParts
	// unshared is what Report sends to the other instances; guarded by mu.
	unshared unshared
}

// New returns a registry without entries.
func New(config Config) *Registry {
	if config.OwnsTrials == nil {
		config.OwnsTrials = func(Part) bool { return true }
	}
	if config.OnEvent == nil {
		config.OnEvent = func(Event) {}
	}
	return &Registry{config: config, entries: make(map[Part]*entry), explained: make(map[ident.ServerStart]time.Time)}
}

// RecordCrash records that a server crashed while it had not completed a request with these parts, or had only just begun to answer it.
func (r *Registry) RecordCrash(now time.Time, server ident.ServerStart, parts []Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unshared.addCrash(now, server, parts)
	r.addCrash(now, now, server, parts, false)
}

// addCrash counts a crash against the parts, and quarantines those that reach the limit; the caller holds mu.
func (r *Registry) addCrash(now, at time.Time, server ident.ServerStart, parts []Part, fromPeer bool) {
	isQuarantined := func(part Part) bool { return r.entries[part] != nil && r.entries[part].verdict.Quarantined }
	if slices.ContainsFunc(parts, isQuarantined) {
		r.explain(now, server)
	}
	_, explained := r.explained[server]
	for _, part := range parts {
		e := r.entry(now, part)
		if _, found := e.crashes[server]; found {
			continue
		}
		e.crashes[server] = crash{at: at, counts: e.verdict.Quarantined || !explained && !at.Before(r.completed.last(part))}
		e.lastSeen = now
		if !e.trialAt.IsZero() && e.trialCrash == (ident.ServerStart{}) && !at.Before(e.trialAt) {
			e.trialCrash = server
		}
		if count := e.count(now); count >= suspectCrashes {
			r.config.OnEvent(Event{Name: "part_suspected", Verdict: e.verdict, Server: server, Crashes: count, FromPeer: fromPeer})
		}
	}
	r.quarantineWorst(now, parts)
}

// quarantineWorst quarantines those of the parts that have reached their limit, beginning with the ones under which most servers crashed:
// their crashes count no longer against the others. The caller holds mu.
func (r *Registry) quarantineWorst(now time.Time, parts []Part) {
	for {
		most := 0
		var worst []Part
		for _, part := range parts {
			e := r.entries[part]
			if e == nil || e.verdict.Quarantined || slices.Contains(worst, part) {
				continue
			}
			count := e.count(now)
			if !r.reachesLimit(now, e) || count < most {
				continue
			}
			if count > most {
				most, worst = count, nil
			}
			worst = append(worst, part)
		}
		if len(worst) == 0 {
			return
		}
		for _, part := range worst {
			r.quarantine(now, part)
		}
		for _, part := range worst {
			for server := range r.entries[part].crashes {
				r.explain(now, server)
			}
		}
	}
}

// reachesLimit reports whether enough servers crashed under a part for a quarantine; the caller holds mu.
func (r *Registry) reachesLimit(now time.Time, e *entry) bool {
	if r.completed.contains(e.verdict.Part) {
		return e.countBursts(now) >= completedCrashLimit
	}
	return e.count(now) >= crashLimit
}

// quarantine begins the quarantine of a part; the caller holds mu.
func (r *Registry) quarantine(now time.Time, part Part) {
	e := r.entries[part]
	e.nextTrial = now.Add(firstTrialDelay)
	e.since, e.foundHere, e.trialAt, e.unsentTrials, e.wastedTrials = now, true, time.Time{}, 0, 0
	r.decide(now, e, Verdict{Part: part, Sequence: e.nextSequence(now), Quarantined: true}, "part_quarantined", false)
}

// explain attributes the crash of a server to the quarantined parts; the caller holds mu.
func (r *Registry) explain(now time.Time, server ident.ServerStart) {
	r.explained[server] = now
	for _, e := range r.entries {
		if known, found := e.crashes[server]; found && !e.verdict.Quarantined {
			known.counts = false
			e.crashes[server] = known
		}
	}
}

// RecordRun records that a request with these parts completed that a server began at a time, which shows that none of them crashed servers
// then.
func (r *Registry) RecordRun(now, begun time.Time, parts []Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		r.completed.add(now, begun, part)
		if e := r.entries[part]; e != nil && (e.verdict.Quarantined || e.count(now) > 0) {
			r.unshared.addCompleted(now, begun, part)
			r.clear(now, begun, part)
		}
	}
}

// clear ends the suspicion of a part by crashes up to the time at which a request with it began that completed, and its quarantine unless
// that began later for other crashes. The caller holds mu.
func (r *Registry) clear(now, begun time.Time, part Part) {
	e := r.entries[part]
	if e == nil {
		return
	}
	e.forgive(begun)
	outdated := begun.Before(e.since) && (!e.foundHere || r.reachesLimit(now, e))
	if e.verdict.Quarantined && !outdated {
		r.decide(now, e, Verdict{Part: part, Sequence: e.nextSequence(now)}, "part_cleared", false)
		r.reconsider(now, e)
	}
}

// reconsider counts the crashes that only the quarantine of a cleared part explained against the other parts again. The caller holds mu.
func (r *Registry) reconsider(now time.Time, cleared *entry) {
	var parts []Part
	for server := range cleared.crashes {
		if r.otherExplains(cleared, server) {
			continue
		}
		delete(r.explained, server)
		for part, e := range r.entries {
			if known, found := e.crashes[server]; found && e != cleared && known.at.After(r.completed.last(part)) {
				known.counts = true
				e.crashes[server] = known
				if !slices.Contains(parts, part) {
					parts = append(parts, part)
				}
			}
		}
	}
	r.quarantineWorst(now, parts)
}

// decide replaces the verdict on a part; the caller holds mu.
func (r *Registry) decide(now time.Time, e *entry, verdict Verdict, name string, fromPeer bool) {
	e.verdict = verdict
	r.config.OnEvent(Event{Name: name, Verdict: verdict, Crashes: e.count(now), FromPeer: fromPeer})
}

// entry returns the entry of a part, and creates it if necessary; the caller holds mu.
func (r *Registry) entry(now time.Time, part Part) *entry {
	e := r.entries[part]
	if e == nil {
		r.evict(now)
		e = &entry{crashes: make(map[ident.ServerStart]crash), verdict: Verdict{Part: part}, lastSeen: now}
		r.entries[part] = e
	}
	return e
}

// evict makes room if all entries are in use: it removes expired ones and, if there are none, an eighth of them, those seen longest ago
// first and quarantined ones last. The caller holds mu.
func (r *Registry) evict(now time.Time) {
	if len(r.entries) < maxEntries {
		return
	}
	r.expire(now)
	if len(r.entries) < maxEntries {
		return
	}
	rank := func(e *entry) int {
		if e.verdict.Quarantined {
			return 1
		}
		return 0
	}
	oldest := slices.SortedFunc(maps.Values(r.entries), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.lastSeen.Compare(b.lastSeen))
	})
	for _, e := range oldest[:maxEntries/8] {
		delete(r.entries, e.verdict.Part)
	}
}

// expire removes what no longer counts; the caller holds mu.
func (r *Registry) expire(now time.Time) {
	for part, e := range r.entries {
		maps.DeleteFunc(e.crashes, func(_ ident.ServerStart, known crash) bool { return now.Sub(known.at) > crashTTL })
		idle := now.Sub(e.lastSeen)
		switch {
		case e.verdict.Quarantined && idle > TTL:
			r.config.OnEvent(Event{Name: "part_expired", Verdict: e.verdict, Crashes: e.count(now)})
			delete(r.entries, part)
		case e.verdict.Sequence > 0 && idle > TTL, e.verdict.Sequence == 0 && idle > crashTTL:
			delete(r.entries, part)
		}
	}
	for server, at := range r.explained {
		if now.Sub(at) > crashTTL {
			delete(r.explained, server)
		}
	}
}

// Sweep removes what no longer counts. It is to be called at least once per minute.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.completed.rotate(now)
	r.unshared.trim(now)
}
