package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

var testEngine = EnginePlan{Count: 1, Slots: 4, Memory: 20_000, StepMS: 5, PrefillPerMS: 40, PrefillChunk: 400}

// rig is one engine with its own clock.
type rig struct {
	*engine
	now  time.Duration
	jobs int
	// tokens holds when each request made its tokens.
	tokens map[*request][]time.Duration
}

func newRig(plan EnginePlan) *rig {
	return &rig{engine: newEngine(plan, false), tokens: make(map[*request][]time.Duration)}
}

func (r *rig) send(rank int, prompt, output ident.Tokens, parts ...RecordedPart) *request {
	r.jobs++
	asked := &request{rank: rank, arrival: Arrival{Prompt: prompt, Output: output, Parts: parts}}
	r.add(&job{request: asked, number: r.jobs})
	return asked
}

// steps plays steps until there is nothing to do, or as many as are given.
func (r *rig) steps(most int) {
	for range most {
		took := r.begin(r.now)
		if took == 0 {
			return
		}
		r.now += took
		for _, j := range r.end() {
			r.tokens[j.request] = append(r.tokens[j.request], r.now)
		}
	}
}

const untilDone = 10_000

// TestPromptsArePrefilledInChunks holds that a long prompt delays each token of a running stream by one chunk at most.
func TestPromptsArePrefilledInChunks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig(testEngine)
	stream := r.send(0, 100, 60)
	r.steps(5)
	long := r.send(0, 8000, 2)
	r.steps(untilDone)
	is.Equal(len(r.tokens[stream]), 60)
	is.Equal(len(r.tokens[long]), 2)
	widest := time.Duration(0)
	for index := 1; index < len(r.tokens[stream]); index++ {
		widest = max(widest, r.tokens[stream][index]-r.tokens[stream][index-1])
	}
	is.Equal(widest, 15*time.Millisecond) // A step and 400 tokens at 40 a millisecond.
	is.Equal(r.read, ident.Tokens(8100))
	is.Equal(r.held, ident.Tokens(0))
}

// TestSharedPartsArePrefilledOnce holds that cached parts are not read again, and that the least lately used ones yield.
func TestSharedPartsArePrefilledOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig(testEngine)
	parts := []RecordedPart{{ID: 1, Tokens: 3000}, {ID: 2, Tokens: 1000}}
	r.send(0, 4500, 1, parts...)
	r.steps(untilDone)
	is.Equal(r.read, ident.Tokens(4500))
	r.send(0, 4200, 1, parts...)
	r.steps(untilDone)
	is.Equal(r.read, ident.Tokens(4700))
	for id := range uint64(6) {
		r.send(0, 3500, 1, RecordedPart{ID: 10 + id, Tokens: 3000})
		r.steps(untilDone)
	}
	before := r.read
	r.send(0, 4200, 1, parts...)
	r.steps(untilDone)
	is.Equal(r.read-before, ident.Tokens(4200)) // Both parts had yielded.
	is.True(r.kept <= testEngine.Memory)
}

// TestUrgentPromptsGoFirst holds that a more urgent request that comes later starts first.
func TestUrgentPromptsGoFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig(testEngine)
	later := r.send(2, 4000, 1)
	r.steps(1)
	first := r.send(0, 4000, 1)
	r.steps(untilDone)
	is.True(r.tokens[first][0] < r.tokens[later][0])
}

// TestMemoryPreempts holds that the newest of the least urgent requests makes room, and still makes all its tokens.
func TestMemoryPreempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := testEngine
	plan.Memory = 1000
	r := newRig(plan)
	urgent, idle := r.send(0, 400, 300), r.send(1, 400, 300)
	r.steps(untilDone)
	is.True(r.preempted > 0)
	is.Equal(len(r.tokens[urgent]), 300)
	is.Equal(len(r.tokens[idle]), 300)
	is.True(r.tokens[urgent][299] < r.tokens[idle][299])
	is.True(!r.add(&job{request: &request{arrival: Arrival{Prompt: 900, Output: 200}}})) // Larger than the memory.
}
