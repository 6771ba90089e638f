package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

var testEngine = EnginePlan{Count: 1, Slots: 4, Memory: 20_000, StepMS: 5, PrefillPerMS: 40, PrefillChunk: 400}

// harness runs one engine with its own clock.
type harness struct {
	*engine
	now      time.Duration
	jobCount int
	// tokenTimes holds the generation times of each request's tokens.
	tokenTimes map[*request][]time.Duration
}

func newHarness(plan EnginePlan) *harness {
	return &harness{engine: newEngine(plan, 0), tokenTimes: make(map[*request][]time.Duration)}
}

func (h *harness) send(priority int, prompt, output ident.Tokens, parts ...RecordedPart) *request {
	h.jobCount++
	sent := &request{priority: priority, arrival: Arrival{Prompt: prompt, Output: output, Parts: parts}}
	h.enqueue(&job{request: sent, number: h.jobCount})
	return sent
}

// runSteps runs steps until the engine is idle, up to a limit.
func (h *harness) runSteps(limit int) {
	for range limit {
		duration := h.startStep(h.now)
		if duration == 0 {
			return
		}
		h.now += duration
		for _, j := range h.finishStep() {
			h.tokenTimes[j.request] = append(h.tokenTimes[j.request], h.now)
		}
	}
}

const untilDone = 10_000

// TestPromptsArePrefilledInChunks checks that a long prompt delays each token of a decoding request by at most one chunk.
func TestPromptsArePrefilledInChunks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(testEngine)
	stream := h.send(0, 100, 60)
	h.runSteps(5)
	long := h.send(0, 8000, 2)
	h.runSteps(untilDone)
	is.Equal(len(h.tokenTimes[stream]), 60)
	is.Equal(len(h.tokenTimes[long]), 2)
	maxGap := time.Duration(0)
	for index := 1; index < len(h.tokenTimes[stream]); index++ {
		maxGap = max(maxGap, h.tokenTimes[stream][index]-h.tokenTimes[stream][index-1])
	}
	is.Equal(maxGap, 15*time.Millisecond) // A step of 5 ms and 400 tokens at 40 per millisecond.
	is.Equal(h.prefilledTokens, ident.Tokens(8100))
	is.Equal(h.requestTokens, ident.Tokens(0))
}

// TestSharedPartsArePrefilledOnce checks that cached parts are not prefilled again, and that the least recently used ones are
// evicted first.
func TestSharedPartsArePrefilledOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(testEngine)
	parts := []RecordedPart{{ID: 1, Tokens: 3000}, {ID: 2, Tokens: 1000}}
	h.send(0, 4500, 1, parts...)
	h.runSteps(untilDone)
	is.Equal(h.prefilledTokens, ident.Tokens(4500))
	h.send(0, 4200, 1, parts...)
	h.runSteps(untilDone)
	is.Equal(h.prefilledTokens, ident.Tokens(4700))
	for id := range uint64(6) {
		h.send(0, 3500, 1, RecordedPart{ID: 10 + id, Tokens: 3000})
		h.runSteps(untilDone)
	}
	before := h.prefilledTokens
	h.send(0, 4200, 1, parts...)
	h.runSteps(untilDone)
	is.Equal(h.prefilledTokens-before, ident.Tokens(4200)) // Both parts had been evicted.
	is.True(h.cachedTokens <= testEngine.Memory)
}

// TestUrgentPromptsGoFirst checks that a more urgent request overtakes a prefill that has already begun.
func TestUrgentPromptsGoFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(testEngine)
	later := h.send(2, 4000, 1)
	h.runSteps(1)
	first := h.send(0, 4000, 1)
	h.runSteps(untilDone)
	is.True(h.tokenTimes[first][0] < h.tokenTimes[later][0])
}

// TestMemoryPreempts checks that the request of lower priority is preempted when memory runs out, and still generates all its
// tokens.
func TestMemoryPreempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := testEngine
	plan.Memory = 1000
	h := newHarness(plan)
	urgent, normal := h.send(0, 400, 300), h.send(1, 400, 300)
	h.runSteps(untilDone)
	is.True(h.preemptions > 0)
	is.Equal(len(h.tokenTimes[urgent]), 300)
	is.Equal(len(h.tokenTimes[normal]), 300)
	is.True(h.tokenTimes[urgent][299] < h.tokenTimes[normal][299])
	is.True(!h.enqueue(&job{request: &request{arrival: Arrival{Prompt: 900, Output: 200}}})) // Exceeds the memory.
}
