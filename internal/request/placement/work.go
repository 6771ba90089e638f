package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// workDecay is the factor by which the weight of earlier requests is multiplied with each finished one.
const workDecay = 0.95

// workTimes estimates how long the servers of a service take for a request from its start; the zero value knows nothing.
type workTimes struct {
	// outputSeconds are those that streams took from their first event to their end, and outputTokens the tokens that they were expected to have. The
	// quotient corrects both for the servers' speed under their present load and for callers' estimates that are mostly too low or too high.
	outputSeconds, outputTokens float64
	// plainSeconds are those that plainRequests took at plain servers.
	plainSeconds, plainRequests float64
}

func (w *workTimes) observeOutput(tokens ident.Tokens, took time.Duration) {
	w.outputSeconds = w.outputSeconds*workDecay + took.Seconds()
	w.outputTokens = w.outputTokens*workDecay + float64(max(tokens, 0))
}

func (w *workTimes) observePlain(took time.Duration) {
	w.plainSeconds = w.plainSeconds*workDecay + took.Seconds()
	w.plainRequests = w.plainRequests*workDecay + 1
}

// output returns the expected time from the first event of a stream to its end, 0 if it is not known.
func (w *workTimes) output(tokens ident.Tokens) time.Duration {
	if w.outputTokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * w.outputSeconds / w.outputTokens * float64(time.Second))
}

// plain returns the expected time of a request at a plain server, 0 if it is not known.
func (w *workTimes) plain() time.Duration {
	if w.plainRequests <= 0 {
		return 0
	}
	return time.Duration(w.plainSeconds / w.plainRequests * float64(time.Second))
}

// Work is how long a server is expected to take for a request from the moment at which it starts it.
type Work struct {
	// ToFirst is the time to the first bytes of the response, and ToComplete that to the last ones, at least ToFirst.
	ToFirst, ToComplete time.Duration
}

// ExpectedWork returns the work of a request at a server of average speed that has cached none of its prompt.
func (b *Balancer) ExpectedWork(query Query) Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !query.Engine {
		return Work{ToFirst: b.work.plain(), ToComplete: b.work.plain()}
	}
	average := figures{rate: b.speed.rate, baseMs: milliseconds(b.speed.base())}
	return b.workAt(&average, query.Prompt, query.Output)
}

// workAt returns the work of a request at an engine that has to prefill uncached tokens of it.
func (b *Balancer) workAt(speed *figures, uncached, output ident.Tokens) Work {
	first := speed.prefillTime(uncached) + speed.base()
	return Work{ToFirst: first, ToComplete: first + b.work.output(output)}
}

// observeWork records how long a request took that is complete, or already took longer than expected when its caller's time was up: without these, the
// streams of a time in which most are not completed would seem fast. The caller holds mu.
func (a *Attempt) observeWork(now time.Time, result Result) {
	work := &a.balancer.work
	switch {
	case a.plain && result == Succeeded:
		work.observePlain(now.Sub(a.sentAt))
	case a.plain || !a.started || a.expectedOutput <= 0:
	case result == Succeeded, result == Neutral && now.Sub(a.firstEventAt) > work.output(a.expectedOutput):
		work.observeOutput(a.expectedOutput, now.Sub(a.firstEventAt))
	}
}
