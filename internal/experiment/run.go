package experiment

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// epoch is the virtual time at which the load starts; its value is arbitrary.
var epoch = time.Unix(1_800_000_000, 0)

// request is a caller's request, including its retries after refusals.
type request struct {
	arrival   Arrival
	class     *Class
	priority  int
	entry     int
	arrivedAt time.Duration
	retries   int
	engine    int
	attempt   *placement.Attempt
	// firstEventAt and lastEventAt are when the first and the latest event reached the caller, from the start of the load.
	firstEventAt, lastEventAt time.Duration
	maxPause                  time.Duration
	outcome                   Outcome
}

// Outcome is the result of a request.
type Outcome string

// Outcomes. Failed means that the response was incomplete at the deadline.
const (
	InTime  Outcome = "in_time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// event is a scheduled action; events at the same time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // The heap holds only events.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of one run in virtual time.
type simulation struct {
	plan         Plan
	policy       policy
	engines      []*engine
	queue        events
	lastSequence int
	now          time.Duration
	jobCount     int
	networkDelay time.Duration
	// pending is the number of requests without an outcome.
	pending  int
	requests []*request
	// reportRandom draws the losses and delays of load reports.
	reportRandom *rand.Rand
	balance      balanceSums
}

// Config configures one run.
type Config struct {
	Plan     Plan
	Policy   string
	Seed     uint64
	Arrivals []Arrival
}

// Run simulates a load under a policy until every request has an outcome or ctx is done.
func Run(ctx context.Context, config Config) (Report, error) {
	s := &simulation{
		plan: config.Plan, policy: newPolicy(config.Policy, config.Plan, config.Seed),
		networkDelay: milliseconds(config.Plan.NetworkDelayMS),
		reportRandom: rand.New(rand.NewPCG(config.Seed, 3)), //nolint:gosec // The run must be reproducible from the seed.
	}
	if s.policy == nil {
		return Report{}, oops.Errorf("unknown policy %q, want one of %v", config.Policy, Policies)
	}
	for index := range config.Plan.Engines.Count {
		s.engines = append(s.engines, newEngine(config.Plan.Engines, index))
	}
	if err := s.scheduleArrivals(config); err != nil {
		return Report{}, err
	}
	s.scheduleAfter(milliseconds(s.plan.GossipMS), s.exchangeLoads)
	s.scheduleAfter(balanceInterval, s.sampleBalance)
	for len(s.queue) > 0 && s.pending > 0 {
		if err := ctx.Err(); err != nil {
			return Report{}, err
		}
		next, _ := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s.report(config), nil
}

// scheduleArrivals schedules the arrival and the deadline of each request.
func (s *simulation) scheduleArrivals(config Config) error {
	classes := make(map[ident.Class]*Class)
	for index := range s.plan.Classes {
		classes[s.plan.Classes[index].ID] = &s.plan.Classes[index]
	}
	random := rand.New(rand.NewPCG(config.Seed, 2)) //nolint:gosec // The run must be reproducible from the seed.
	for _, arrival := range config.Arrivals {
		class := classes[arrival.Class]
		if class == nil {
			return oops.Errorf("arrival at %g ms: class %q is not in the plan", arrival.AtMS, arrival.Class)
		}
		r := &request{arrival: arrival, class: class, arrivedAt: milliseconds(arrival.AtMS), entry: random.IntN(s.plan.Entries)}
		if s.policy.usesPriorities() {
			r.priority = class.Priority
		}
		s.requests = append(s.requests, r)
		s.pending++
		s.scheduleAt(r.arrivedAt, func() { s.dispatch(r) })
		s.scheduleAt(r.arrivedAt+milliseconds(class.DeadlineMS), func() { s.expire(r) })
	}
	return nil
}

func (s *simulation) scheduleAt(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: at, sequence: s.lastSequence, run: run})
}

func (s *simulation) scheduleAfter(delay time.Duration, run func()) { s.scheduleAt(s.now+delay, run) }

