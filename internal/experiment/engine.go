package experiment

import (
	"cmp"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// maxRank is the least urgent rank that engines tell apart.
const maxRank = 9

// engine batches requests: each step reads a chunk of prompts and makes one token for every request that runs.
//
// Prompts are read in order of urgency and arrival. Shared parts stay cached until others need the memory, the least lately
// used first. Where running requests fill the memory, the newest of the least urgent one is preempted and read again.
type engine struct {
	plan EnginePlan
	// slowFrom is when the engine turns slow, 0 for never.
	slowFrom time.Duration
	waiting  []*job
	// reading are admitted and not read whole; running make tokens.
	reading, running []*job
	// cached holds the last use of each part.
	cached map[uint64]cachedPart
	// held is the tokens of admitted requests, and kept those of cached parts.
	held, kept ident.Tokens
	// busy says that a step is under way.
	busy bool
	// chunkRead is what the step under way reads.
	chunkRead ident.Tokens
	// read counts prompt tokens that were read, and preempted counts preemptions.
	read      ident.Tokens
	preempted int
}

type cachedPart struct {
	tokens ident.Tokens
	used   time.Duration
}

// job is a request at an engine.
type job struct {
	*request
	number int
	// left is what is still to be read, and made how many tokens were made.
	left, made ident.Tokens
	// size is what it holds in memory.
	size ident.Tokens
}

func newEngine(plan EnginePlan, slow bool) *engine {
	e := &engine{plan: plan, cached: make(map[uint64]cachedPart)}
	if slow {
		e.slowFrom = seconds(plan.SlowFromSeconds)
	}
	return e
}

// urgency orders jobs: by rank, then by arrival at the engine.
func urgency(a, b *job) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
}

// add takes a request in; one that is larger than the memory is refused.
func (e *engine) add(j *job) bool {
	if j.arrival.Prompt+j.arrival.Output > e.plan.Memory {
		return false
	}
	e.waiting = append(e.waiting, j)
	return true
}

// remove drops a request whose caller has left.
func (e *engine) remove(gone *request) {
	is := func(j *job) bool { return j.request == gone }
	for _, list := range []*[]*job{&e.reading, &e.running} {
		for _, j := range *list {
			if is(j) {
				e.held -= j.size
			}
		}
		*list = slices.DeleteFunc(*list, is)
	}
	e.waiting = slices.DeleteFunc(e.waiting, is)
}

// begin starts a step and returns how long it takes, or 0 where there is nothing to do.
func (e *engine) begin(now time.Duration) time.Duration {
	e.admit(now)
	if len(e.reading)+len(e.running) == 0 {
		return 0
	}
	e.busy = true
	slices.SortFunc(e.reading, urgency)
	e.chunkRead = 0
	for _, j := range e.reading {
		e.chunkRead += min(j.left, e.plan.PrefillChunk-e.chunkRead)
	}
	took := milliseconds(e.plan.StepMS + e.plan.StepMSPerRequest*float64(len(e.running)) + float64(e.chunkRead)/e.plan.PrefillPerMS)
	if e.slowFrom > 0 && now >= e.slowFrom {
		took = time.Duration(float64(took) * e.plan.SlowFactor)
	}
	return took
}

// admit moves waiting requests to reading while there are slots and memory.
func (e *engine) admit(now time.Duration) {
	slices.SortFunc(e.waiting, urgency)
	for len(e.waiting) > 0 && len(e.reading)+len(e.running) < e.plan.Slots {
		next := e.waiting[0]
		size := next.arrival.Prompt + next.made
		if e.held+size > e.plan.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		next.size, next.left = size, size
		holds := true
		for _, part := range next.arrival.Parts {
			known, found := e.cached[part.ID]
			if holds = holds && found; holds {
				next.left -= known.tokens
			}
		}
		next.left = max(next.left, 1)
		e.held += size
		e.evict()
		e.reading = append(e.reading, next)
		for _, part := range next.arrival.Parts {
			e.keep(now, part)
		}
	}
}

// keep notes the use of a part, and caches it where there is room.
func (e *engine) keep(now time.Duration, part RecordedPart) {
	if _, found := e.cached[part.ID]; !found {
		e.kept += part.Tokens
	}
	e.cached[part.ID] = cachedPart{tokens: part.Tokens, used: now}
	e.evict()
}

// evict drops cached parts until they fit beside what requests hold.
func (e *engine) evict() {
	for len(e.cached) > 0 && e.held+e.kept > e.plan.Memory {
		var oldest uint64
		first := true
		for id, part := range e.cached {
			if first || part.used < e.cached[oldest].used || part.used == e.cached[oldest].used && id < oldest {
				oldest, first = id, false
			}
		}
		e.kept -= e.cached[oldest].tokens
		delete(e.cached, oldest)
	}
}

// end ends a step: it returns the requests that made a token.
func (e *engine) end() []*job {
	e.busy = false
	left := e.chunkRead
	e.read += left
	var made []*job
	for _, j := range e.running {
		j.made++
		j.size++
		e.held++
		made = append(made, j)
	}
	still := e.reading[:0]
	for _, j := range e.reading {
		part := min(j.left, left)
		j.left -= part
		left -= part
		if j.left > 0 {
			still = append(still, j)
			continue
		}
		j.made++
		made = append(made, j)
		e.running = append(e.running, j)
	}
	e.reading = still
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		done := j.made >= j.arrival.Output
		if done {
			e.held -= j.size
		}
		return done
	})
	e.preempt()
	return made
}

// preempt makes room where running requests have outgrown the memory.
func (e *engine) preempt() {
	for e.held > e.plan.Memory && len(e.running) > 1 {
		last := slices.MaxFunc(e.running, urgency)
		e.remove(last.request)
		e.waiting = append(e.waiting, last)
		e.preempted++
	}
	e.evict()
}
