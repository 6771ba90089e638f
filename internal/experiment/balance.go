package experiment

import (
	"time"

	"vanillapond/pkg/ident"
)

// balanceInterval is the time between two samples of the engines' queues.
const balanceInterval = 20 * time.Millisecond

// Balance says how evenly the work is spread over the engines while requests arrive.
type Balance struct {
	// BusiestToMean is the mean over time of the longest queue relative to the mean queue. A queue is the time that the engine takes to prefill the
	// prompts that it has.
	BusiestToMean float64 `json:"busiest_to_mean"`
	// IdleBesideQueue is the fraction of the engines' time in which they prefill nothing while another has a queue of more than queuedMS.
	IdleBesideQueue float64 `json:"idle_beside_queue"`
	// FirstShare is the fraction of the requests that the first engine got, the one whose figures are false if any are.
	FirstShare float64 `json:"first_share"`
}

// queuedMS is a queue that delays requests noticeably: a tenth of the longest objective.
const queuedMS = 150

// balanceSums are the sums over the samples; ratios counts those with a queue.
type balanceSums struct {
	busiestToMean, idle float64
	ratios, samples     int
}

// queueMS returns how long the engine takes to prefill the prompts that it has, without those of running steps that are over.
func (e *engine) queueMS() float64 {
	var tokens ident.Tokens
	for _, j := range e.queued {
		tokens += j.arrival.Prompt
	}
	for _, j := range e.prefilling {
		tokens += j.remainingPrefill
	}
	return float64(tokens) / (e.plan.PrefillPerMS * e.speed)
}

// sampleBalance adds a sample, while requests arrive.
func (s *simulation) sampleBalance() {
	if s.now >= seconds(s.plan.Seconds) {
		return
	}
	longest, sum := 0.0, 0.0
	idle := 0
	for _, e := range s.engines {
		queue := e.queueMS()
		longest = max(longest, queue)
		sum += queue
		if queue == 0 {
			idle++
		}
	}
	s.balance.samples++
	if sum > 0 {
		s.balance.busiestToMean += longest * float64(len(s.engines)) / sum
		s.balance.ratios++
	}
	if longest > queuedMS {
		s.balance.idle += float64(idle) / float64(len(s.engines))
	}
	s.scheduleAfter(balanceInterval, s.sampleBalance)
}

// balanceReport returns the means over the samples.
func (s *simulation) balanceReport() Balance {
	first, total := 0, 0
	for _, r := range s.requests {
		if r.outcome == Refused {
			continue
		}
		total++
		if r.engine == 0 {
			first++
		}
	}
	return Balance{
		BusiestToMean:   s.balance.busiestToMean / float64(max(s.balance.ratios, 1)),
		IdleBesideQueue: s.balance.idle / float64(max(s.balance.samples, 1)),
		FirstShare:      float64(first) / float64(max(total, 1)),
	}
}
