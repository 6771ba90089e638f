package quarantine

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

var (
	modelFirst = flag.Uint64("model-first", 0, "first seed of the model")
	modelSeeds = flag.Uint64("model-seeds", 0, "number of seeds of the model; 0 runs those of CI")
)

// modelCISeeds are the seeds of CI: a range, and some that each found a fault.
var modelCISeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 70, 72, 241, 262, 297, 343, 349, 612, 625, 921, 972}

// seedsOfModel returns the seeds to run.
func seedsOfModel() []uint64 {
	if *modelSeeds == 0 {
		return modelCISeeds
	}
	var seeds []uint64
	for seed := *modelFirst; seed < *modelFirst+*modelSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// Phases of a run: sound traffic alone, then with crashing requests, then alone again.
const (
	modelAttackStart = 4 * time.Second
	modelAttackEnd   = 26 * time.Second
	modelEnd         = 50 * time.Second
	modelLongEnd     = 4 * time.Minute
	modelFinalSweeps = 3
)

// Bounds that the model checks.
const (
	// modelBudgetCrashes is the number of crashes under a part after which modelBudget counts.
	modelBudgetCrashes = 5
	// modelBudget is the number of requests with a crashing part that may reach servers after those crashes.
	modelBudget = 3
	// modelMinSound is the number of sound requests from which on their share is checked.
	modelMinSound = 20
	// modelMinAdmitted is the share of sound requests that must be admitted.
	modelMinAdmitted = 0.5
	// modelMaxSoundQuarantine is how long a sound part may be quarantined while modelMinHolders requests with it arrive at the instance
	// that makes its trials.
	modelMaxSoundQuarantine = 20 * time.Second
	modelMinHolders         = 5
	// modelCrashAge is the age above which the registry holds no crash.
	modelCrashAge = 2 * crashTTL
)

// Parts of the model. The unique last part of a prompt is not passed to a registry.
const (
	modelSystem    Part = 1
	modelCompanion Part = 2
	modelDocument  Part = 100
	modelCrashing  Part = 0xbad
)

// modelCheck is a property that a run may violate.
type modelCheck string

// Checks of the model.
const (
	checkBudget    modelCheck = "budget"
	checkLost      modelCheck = "lost"
	checkReleased  modelCheck = "released"
	checkAgreement modelCheck = "agreement"
	checkSize      modelCheck = "size"
)

var modelChecks = []modelCheck{checkBudget, checkLost, checkReleased, checkAgreement, checkSize}

// modelWorld holds the parameters of a run.
type modelWorld struct {
	instances, servers int
	// soundRate and crashRate are in requests a second.
	soundRate, crashRate float64
	// crashingParts is the number of parts that crash servers; companion means that they never occur without modelCompanion.
	crashingParts int
	companion     bool
	// soundUntil is when the crashing parts begin to crash servers. Requests with them arrive from the start if it is later than that.
	soundUntil time.Duration
	documents  int
	// meanDuration is that of requests; one in ten takes ten times as long.
	meanDuration time.Duration
	// recorded is the share of the unfinished requests of a crashed server that are recorded.
	recorded float64
	// retried is the share of lost requests that are sent once more.
	retried            float64
	interval, maxDelay time.Duration
	loss               float64
	maxRestart         time.Duration
	// contact is the time in which instances learn of each other's findings.
	contact time.Duration
	// killed, isolated and storeAway enable these faults.
	killed, isolated, storeAway bool
	// massCrash is the share of the servers that crash at once, for another reason, at massCrashAt; otherCrashRate is the rate of
	// further crashes, in servers a second.
	massCrash      float64
	massCrashAt    time.Duration
	otherCrashRate float64
	maxSkew        time.Duration
	attackEnd, end time.Duration
}

func newModelWorld(seed uint64, random *rand.Rand) modelWorld {
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	period := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	oneIn := func(number int) bool { return random.IntN(number) == 0 }
	w := modelWorld{
		instances: 4, servers: 12, soundRate: between(10, 80), crashRate: 0.2 * math.Pow(100, random.Float64()),
		crashingParts: 1, companion: oneIn(3), documents: 5 + random.IntN(60),
		meanDuration: period(50*time.Millisecond, 1500*time.Millisecond), recorded: 1, retried: random.Float64(),
		interval: period(100*time.Millisecond, time.Second), maxDelay: period(2*time.Millisecond, 300*time.Millisecond),
		loss: between(0, 0.3), maxRestart: period(1500*time.Millisecond, 8*time.Second), contact: period(3*time.Second, 5*time.Second),
		killed: oneIn(3), isolated: oneIn(3), storeAway: oneIn(3), massCrashAt: period(2*time.Second, modelAttackEnd),
	}
	switch seed % 4 {
	case 1:
		w.instances, w.servers = 2, 3+random.IntN(10)
	case 3:
		w.instances, w.servers, w.soundRate, w.interval = 33, 40, 3*w.soundRate, period(350*time.Millisecond, time.Second)
	}
	if oneIn(4) {
		w.crashingParts = 2
	}
	if oneIn(4) {
		w.soundUntil = period(modelAttackStart, modelAttackStart+8*time.Second)
	}
	if oneIn(2) {
		w.recorded = 0.3
	}
	if oneIn(4) {
		w.massCrash = []float64{1.0 / 3, 1}[random.IntN(2)]
	}
	if oneIn(3) {
		w.otherCrashRate = between(0, 0.5)
	}
	if oneIn(3) {
		w.maxSkew = 500 * time.Millisecond
	}
	w.attackEnd, w.end = modelAttackEnd, modelEnd
	if seed%8 == 4 {
		w.attackEnd, w.end = modelLongEnd-(modelEnd-modelAttackEnd), modelLongEnd
		w.soundRate, w.otherCrashRate = min(w.soundRate, 20), max(w.otherCrashRate, 0.3)
	}
	return w
}

type modelInstance struct {
	number   int
	registry *Registry
	// starts counts the starts; what belongs to an earlier one is dropped.
	starts    int
	alive     bool
	startedAt time.Duration
	stoppedAt time.Duration
	isolated  bool
	skew      time.Duration
	// quarantinedSince is for the sound parts that are quarantined.
	quarantinedSince map[Part]time.Duration
}

type modelServer struct {
	number  int
	up      bool
	starts  int64
	running []*modelRequest
}

type modelRequest struct {
	instance *modelInstance
	// start is that of the instance.
	start    int
	parts    []Part
	crashing Part
	// trial means that the request was admitted as a trial of trialPart.
	trial     bool
	trialPart Part
	attempts  int
}

type modelEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(q[a].at, q[b].at), cmp.Compare(q[a].sequence, q[b].sequence)) < 0
}
func (q modelQueue) Swap(a, b int)   { q[a], q[b] = q[b], q[a] }
func (q *modelQueue) Push(event any) { *q = append(*q, event.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelArrival is a sound request and whether it was admitted.
type modelArrival struct {
	at       time.Duration
	admitted bool
}

// modelRun is the state of a run in virtual time.
type modelRun struct {
	modelWorld
	random      *rand.Rand
	queue       modelQueue
	sequence    int
	now         time.Duration
	fleet       []*modelInstance
	serverFleet []*modelServer
	zipf        *rand.Zipf
	// store holds the stored verdicts; it cannot be reached from storeDownAt until storeUpAt.
	store                  map[Part]Verdict
	storeDownAt, storeUpAt time.Duration
	// crashes are the times of the crashes under each crashing part, and sent those at which an instance in touch sent one of its
	// requests to a server.
	crashes, sent map[Part][]time.Duration
	arrivals      []modelArrival
	// holders are the arrivals of sound requests with a part at the instance that makes its trials.
	holders  map[Part][]time.Duration
	failures map[modelCheck]string
}

func newModelRun(seed uint64) *modelRun {
	random := rand.New(rand.NewPCG(seed, 1))
	m := &modelRun{
		modelWorld: newModelWorld(seed, random), random: random, store: make(map[Part]Verdict), crashes: make(map[Part][]time.Duration),
		sent: make(map[Part][]time.Duration), holders: make(map[Part][]time.Duration), failures: make(map[modelCheck]string),
	}
	m.storeDownAt, m.storeUpAt = m.end, m.end
	m.zipf = rand.NewZipf(random, 1.2, 1, uint64(m.documents-1))
	for number := range m.instances {
		instance := &modelInstance{number: number, skew: m.upTo(2*m.maxSkew+1) - m.maxSkew}
		m.fleet = append(m.fleet, instance)
		m.startInstance(instance)
	}
	for number := range m.servers {
		m.serverFleet = append(m.serverFleet, &modelServer{number: number, up: true, starts: 1})
	}
	m.schedule()
	return m
}

// schedule plans the traffic and the faults.
func (m *modelRun) schedule() {
	m.traffic(m.soundRate, 0, m.end, m.sendSound)
	attackStart := modelAttackStart
	if m.soundUntil > 0 {
		attackStart = 0
	}
	for number := range m.crashingParts {
		m.traffic(m.crashRate, attackStart, m.attackEnd, func() { m.sendCrashing(modelCrashing + Part(number)) })
	}
	if m.otherCrashRate > 0 {
		m.traffic(m.otherCrashRate, 0, m.end, func() { m.crash(m.serverFleet[m.random.IntN(m.servers)], 0) })
	}
	m.at(m.massCrashAt, func() {
		for _, number := range m.random.Perm(m.servers)[:int(m.massCrash*float64(m.servers))] {
			m.crash(m.serverFleet[number], 0)
		}
	})
	if m.storeAway {
		m.storeDownAt = m.upTo(modelAttackEnd)
		m.storeUpAt = m.storeDownAt + m.upTo(5*time.Second)
	}
	if m.isolated {
		m.fleet[0].isolated = true
	}
	if m.killed {
		instance := m.fleet[m.instances-1]
		m.at(m.upTo(modelAttackEnd), func() {
			instance.alive, instance.stoppedAt = false, m.now
			m.after(m.upTo(3*time.Second), func() { m.startInstance(instance) })
		})
	}
	for tick := range m.end / (250 * time.Millisecond) {
		m.at(tick*250*time.Millisecond, m.checkQuarantines)
	}
}

func (m *modelRun) at(at time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.queue, modelEvent{at, m.sequence, run})
}

func (m *modelRun) after(delay time.Duration, run func()) { m.at(m.now+delay, run) }

func (m *modelRun) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(max(int64(limit), 1)))
}

