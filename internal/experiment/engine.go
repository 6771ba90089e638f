package experiment

import (
	"cmp"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// lowestPriority is the largest priority value that engines distinguish; 0 is served first.
const lowestPriority = 9

// engine models an engine with continuous batching: each step prefills a chunk of prompt tokens and generates one token for
// every decoding request.
//
// Prompts are prefilled in order of priority, then arrival. Shared parts stay cached until the memory is needed, and are evicted
// in LRU order. When decoding requests exceed the memory, the newest one of the lowest priority is preempted; its prompt and
// the tokens generated so far are prefilled again.
type engine struct {
	plan EnginePlan
	// speed is the factor of the nominal speed.
	speed float64
	// slowFrom is the time at which the engine becomes slow, 0 for never.
	slowFrom time.Duration
	queued   []*job
	// prefilling holds admitted requests whose prefill is incomplete, decoding those that generate tokens.
	prefilling, decoding []*job
	// cached holds the shared parts in the prefix cache, by part ID.
	cached map[uint64]cachedPart
	// requestTokens is the memory in use by admitted requests, cachedTokens that of cached parts.
	requestTokens, cachedTokens ident.Tokens
	// stepping is set while a step is in progress.
	stepping bool
	// stepPrefill is the number of prompt tokens that the current step prefills.
	stepPrefill ident.Tokens
	// prefilledTokens and preemptions are totals over the run.
	prefilledTokens ident.Tokens
	preemptions     int
}

type cachedPart struct {
	tokens   ident.Tokens
	lastUsed time.Duration
}

// job is one attempt of a request at an engine.
type job struct {
	*request
	// number is the order of arrival at the engines.
	number int
	// remainingPrefill is the number of tokens still to prefill, generated that of output tokens.
	remainingPrefill, generated ident.Tokens
	// memory is the number of tokens that the job holds in the engine's memory.
	memory ident.Tokens
}

func newEngine(plan EnginePlan, index int) *engine {
	e := &engine{plan: plan, speed: 1, cached: make(map[uint64]cachedPart)}
	if len(plan.Speeds) > 0 {
		e.speed = plan.Speeds[index%len(plan.Speeds)]
	}
	if index < plan.SlowCount {
		e.slowFrom = seconds(plan.SlowFromSeconds)
	}
	return e
}

// comparePriority orders jobs by priority, then by arrival.
func comparePriority(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.number, b.number))
}

// enqueue adds a job to the queue. It returns false for a job that exceeds the engine's memory.
func (e *engine) enqueue(j *job) bool {
	if j.arrival.Prompt+j.arrival.Output > e.plan.Memory {
		return false
	}
	e.queued = append(e.queued, j)
	return true
}

// remove drops a request that is preempted or whose caller has given up.
func (e *engine) remove(removed *request) {
	isRemoved := func(j *job) bool { return j.request == removed }
	for _, list := range []*[]*job{&e.prefilling, &e.decoding} {
		for _, j := range *list {
			if isRemoved(j) {
				e.requestTokens -= j.memory
			}
		}
		*list = slices.DeleteFunc(*list, isRemoved)
	}
	e.queued = slices.DeleteFunc(e.queued, isRemoved)
}

// startStep starts a step and returns its duration, or 0 if the engine is idle.
func (e *engine) startStep(now time.Duration) time.Duration {
	e.admit(now)
	if len(e.prefilling)+len(e.decoding) == 0 {
		return 0
	}
	e.stepping = true
	slices.SortFunc(e.prefilling, comparePriority)
	e.stepPrefill = 0
	for _, j := range e.prefilling {
		e.stepPrefill += min(j.remainingPrefill, e.plan.PrefillChunk-e.stepPrefill)
	}
	duration := milliseconds(e.plan.StepMS + e.plan.StepMSPerRequest*float64(len(e.decoding)) +
		float64(e.stepPrefill)/e.plan.PrefillPerMS)
	if e.speed != 1 {
		duration = time.Duration(float64(duration) / e.speed)
	}
	if e.slowFrom > 0 && now >= e.slowFrom {
		duration = time.Duration(float64(duration) * e.plan.SlowFactor)
	}
	return duration
}

// admit moves queued jobs to prefilling while slots and memory are free; cached leading parts need no prefill.
func (e *engine) admit(now time.Duration) {
	slices.SortFunc(e.queued, comparePriority)
	for len(e.queued) > 0 && len(e.prefilling)+len(e.decoding) < e.plan.Slots {
		next := e.queued[0]
		size := next.arrival.Prompt + next.generated
		if e.requestTokens+size > e.plan.Memory {
			return
		}
		e.queued = e.queued[1:]
		next.memory, next.remainingPrefill = size, size
		prefixCached := true
		for _, part := range next.arrival.Parts {
			hit, found := e.cached[part.ID]
			if prefixCached = prefixCached && found; prefixCached {
				next.remainingPrefill -= hit.tokens
			}
		}
		next.remainingPrefill = max(next.remainingPrefill, 1)
		e.requestTokens += size
		e.evict()
		e.prefilling = append(e.prefilling, next)
		for _, part := range next.arrival.Parts {
			e.cachePart(now, part)
		}
	}
}

// cachePart adds a part to the prefix cache or updates its last use, and evicts parts if the memory is exceeded.
func (e *engine) cachePart(now time.Duration, part RecordedPart) {
	if _, found := e.cached[part.ID]; !found {
		e.cachedTokens += part.Tokens
	}
	e.cached[part.ID] = cachedPart{tokens: part.Tokens, lastUsed: now}
	e.evict()
}

// evict drops the least recently used parts until the cache fits into the memory that requests leave free.
func (e *engine) evict() {
	for len(e.cached) > 0 && e.requestTokens+e.cachedTokens > e.plan.Memory {
		var oldest uint64
		first := true
		for id, part := range e.cached {
			if first || part.lastUsed < e.cached[oldest].lastUsed || part.lastUsed == e.cached[oldest].lastUsed && id < oldest {
				oldest, first = id, false
			}
		}
		e.cachedTokens -= e.cached[oldest].tokens
		delete(e.cached, oldest)
	}
}

// finishStep ends a step and returns the jobs that generated a token.
func (e *engine) finishStep() []*job {
	e.stepping = false
	budget := e.stepPrefill
	e.prefilledTokens += budget
	var emitted []*job
	for _, j := range e.decoding {
		j.generated++
		j.memory++
		e.requestTokens++
		emitted = append(emitted, j)
	}
	unfinished := e.prefilling[:0]
	for _, j := range e.prefilling {
		chunk := min(j.remainingPrefill, budget)
		j.remainingPrefill -= chunk
		budget -= chunk
		if j.remainingPrefill > 0 {
			unfinished = append(unfinished, j)
			continue
		}
		j.generated++
		emitted = append(emitted, j)
		e.decoding = append(e.decoding, j)
	}
	e.prefilling = unfinished
	e.decoding = slices.DeleteFunc(e.decoding, func(j *job) bool {
		done := j.generated >= j.arrival.Output
		if done {
			e.requestTokens -= j.memory
		}
		return done
	})
	e.preempt()
	return emitted
}

// preempt returns jobs to the queue until the decoding requests fit into memory again.
func (e *engine) preempt() {
	for e.requestTokens > e.plan.Memory && len(e.decoding) > 1 {
		victim := slices.MaxFunc(e.decoding, comparePriority)
		e.remove(victim.request)
		e.queued = append(e.queued, victim)
		e.preemptions++
	}
	e.evict()
}
