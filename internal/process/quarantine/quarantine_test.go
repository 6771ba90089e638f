package quarantine_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/quarantine"
	"vanillapond/pkg/ident"
)

// Parts of the tests' prompts.
const (
	systemPart  quarantine.Part = 1
	soundPart   quarantine.Part = 2
	crashedPart quarantine.Part = 0xbad
)

var start = time.Unix(1_000_000, 0)

func server(number int) ident.ServerStart {
	return ident.ServerStart{ID: ident.Endpoint("s" + strconv.Itoa(number)), StartedUnixMS: int64(number)}
}

// crashUnder records the crash of one server after the other under the parts.
func crashUnder(r *quarantine.Registry, from, count int, parts ...quarantine.Part) {
	for number := from; number < from+count; number++ {
		r.RecordCrash(start, server(number), parts)
	}
}

// TestSharedPartsOfCrashingRequests verifies that only the part that the crashes have in common is quarantined.
func TestSharedPartsOfCrashingRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	for number := range 4 {
		r.RecordCrash(start, server(number), []quarantine.Part{systemPart, crashedPart, quarantine.Part(100 + number)})
		// Sound requests were lost in the same crashes, and others complete.
		r.RecordCrash(start, server(number), []quarantine.Part{systemPart, soundPart})
		r.RecordRun(start, start, []quarantine.Part{systemPart, soundPart})
	}
	is.True(r.Quarantines([]quarantine.Part{crashedPart}))
	is.True(!r.Quarantines([]quarantine.Part{systemPart, soundPart, 100, 101, 102, 103}))
}

// TestPartOfNoOtherRequest verifies that parts which occur only together are both quarantined, and that the sound one is released by a
// request that holds it alone.
func TestPartOfNoOtherRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, crashedPart, soundPart)
	is.True(r.Quarantines([]quarantine.Part{crashedPart}))
	is.True(r.Quarantines([]quarantine.Part{soundPart}))
	later := start.Add(2 * time.Second)
	is.True(!r.Admit(later, []quarantine.Part{crashedPart, soundPart}).Admitted)
	is.True(r.Admit(later, []quarantine.Part{soundPart}).Trial)
	r.RecordRun(later, later, []quarantine.Part{soundPart})
	is.True(r.Admit(later, []quarantine.Part{soundPart}).Admitted)
	is.True(r.Quarantines([]quarantine.Part{crashedPart}))
}

// TestCompletedPart verifies that a part with which requests complete is quarantined only after more crashes.
func TestCompletedPart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	r.RecordRun(start, start, []quarantine.Part{crashedPart})
	for number := range 4 {
		is.True(!r.Quarantines([]quarantine.Part{crashedPart}))
		r.RecordCrash(start.Add(time.Duration(number)*100*time.Millisecond), server(number), []quarantine.Part{crashedPart})
	}
	is.True(r.Quarantines([]quarantine.Part{crashedPart}))
}

// TestServersCrashTogether verifies that a part of completed requests is not quarantined because many servers crash at once.
func TestServersCrashTogether(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	r.RecordRun(start, start, []quarantine.Part{systemPart})
	crashUnder(r, 0, 12, systemPart)
	is.True(!r.Quarantines([]quarantine.Part{systemPart}))
}

// TestExplainedCrash verifies that a crash that a quarantined part explains counts against no other part, whenever it is reported.
func TestExplainedCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	for number := range 5 {
		r.RecordCrash(start, server(number), []quarantine.Part{systemPart, crashedPart})
		if number < 2 {
			r.RecordCrash(start, server(number), []quarantine.Part{soundPart})
		}
	}
	for number := 2; number < 5; number++ {
		r.RecordCrash(start, server(number), []quarantine.Part{soundPart})
	}
	is.True(!r.Quarantines([]quarantine.Part{soundPart}))
	crashUnder(r, 100, 3, soundPart)
	is.True(r.Quarantines([]quarantine.Part{soundPart}))
}

// TestTrialsAreBounded verifies that a quarantined part gets no more trials than allowed for as long as requests with it arrive, and is
// forgotten after that.
func TestTrialsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, crashedPart)
	trials, now := 0, start
	for range 4 * 3600 {
		now = now.Add(500 * time.Millisecond)
		decision := r.Admit(now, []quarantine.Part{crashedPart})
		is.True(decision.Admitted == decision.Trial)
		is.True(decision.Admitted || decision.RetryAfter > 0)
		if decision.Trial {
			trials++
			r.RecordCrash(now, server(10+trials), []quarantine.Part{crashedPart})
		}
		r.Sweep(now)
	}
	is.Equal(trials, 2)
	now = now.Add(11 * time.Minute)
	r.Sweep(now)
	is.True(r.Admit(now, []quarantine.Part{crashedPart}).Admitted)
}