// traffic runs an event at random times with this rate.
func (m *modelRun) traffic(rate float64, from, until time.Duration, run func()) {
	var next func()
	wait := func() time.Duration { return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second)) }
	next = func() {
		if m.now < until {
			run()
			m.after(wait(), next)
		}
	}
	m.at(from+wait(), next)
}

func (m *modelRun) fail(check modelCheck, format string, values ...any) {
	if m.failures[check] == "" {
		m.failures[check] = fmt.Sprintf("%v: ", m.now) + fmt.Sprintf(format, values...)
	}
}

// time is the time of day as an instance sees it.
func (m *modelRun) time(instance *modelInstance) time.Time {
	return time.Unix(1_000_000, 0).Add(m.now + instance.skew)
}

func (m *modelRun) startInstance(instance *modelInstance) {
	instance.starts++
	instance.alive, instance.startedAt, instance.quarantinedSince = true, m.now, make(map[Part]time.Duration)
	start := instance.starts
	instance.registry = New(Config{
		OwnsTrials: func(part Part) bool { return m.owner(part) == instance },
		OnEvent: func(event Event) {
			switch event.Name {
			case "part_quarantined", "part_trial", "part_cleared":
				if !event.FromPeer {
					verdict := event.Verdict
					m.after(m.upTo(100*time.Millisecond), func() { m.write(verdict) })
				}
			}
		},
	})
	if !m.storeIsAway() {
		for _, verdict := range m.store {
			instance.registry.MergeVerdict(m.time(instance), VerdictReport{Verdict: verdict})
		}
	}
	m.after(m.upTo(m.interval), func() { m.gossip(instance, start) })
}

