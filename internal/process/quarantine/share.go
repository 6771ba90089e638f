package quarantine

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Limits of what instances tell each other.
const (
	// shareTime is for how long each crash and completed part is reported, in case a report is lost.
	shareTime = 3 * time.Second
	// maxSharedCrashes, maxSharedParts and maxSharedVerdicts bound a report.
	maxSharedCrashes  = 64
	maxSharedParts    = 256
	maxSharedVerdicts = 64
	// maxSeen bounds how long ago the last request of a reported part arrived.
	maxSeen = time.Hour
)

// CrashReport is the crash of a server, with the parts of the requests that an instance had not completed there.
type CrashReport struct {
	Server ident.ServerStart `cbor:"1,keyasint"`
	Parts  []Part            `cbor:"2,keyasint"`
	// AgeMS is how long ago the crash was recorded, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
}

// CompletedReport is a suspected part and how long ago a server began a request with it that completed, in milliseconds.
type CompletedReport struct {
	Part  Part  `cbor:"1,keyasint"`
	AgeMS int64 `cbor:"2,keyasint,omitempty"`
}

// VerdictReport is a verdict and how long ago the last request with the part arrived, in milliseconds.
type VerdictReport struct {
	Verdict Verdict `cbor:"1,keyasint"`
	SeenMS  int64   `cbor:"2,keyasint"`
}

// Check returns an error if a field is out of range.
func (v VerdictReport) Check() error {
	if v.SeenMS < 0 || v.SeenMS > maxSeen.Milliseconds() {
		return oops.Errorf("quarantine report: found a part seen %d ms ago, want 0 to %d", v.SeenMS, maxSeen.Milliseconds())
	}
	return v.Verdict.Check()
}