// TestTrialWithoutResult verifies that a sound part is released although its first trials did not reach a server.
func TestTrialWithoutResult(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, soundPart)
	now, trials := start, 0
	for trials < 5 {
		now = now.Add(time.Second)
		is.True(now.Before(start.Add(time.Minute)))
		if r.Admit(now, []quarantine.Part{soundPart}).Trial {
			trials++
			r.CancelTrial(now, soundPart)
		}
	}
	is.True(r.Admit(now.Add(time.Second), []quarantine.Part{soundPart}).Trial)
	r.RecordRun(now, now, []quarantine.Part{soundPart})
	is.True(!r.Quarantines([]quarantine.Part{soundPart}))
}

// TestTrialWithSuspectedPart verifies that a trial waits for a request whose other parts are not suspected.
func TestTrialWithSuspectedPart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, soundPart)
	r.RecordCrash(start, server(0), []quarantine.Part{crashedPart})
	now := start.Add(time.Second)
	is.True(!r.Admit(now, []quarantine.Part{soundPart, crashedPart}).Admitted)
	is.True(r.Admit(now, []quarantine.Part{soundPart, systemPart}).Trial)
}

// TestTrialAfterAmbiguousCrash verifies that after a trial that crashed together with another suspected part, the next one waits longer for a
// request without such a part, so that it shows which of them crashes servers.
func TestTrialAfterAmbiguousCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, soundPart)
	r.RecordCrash(start, server(0), []quarantine.Part{crashedPart})
	both := []quarantine.Part{soundPart, crashedPart}
	now := start.Add(4 * time.Second)
	is.True(r.Admit(now, both).Trial)
	r.RecordCrash(now, server(10), both)
	now = now.Add(15 * time.Second)
	is.True(!r.Admit(now, both).Admitted)
	is.True(r.Admit(now, []quarantine.Part{soundPart}).Trial)
	r.RecordRun(now, now, []quarantine.Part{soundPart})
	is.True(!r.Quarantines([]quarantine.Part{soundPart}))
}

// TestTrialsWithSuspectedPartOnly verifies that a part that never comes alone gets its last trial in the end.
func TestTrialsWithSuspectedPartOnly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, soundPart)
	r.RecordCrash(start, server(0), []quarantine.Part{crashedPart})
	both := []quarantine.Part{soundPart, crashedPart}
	trials := 0
	for elapsed := range 60 {
		now := start.Add(time.Duration(elapsed) * time.Second)
		if r.Admit(now, both).Trial {
			trials++
			r.RecordCrash(now, server(10+trials), both)
		}
	}
	is.Equal(trials, 2)
}

// TestRepeatedCompletion verifies that a completed request clears no crash that came after it, however often it is reported.
func TestRepeatedCompletion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, b := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	crashUnder(a, 0, 1, crashedPart)
	b.Merge(start, a.Report(start))
	a.RecordRun(start, start, []quarantine.Part{crashedPart})
	now := start
	for number := range 6 {
		now = now.Add(200 * time.Millisecond)
		b.Merge(now, a.Report(now))
		b.RecordCrash(now, server(1+number), []quarantine.Part{crashedPart})
	}
	b.Merge(now, a.Report(now))
	is.True(b.Quarantines([]quarantine.Part{crashedPart}))
}

// TestCrashesOfClearedPart verifies that crashes which a quarantine explained count against the other parts once it is cleared.
func TestCrashesOfClearedPart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 1, soundPart)
	crashUnder(r, 1, 3, soundPart, crashedPart)
	is.True(!r.Quarantines([]quarantine.Part{crashedPart}))
	r.RecordRun(start.Add(time.Second), start.Add(time.Second), []quarantine.Part{soundPart})
	is.True(!r.Quarantines([]quarantine.Part{soundPart}))
	is.True(r.Quarantines([]quarantine.Part{crashedPart}))
}

// TestTrialsHaveOneOwner verifies that an instance which does not make the trials admits none.
func TestTrialsHaveOneOwner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{OwnsTrials: func(quarantine.Part) bool { return false }})
	crashUnder(r, 0, 3, crashedPart)
	is.True(!r.Admit(start.Add(time.Hour), []quarantine.Part{crashedPart}).Admitted)
}

// TestRepeatedReport verifies that a crash which is reported again after the part was cleared does not count.
func TestRepeatedReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, b := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	crashUnder(a, 0, 2, soundPart)
	report := a.Report(start)
	b.Merge(start, report)
	b.RecordRun(start, start, []quarantine.Part{soundPart})
	for range 5 {
		b.Merge(start, report)
	}
	crashUnder(b, 2, 5, soundPart)
	is.True(!b.Quarantines([]quarantine.Part{soundPart}))
}

// TestPeersAgree verifies that instances that exchange reports in any order, some of them lost, hold the same verdicts in the end, and that
// the completion of a request at one of them releases the part at all.
func TestPeersAgree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		instances := make([]*quarantine.Registry, 4)
		for index := range instances {
			instances[index] = quarantine.New(quarantine.Config{})
		}
		now := start
		exchange := func(lossy bool) {
			for _, from := range instances {
				report := from.Report(now)
				is.NoErr(report.Check())
				for _, at := range random.Perm(len(instances)) {
					if !lossy || random.IntN(2) == 0 {
						instances[at].Merge(now, report)
					}
				}
			}
		}
		for number := range 6 {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			instances[random.IntN(4)].RecordCrash(now, server(number), []quarantine.Part{crashedPart, soundPart})
			instances[random.IntN(4)].RecordRun(now, now, []quarantine.Part{systemPart})
			exchange(true)
		}
		exchange(false)
		instances[random.IntN(4)].RecordRun(now, now, []quarantine.Part{soundPart})
		for range 3 {
			exchange(false)
		}
		for _, instance := range instances {
			is.True(instance.Quarantines([]quarantine.Part{crashedPart}))
			is.True(!instance.Quarantines([]quarantine.Part{soundPart}))
		}
	}
}