func (m *modelRun) storeIsAway() bool { return m.now >= m.storeDownAt && m.now < m.storeUpAt }

// write stores a verdict once the store can be reached; all instances read it some time later.
func (m *modelRun) write(verdict Verdict) {
	if m.storeIsAway() {
		m.at(m.storeUpAt, func() { m.write(verdict) })
		return
	}
	if !verdict.IsNewerThan(m.store[verdict.Part]) {
		return
	}
	m.store[verdict.Part] = verdict
	for _, instance := range m.fleet {
		m.after(m.upTo(800*time.Millisecond), func() { m.read(instance, verdict) })
	}
}

func (m *modelRun) read(instance *modelInstance, verdict Verdict) {
	switch {
	case m.storeIsAway():
		m.at(m.storeUpAt, func() { m.read(instance, verdict) })
	case instance.alive:
		instance.registry.MergeVerdict(m.time(instance), VerdictReport{Verdict: verdict})
	}
}

// gossip sends the report of an instance to the others, and goes on until the instance stops.
func (m *modelRun) gossip(instance *modelInstance, start int) {
	if !instance.alive || instance.starts != start {
		return
	}
	report := m.report(instance)
	for _, peer := range m.fleet {
		if peer == instance || peer.isolated || m.random.Float64() < m.loss {
			continue
		}
		m.after(m.upTo(m.maxDelay), func() {
			if peer.alive {
				peer.registry.Merge(m.time(peer), report)
			}
		})
	}
	instance.registry.Sweep(m.time(instance))
	m.after(m.interval, func() { m.gossip(instance, start) })
}

