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

// epoch is the virtual time at which loads start; only differences count.
var epoch = time.Unix(1_800_000_000, 0)

// request is one caller's, over all its tries.
type request struct {
	arrival Arrival
	class   *Class
	rank    int
	entry   int
	at      time.Duration
	tries   int
	engine  int
	ticket  *placement.Attempt
	// first is when its first event reached the caller, last the newest one, both from the start of the load.
	first, last time.Duration
	maxPause    time.Duration
	outcome     Outcome
}

// Outcome is what became of a request.
type Outcome string

// Outcomes.
const (
	InTime  Outcome = "in_time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Only events are pushed.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one run in virtual time.
type simulation struct {
	plan    Plan
	policy  policy
	engines []*engine
	queue   events
	order   int
	now     time.Duration
	jobs    int
	trip    time.Duration
	// open counts requests without an outcome.
	open     int
	requests []*request
}

// Config says what one run plays.
type Config struct {
	Plan     Plan
	Policy   string
	Seed     uint64
	Arrivals []Arrival
}

// Run plays a load under a policy until every request has its outcome; it stops early with the context.
func Run(ctx context.Context, config Config) (Report, error) {
	s := &simulation{plan: config.Plan, policy: newPolicy(config.Policy, config.Plan, config.Seed), trip: milliseconds(config.Plan.NetworkDelayMS)}
	if s.policy == nil {
		return Report{}, oops.Errorf("policy: found %q, want one of %v", config.Policy, Policies)
	}
	for index := range config.Plan.Engines.Count {
		s.engines = append(s.engines, newEngine(config.Plan.Engines, index < config.Plan.Engines.SlowCount))
	}
	if err := s.load(config); err != nil {
		return Report{}, err
	}
	s.after(milliseconds(s.plan.GossipMS), s.gossip)
	for len(s.queue) > 0 && s.open > 0 {
		if err := ctx.Err(); err != nil {
			return Report{}, err
		}
		next, _ := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	return s.report(config), nil
}

// load puts the arrivals into the queue.
func (s *simulation) load(config Config) error {
	classes := make(map[ident.Class]*Class)
	for index := range s.plan.Classes {
		classes[s.plan.Classes[index].ID] = &s.plan.Classes[index]
	}
	random := rand.New(rand.NewPCG(config.Seed, 2)) //nolint:gosec // Seeded on purpose.
	for _, arrival := range config.Arrivals {
		class := classes[arrival.Class]
		if class == nil {
			return oops.Errorf("arrival at %g ms: class %q is not in the plan", arrival.AtMS, arrival.Class)
		}
		r := &request{arrival: arrival, class: class, at: milliseconds(arrival.AtMS), entry: random.IntN(s.plan.Entries)}
		if s.policy.urgent() {
			r.rank = class.Priority
		}
		s.requests = append(s.requests, r)
		s.open++
		s.at(r.at, func() { s.try(r) })
		s.at(r.at+milliseconds(class.DeadlineMS), func() { s.giveUp(r) })
	}
	return nil
}

func (s *simulation) at(at time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{at: at, order: s.order, do: do})
}

func (s *simulation) after(wait time.Duration, do func()) { s.at(s.now+wait, do) }

func (s *simulation) gossip() {
	s.policy.tell(epoch.Add(s.now))
	s.after(milliseconds(s.plan.GossipMS), s.gossip)
}

// try sends a request to an engine, or refuses it.
func (s *simulation) try(r *request) {
	if r.outcome != "" {
		return
	}
	decided := s.policy.decide(epoch.Add(s.now), r.entry, r.arrival.query(*r.class))
	if decided.refused {
		s.refuse(r, decided.returnAfter)
		return
	}
	r.engine, r.ticket = decided.engine, decided.ticket
	s.jobs++
	j := &job{request: r, number: s.jobs}
	s.after(s.trip, func() {
		if r.outcome != "" {
			return
		}
		if !s.engines[r.engine].add(j) {
			s.end(r, Refused)
			return
		}
		s.step(r.engine)
	})
}

// refuse lets the caller come back when it was told to, at another entry, if it has tries and time left.
func (s *simulation) refuse(r *request, after time.Duration) {
	const patience = 3 // Callers wait for at most a third of the time that they have left.
	left := r.at + milliseconds(r.class.DeadlineMS) - s.now
	if r.tries >= r.class.Retries || after <= 0 || after > left/patience {
		s.end(r, Refused)
		return
	}
	r.tries++
	r.entry = (r.entry + 1) % s.plan.Entries
	s.after(after, func() { s.try(r) })
}

// step starts an engine's next step if none is under way.
func (s *simulation) step(index int) {
	e := s.engines[index]
	if e.busy {
		return
	}
	took := e.begin(s.now)
	if took == 0 {
		return
	}
	s.after(took, func() {
		for _, j := range e.end() {
			s.token(j)
		}
		s.step(index)
	})
}

// token hands a token on to the caller where an event is complete.
func (s *simulation) token(j *job) {
	r := j.request
	if r.outcome != "" {
		return
	}
	done := j.made >= r.arrival.Output
	if j.made != 1 && int(j.made)%r.class.EventTokens != 0 && !done {
		return
	}
	heard := s.now + s.trip
	if r.first == 0 {
		r.first = heard
		if r.ticket != nil {
			r.ticket.FirstEvent(epoch.Add(heard))
		}
	} else {
		r.maxPause = max(r.maxPause, heard-r.last)
	}
	r.last = heard
	if !done {
		return
	}
	inTime := r.first-r.at <= milliseconds(r.class.ObjectiveMS) && (r.class.MaxPauseMS <= 0 || r.maxPause <= milliseconds(r.class.MaxPauseMS))
	if inTime {
		s.end(r, InTime)
		return
	}
	s.end(r, Late)
}

// giveUp ends a request at its deadline.
func (s *simulation) giveUp(r *request) {
	if r.outcome == "" {
		s.engines[r.engine].remove(r)
		s.end(r, Failed)
	}
}

func (s *simulation) end(r *request, outcome Outcome) {
	r.outcome = outcome
	s.open--
	if r.ticket != nil {
		result := placement.Neutral
		if outcome == InTime || outcome == Late {
			result = placement.Succeeded
		}
		r.ticket.End(epoch.Add(s.now), result)
	}
	if outcome != Refused {
		s.policy.ended(r.entry, r.engine)
	}
}