// Report is what an instance tells the others. It is repeated, and receiving it again changes nothing.
type Report struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	// Completed are the suspected parts with which a request has completed.
	Completed []CompletedReport `cbor:"2,keyasint,omitempty"`
	Verdicts  []VerdictReport   `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if a list is longer than an instance sends it, or holds an invalid verdict or age.
func (r Report) Check() error {
	for _, verdict := range r.Verdicts {
		if err := verdict.Check(); err != nil {
			return err
		}
	}
	ages, parts := make([]int64, 0, len(r.Crashes)+len(r.Completed)), 0
	for _, crash := range r.Crashes {
		parts += len(crash.Parts)
		ages = append(ages, crash.AgeMS)
	}
	for _, completed := range r.Completed {
		ages = append(ages, completed.AgeMS)
	}
	for _, age := range ages {
		if age < 0 || age > maxSeen.Milliseconds() {
			return oops.Errorf("quarantine report: found an age of %d ms, want 0 to %d", age, maxSeen.Milliseconds())
		}
	}
	if len(r.Crashes) > maxSharedCrashes || parts > maxSharedParts || len(r.Completed) > maxSharedParts || len(r.Verdicts) > maxSharedVerdicts {
		return oops.Errorf("quarantine report: found %d crashes with %d parts, %d completed parts and %d verdicts, want at most %d, %d, %d and %d",
			len(r.Crashes), parts, len(r.Completed), len(r.Verdicts), maxSharedCrashes, maxSharedParts, maxSharedParts, maxSharedVerdicts)
	}
	return nil
}

// unshared holds what this instance has seen and the others may not know yet, the oldest first.
type unshared struct {
	crashes   []timed[CrashReport]
	completed []timed[completedPart]
}

// completedPart is a suspected part with which a request completed, and when a server began that request.
type completedPart struct {
	part  Part
	begun time.Time
}

type timed[T any] struct {
	at    time.Time
	value T
}

func (u *unshared) addCrash(now time.Time, server ident.ServerStart, parts []Part) {
	u.crashes = append(u.crashes, timed[CrashReport]{now, CrashReport{Server: server, Parts: parts}})
}

func (u *unshared) addCompleted(now, begun time.Time, part Part) {
	u.completed = append(u.completed, timed[completedPart]{now, completedPart{part, begun}})
}

// trim drops what was shared for long enough.
func (u *unshared) trim(now time.Time) {
	u.crashes, u.completed = recent(now, u.crashes), recent(now, u.completed)
}

// recent returns the values that are to be shared still.
func recent[T any](now time.Time, values []timed[T]) []timed[T] {
	for len(values) > 0 && now.Sub(values[0].at) > shareTime {
		values = values[1:]
	}
	return values
}

// Report returns what to tell the other instances. Of what exceeds its bounds, the newest is reported.
func (r *Registry) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unshared.trim(now)
	return Report{Crashes: r.sharedCrashes(now), Completed: r.sharedCompleted(now), Verdicts: r.sharedVerdicts(now)}
}

// sharedCrashes returns one report for each server, the newest crashes first. It leaves out parts with which a request has completed
// recently where there is no room for all. The caller holds mu.
func (r *Registry) sharedCrashes(now time.Time) []CrashReport {
	var reports []CrashReport
	position := make(map[ident.ServerStart]int)
	sent := make(map[ident.ServerStart]map[Part]bool)
	total := 0
	for _, completed := range []bool{false, true} {
		for index := len(r.unshared.crashes) - 1; index >= 0; index-- {
			recorded := r.unshared.crashes[index]
			crash, age := recorded.value, now.Sub(recorded.at).Milliseconds()
			for _, part := range crash.Parts {
				if total == maxSharedParts || r.completed.contains(part) != completed || sent[crash.Server][part] {
					continue
				}
				at, found := position[crash.Server]
				if !found {
					if len(reports) == maxSharedCrashes {
						continue
					}
					at = len(reports)
					reports = append(reports, CrashReport{Server: crash.Server, AgeMS: age})
					position[crash.Server], sent[crash.Server] = at, make(map[Part]bool)
				}
				reports[at].Parts = append(reports[at].Parts, part)
				sent[crash.Server][part] = true
				total++
			}
		}
	}
	return reports
}

// sharedCompleted returns the completed parts, the newest first; the caller holds mu.
func (r *Registry) sharedCompleted(now time.Time) []CompletedReport {
	var reports []CompletedReport
	seen := make(map[Part]bool)
	for index := len(r.unshared.completed) - 1; index >= 0 && len(reports) < maxSharedParts; index-- {
		if completed := r.unshared.completed[index].value; !seen[completed.part] {
			seen[completed.part] = true
			reports = append(reports, CompletedReport{
				Part: completed.part, AgeMS: min(now.Sub(completed.begun), maxSeen).Milliseconds(),
			})
		}
	}
	return reports
}

// sharedVerdicts returns the verdicts, those on quarantined parts first; the caller holds mu.
func (r *Registry) sharedVerdicts(now time.Time) []VerdictReport {
	var reports []VerdictReport
	for _, quarantined := range []bool{true, false} {
		for _, e := range r.entries {
			if e.verdict.Quarantined == quarantined && e.verdict.Sequence > 0 && len(reports) < maxSharedVerdicts {
				reports = append(reports, VerdictReport{Verdict: e.verdict, SeenMS: now.Sub(e.lastSeen).Milliseconds()})
			}
		}
	}
	return reports
}

func ago(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

// Merge applies the report of another instance.
func (r *Registry) Merge(now time.Time, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, verdict := range report.Verdicts {
		r.mergeVerdict(now, verdict.Verdict, ago(now, verdict.SeenMS))
	}
	for _, crash := range report.Crashes {
		r.addCrash(now, ago(now, crash.AgeMS), crash.Server, crash.Parts, true)
	}
	for _, completed := range report.Completed {
		at := ago(now, completed.AgeMS)
		r.completed.add(now, at, completed.Part)
		r.clear(now, at, completed.Part)
	}
}

// MergeVerdict applies a stored verdict.
func (r *Registry) MergeVerdict(now time.Time, report VerdictReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeVerdict(now, report.Verdict, ago(now, report.SeenMS))
}

// mergeVerdict applies a verdict unless a newer one is known; the caller holds mu.
func (r *Registry) mergeVerdict(now time.Time, verdict Verdict, seen time.Time) {
	if now.Sub(seen) > TTL {
		return
	}
	known := r.entries[verdict.Part]
	e := r.entry(now, verdict.Part)
	if known == nil || seen.After(e.lastSeen) {
		e.lastSeen = seen
	}
	if !verdict.IsNewerThan(e.verdict) {
		return
	}
	before := e.verdict
	e.nextTrial = now.Add(firstTrialDelay)
	switch {
	case verdict.Quarantined && !before.Quarantined:
		e.since, e.foundHere, e.trialAt, e.unsentTrials, e.wastedTrials = now, false, time.Time{}, 0, 0
		r.decide(now, e, verdict, "part_quarantined", true)
		for server := range e.crashes {
			r.explain(now, server)
		}
	case verdict.Quarantined:
		if verdict.Trials > before.Trials {
			e.trialAt, e.trialCrash = now, ident.ServerStart{}
		}
		r.decide(now, e, verdict, "part_trial", true)
	case before.Quarantined:
		e.forgive(now)
		r.decide(now, e, verdict, "part_cleared", true)
		r.reconsider(now, e)
	default:
		e.verdict = verdict
	}
}

// Verdicts returns the verdicts on all quarantined parts.
func (r *Registry) Verdicts(now time.Time) []VerdictReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var verdicts []VerdictReport
	for _, e := range r.entries {
		if e.verdict.Quarantined {
			verdicts = append(verdicts, VerdictReport{Verdict: e.verdict, SeenMS: now.Sub(e.lastSeen).Milliseconds()})
		}
	}
	return verdicts
}