// report returns the report of an instance in an order that does not vary between runs with one seed.
func (m *modelRun) report(instance *modelInstance) Report {
	report := instance.registry.Report(m.time(instance))
	if err := report.Check(); err != nil {
		m.fail(checkSize, "instance %d: %v", instance.number, err)
	}
	slices.SortFunc(report.Verdicts, func(a, b VerdictReport) int { return cmp.Compare(a.Verdict.Part, b.Verdict.Part) })
	return report
}

// owner returns the instance that makes the trials of a part. An instance that stopped is known for a while.
func (m *modelRun) owner(part Part) *modelInstance {
	const removal = 3 * time.Second
	for offset := range m.instances {
		instance := m.fleet[(int(part%1009)+offset)%m.instances]
		if instance.alive || m.now-instance.stoppedAt < removal {
			return instance
		}
	}
	return nil
}

// prompt returns the parts of a sound request.
func (m *modelRun) prompt() []Part {
	parts := []Part{modelSystem}
	for range 1 + m.random.IntN(2) {
		if document := modelDocument + Part(m.zipf.Uint64()); !slices.Contains(parts, document) {
			parts = append(parts, document)
		}
	}
	return parts
}

func (m *modelRun) randomInstance() *modelInstance {
	for {
		if instance := m.fleet[m.random.IntN(m.instances)]; instance.alive {
			return instance
		}
	}
}

func (m *modelRun) sendSound() {
	parts := m.prompt()
	if m.random.IntN(30) == 0 {
		parts = append(parts, modelCompanion)
	}
	instance := m.randomInstance()
	for _, part := range parts {
		if m.owner(part) == instance {
			m.holders[part] = append(m.holders[part], m.now)
		}
	}
	m.arrivals = append(m.arrivals, modelArrival{m.now, m.admit(&modelRequest{instance: instance, start: instance.starts, parts: parts})})
}

func (m *modelRun) sendCrashing(crashing Part) {
	parts := m.prompt()
	parts = slices.Insert(parts, m.random.IntN(len(parts)+1), crashing)
	if m.companion {
		parts = slices.Insert(parts, m.random.IntN(len(parts)+1), modelCompanion)
	}
	instance := m.randomInstance()
	m.admit(&modelRequest{instance: instance, start: instance.starts, parts: parts, crashing: crashing})
}

func (m *modelRun) admit(request *modelRequest) bool {
	decision := request.instance.registry.Admit(m.time(request.instance), request.parts)
	if decision.Admitted {
		request.trial, request.trialPart = decision.Trial, decision.Part
		m.attempt(request, nil)
	}
	return decision.Admitted
}