// TestNewcomerLearnsVerdicts verifies that an instance that starts learns quarantines from a peer or from the store, and that its own view
// then takes precedence over neither.
func TestNewcomerLearnsVerdicts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	known := quarantine.New(quarantine.Config{})
	crashUnder(known, 0, 3, crashedPart)
	byReport, byStore := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	byReport.Merge(start, known.Report(start.Add(time.Minute)))
	for _, verdict := range known.Verdicts(start) {
		byStore.MergeVerdict(start, verdict)
	}
	is.True(byReport.Quarantines([]quarantine.Part{crashedPart}))
	is.True(byStore.Quarantines([]quarantine.Part{crashedPart}))
	byStore.RecordRun(start.Add(time.Second), start.Add(time.Second), []quarantine.Part{crashedPart})
	known.Merge(start.Add(time.Second), byStore.Report(start.Add(time.Second)))
	is.True(!known.Quarantines([]quarantine.Part{crashedPart}))
}

// TestReportIsBounded verifies that reports fit into a datagram whatever happens, and that the most suspicious parts are in them.
func TestReportIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	for number := range 200 {
		parts := []quarantine.Part{crashedPart}
		for part := range 200 {
			parts = append(parts, quarantine.Part(1000*number+part+10_000))
		}
		r.RecordRun(start, start, parts[1:])
		r.RecordCrash(start, server(number), parts)
	}
	report := r.Report(start)
	is.NoErr(report.Check())
	is.True(len(report.Crashes) > 0)
	for _, crash := range report.Crashes {
		is.True(slices.Contains(crash.Parts, crashedPart))
	}
	is.True(r.Quarantines([]quarantine.Part{crashedPart}))
	is.Equal(len(quarantine.New(quarantine.Config{}).Report(start).Crashes), 0)
}

// TestSoundFleetInMassCrash verifies that parts which are quarantined because many servers crashed at once for another reason are released
// by trials.
func TestSoundFleetInMassCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	for number := range 12 {
		r.RecordCrash(start, server(number), []quarantine.Part{systemPart, quarantine.Part(100 + number%4)})
	}
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for number := range 4 {
			parts := []quarantine.Part{systemPart, quarantine.Part(100 + number)}
			if r.Admit(now, parts).Admitted {
				r.RecordRun(now, now, parts)
			}
		}
	}
	for number := range 4 {
		is.True(r.Admit(now, []quarantine.Part{systemPart, quarantine.Part(100 + number)}).Admitted)
	}
}

// FuzzReport checks that no report of a peer breaks a registry.
func FuzzReport(f *testing.F) {
	f.Add("s", int64(1), uint64(2), int64(3), true, int64(4))
	f.Fuzz(func(t *testing.T, id string, started int64, part uint64, sequence int64, quarantined bool, seen int64) {
		r := quarantine.New(quarantine.Config{})
		p := quarantine.Part(part)
		report := quarantine.Report{
			Crashes:   []quarantine.CrashReport{{Server: ident.ServerStart{ID: ident.Endpoint(id), StartedUnixMS: started}, Parts: []quarantine.Part{p, p}}},
			Completed: []quarantine.CompletedReport{{Part: p}},
			Verdicts: []quarantine.VerdictReport{{
				Verdict: quarantine.Verdict{Part: p, Sequence: sequence, Quarantined: quarantined, Trials: int(sequence)}, SeenMS: seen,
			}},
		}
		if report.Check() != nil {
			return
		}
		r.Merge(start, report)
		r.Merge(start, report)
		r.Admit(start, []quarantine.Part{p})
		r.Sweep(start)
		if r.Quarantines([]quarantine.Part{p}) {
			t.Error("a completed part is quarantined")
		}
	})
}

// TestTrialsWithoutEvidence verifies that trials which reach servers and show nothing, such as those whose server's crash goes unnoticed,
// are bounded, too.
func TestTrialsWithoutEvidence(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := quarantine.New(quarantine.Config{})
	crashUnder(r, 0, 3, crashedPart)
	// crashingContact is the time after the last crash from which on at most three requests with the part may reach servers.
	const crashingContact = 3 * time.Second
	late, trials, now := 0, 0, start
	for range 4 * 3600 {
		now = now.Add(500 * time.Millisecond)
		if r.Admit(now, []quarantine.Part{crashedPart}).Trial {
			trials++
			if now.After(start.Add(crashingContact)) {
				late++
			}
		}
		r.Sweep(now)
	}
	is.Equal(trials, 4)
	is.Equal(late, 3)
}