func (s *simulation) exchangeLoads() {
	s.policy.exchangeLoads(epoch.Add(s.now), s.deliverReport)
	s.scheduleAfter(milliseconds(s.plan.GossipMS), s.exchangeLoads)
}

// dispatch sends a request to an engine or handles its refusal, as the policy decides.
func (s *simulation) dispatch(r *request) {
	if r.outcome != "" {
		return
	}
	remaining := r.arrivedAt + milliseconds(r.class.DeadlineMS) - s.now
	result := s.policy.decide(epoch.Add(s.now), r.entry, r.arrival.query(*r.class), remaining)
	if result.refused {
		s.handleRefusal(r, result.retryAfter)
		return
	}
	r.engine, r.attempt = result.engine, result.attempt
	if result.attempt != nil {
		r.priority = int(result.level)
	}
	s.jobCount++
	j := &job{request: r, number: s.jobCount}
	s.scheduleAfter(s.networkDelay, func() {
		if r.outcome != "" {
			return
		}
		if !s.engines[r.engine].enqueue(j) {
			s.finish(r, Refused)
			return
		}
		s.startStep(r.engine)
	})
}

// handleRefusal schedules a retry at another entry after the given delay, if the caller has retries and time left.
func (s *simulation) handleRefusal(r *request, retryAfter time.Duration) {
	const waitDivisor = 3 // Callers wait for at most a third of the time left to their deadline.
	remaining := r.arrivedAt + milliseconds(r.class.DeadlineMS) - s.now
	if r.retries >= r.class.Retries || retryAfter <= 0 || retryAfter > remaining/waitDivisor {
		s.finish(r, Refused)
		return
	}
	r.retries++
	r.entry = (r.entry + 1) % s.plan.Entries
	s.scheduleAfter(retryAfter, func() { s.dispatch(r) })
}

// startStep starts an engine's next step if none is in progress.
func (s *simulation) startStep(index int) {
	e := s.engines[index]
	if e.stepping {
		return
	}
	duration := e.startStep(s.now)
	if duration == 0 {
		return
	}
	s.scheduleAfter(duration, func() {
		for _, j := range e.finishStep() {
			s.deliverToken(j)
		}
		s.startStep(index)
	})
}

// deliverToken records an event at the caller when a token completes one, and the outcome with the last token.
func (s *simulation) deliverToken(j *job) {
	r := j.request
	if r.outcome != "" {
		return
	}
	done := j.generated >= r.arrival.Output
	if j.generated != 1 && int(j.generated)%r.class.EventTokens != 0 && !done {
		return
	}
	receivedAt := s.now + s.networkDelay
	if r.firstEventAt == 0 {
		r.firstEventAt = receivedAt
		if r.attempt != nil {
			s.reportLoad(r, receivedAt)
			r.attempt.FirstEvent(epoch.Add(receivedAt))
		}
	} else {
		r.maxPause = max(r.maxPause, receivedAt-r.lastEventAt)
		if r.attempt != nil {
			r.attempt.Event(epoch.Add(receivedAt))
		}
	}
	r.lastEventAt = receivedAt
	if !done {
		return
	}
	inTime := r.firstEventAt-r.arrivedAt <= milliseconds(r.class.ObjectiveMS) &&
		(r.class.MaxPauseMS <= 0 || r.maxPause <= milliseconds(r.class.MaxPauseMS))
	if inTime {
		s.finish(r, InTime)
		return
	}
	s.finish(r, Late)
}

// expire ends a request that is unfinished at its deadline.
func (s *simulation) expire(r *request) {
	if r.outcome == "" {
		s.engines[r.engine].remove(r)
		s.finish(r, Failed)
	}
}

func (s *simulation) finish(r *request, outcome Outcome) {
	r.outcome = outcome
	s.pending--
	if r.attempt != nil {
		result := placement.Neutral
		if outcome == InTime || outcome == Late {
			result = placement.Succeeded
		}
		r.attempt.End(epoch.Add(s.now), result)
	}
	if outcome != Refused {
		s.policy.requestEnded(r.entry, r.engine)
	}
}