// attempt sends a request to a server other than the last one, if one is up.
func (m *modelRun) attempt(request *modelRequest, last *modelServer) {
	var up []*modelServer
	for _, server := range m.serverFleet {
		if server.up && server != last {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		if request.trial && last == nil {
			request.instance.registry.CancelTrial(m.time(request.instance), request.trialPart)
		}
		return
	}
	server := up[m.random.IntN(len(up))]
	request.attempts++
	server.running = append(server.running, request)
	start, begun := server.starts, m.now
	crashes := request.crashing != 0 && m.now >= m.soundUntil
	duration := time.Duration(m.random.ExpFloat64() * float64(m.meanDuration))
	if m.random.IntN(10) == 0 {
		duration *= 10
	}
	if crashes {
		duration = 10*time.Millisecond + m.upTo(200*time.Millisecond)
		if m.inTouch(request.instance) {
			m.sent[request.crashing] = append(m.sent[request.crashing], m.now)
		}
	}
	m.after(duration, func() {
		if !server.up || server.starts != start {
			return
		}
		if crashes {
			m.crash(server, request.crashing)
			return
		}
		server.running = slices.DeleteFunc(server.running, func(other *modelRequest) bool { return other == request })
		if m.runs(request) {
			request.instance.registry.RecordRun(m.time(request.instance), time.Unix(1_000_000, 0).Add(begun+request.instance.skew), request.parts)
		}
	})
}

// runs reports whether the instance of a request has not stopped since.
func (m *modelRun) runs(request *modelRequest) bool {
	return request.instance.alive && request.instance.starts == request.start
}

// inTouch reports whether an instance has heard of the others, by gossip or from the store, for the time of contact.
func (m *modelRun) inTouch(instance *modelInstance) bool {
	if m.now-instance.startedAt < m.contact {
		return false
	}
	return !instance.isolated || m.now < m.storeDownAt || m.now-m.storeUpAt >= m.contact
}

// crash ends a server, under a crashing part or for another reason, and starts it again later.
func (m *modelRun) crash(server *modelServer, part Part) {
	if !server.up {
		return
	}
	if part != 0 {
		m.crashes[part] = append(m.crashes[part], m.now)
	}
	lost := server.running
	server.up, server.running = false, nil
	incarnation := ident.ServerStart{ID: ident.Endpoint("s" + strconv.Itoa(server.number)), StartedUnixMS: server.starts}
	for _, request := range lost {
		const maxRetryWait = 20 * time.Millisecond
		noticed := m.upTo(30 * time.Millisecond)
		if m.random.IntN(10) == 0 {
			noticed = m.upTo(time.Second)
		}
		if request.crashing == part && part != 0 || m.random.Float64() < m.recorded {
			m.after(noticed, func() {
				if m.runs(request) {
					request.instance.registry.RecordCrash(m.time(request.instance), incarnation, request.parts)
				}
			})
		}
		if !request.trial && request.attempts == 1 && m.random.Float64() < m.retried {
			m.after(min(noticed, maxRetryWait), func() {
				if m.runs(request) && !request.instance.registry.Quarantines(request.parts) {
					m.attempt(request, server)
				}
			})
		}
	}
	m.after(time.Second+m.upTo(m.maxRestart-time.Second), func() {
		server.up = true
		server.starts++
	})
}

func isCrashing(part Part) bool { return part >= modelCrashing }

// checkQuarantines checks how long sound parts are quarantined, and the size of the registries.
func (m *modelRun) checkQuarantines() {
	for _, instance := range m.fleet {
		if !instance.alive {
			continue
		}
		quarantined := make(map[Part]bool)
		for _, report := range instance.registry.Verdicts(m.time(instance)) {
			verdict := report.Verdict
			if isCrashing(verdict.Part) {
				continue
			}
			quarantined[verdict.Part] = true
			since, found := instance.quarantinedSince[verdict.Part]
			if !found {
				instance.quarantinedSince[verdict.Part] = m.now
				continue
			}
			holders := 0
			for _, at := range m.holders[verdict.Part] {
				if at > since+modelMaxSoundQuarantine/2 {
					holders++
				}
			}
			if m.now-since > modelMaxSoundQuarantine && holders >= modelMinHolders {
				m.fail(checkReleased, "sound part %d is quarantined at instance %d for %v after %d trials, %d requests with it at its owner",
					verdict.Part, instance.number, m.now-since, verdict.Trials, holders)
			}
		}
		for part := range instance.quarantinedSince {
			if !quarantined[part] {
				delete(instance.quarantinedSince, part)
			}
		}
		m.checkRegistry(instance)
	}
}

func (m *modelRun) checkRegistry(instance *modelInstance) {
	registry := instance.registry
	if size := len(registry.entries); size > maxEntries {
		m.fail(checkSize, "instance %d holds %d parts", instance.number, size)
	}
	for part, e := range registry.entries {
		for _, crash := range e.crashes {
			if age := m.time(instance).Sub(crash.at); age > modelCrashAge {
				m.fail(checkSize, "instance %d holds a crash under part %d for %v, of %d", instance.number, part, age, len(e.crashes))
				return
			}
		}
	}
}

func (m *modelRun) run() map[modelCheck]string {
	for len(m.queue) > 0 && m.now < m.end {
		event, _ := heap.Pop(&m.queue).(modelEvent)
		m.now = event.at
		event.run()
	}
	m.checkBudget()
	m.checkLost()
	m.checkAgreement()
	return m.failures
}

func (m *modelRun) checkBudget() {
	for part, crashes := range m.crashes {
		if len(crashes) < modelBudgetCrashes {
			continue
		}
		from, count := crashes[modelBudgetCrashes-1]+m.contact, 0
		for _, at := range m.sent[part] {
			if at > from {
				count++
			}
		}
		if count > modelBudget {
			m.fail(checkBudget, "%d requests with part %x reached servers from %v on; %d servers crashed", count, part, from, len(crashes))
		}
	}
}

// checkLost checks the share of sound requests that were admitted while requests with the crashing parts arrived.
func (m *modelRun) checkLost() {
	var from time.Duration
	for _, crashes := range m.crashes {
		from = max(from, crashes[min(len(crashes), modelBudgetCrashes)-1]+2*m.contact)
	}
	if from == 0 {
		return
	}
	total, admitted := 0, 0
	for _, arrival := range m.arrivals {
		if arrival.at > from && arrival.at < m.attackEnd {
			total++
			if arrival.admitted {
				admitted++
			}
		}
	}
	if total >= modelMinSound && float64(admitted) < modelMinAdmitted*float64(total) {
		m.fail(checkLost, "%d of %d sound requests were admitted from %v on", admitted, total, from)
	}
}

// checkAgreement exchanges all reports and checks that all instances have the same verdicts.
func (m *modelRun) checkAgreement() {
	for range modelFinalSweeps {
		for _, instance := range m.fleet {
			if !instance.alive {
				continue
			}
			report := m.report(instance)
			for _, peer := range m.fleet {
				if peer.alive && peer != instance {
					peer.registry.Merge(m.time(peer), report)
				}
			}
		}
	}
	var want []Part
	for index, instance := range m.fleet {
		var got []Part
		for _, report := range instance.registry.Verdicts(m.time(instance)) {
			got = append(got, report.Verdict.Part)
		}
		slices.Sort(got)
		if index == 0 {
			want = got
		} else if !slices.Equal(got, want) {
			m.fail(checkAgreement, "instance 0 quarantines %v and instance %d %v", want, index, got)
		}
	}
}

// TestModelCrashingParts runs random fleets with parts that crash servers, and checks how many requests with such a part reach servers,
// that sound requests go on, that sound parts are released, that the instances agree in the end and that registries stay small.
func TestModelCrashingParts(t *testing.T) {
	t.Parallel()
	for _, seed := range seedsOfModel() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			run := newModelRun(seed)
			failures := run.run()
			for _, check := range modelChecks {
				t.Run(string(check), func(t *testing.T) {
					if failures[check] != "" {
						t.Logf("%+v", run.modelWorld)
					}
					is.New(t).Equal(failures[check], "")
				})
			}
		})
	}
}
