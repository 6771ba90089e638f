package admission

import (
	"math"
	"sync"
	"time"
)

// PriorityLevels is how many urgencies are told apart.
const PriorityLevels = 10

// PriorityLevel is a request's urgency: 0 is first, and below Ranks.
type PriorityLevel int

// Times of precedence.
const (
	// blockTime is how long a crowded rank keeps less urgent requests out: long enough that engines end what they read, and
	// short enough that they come back soon after.
	blockTime = time.Second
	// workTime is how long a request occupies its engine, about: while less urgent ones do, more urgent ones are not refused.
	workTime = 5 * time.Second
)

// What a rank is left while more urgent ones are crowded, so that it does not starve.
const (
	// floorShare is the part of a rank's requests that may be taken: a little more than a quarter of what all would get.
	floorShare = 0.3
	// trickleShare bounds them by the crowded ranks' requests: so few could hardly have been served instead.
	trickleShare = 1.0 / 24
	// countTime is the time over which requests are counted, with weights that fall to a third.
	countTime = 5 * time.Second
)

// Controller gives up less urgent work before more urgent work of the same service.
//
// Load pattern: more of a small urgent kind than the engines read, beside large requests of a less urgent kind. Judged by its own
// objective alone, a large request that may wait long is taken while small urgent ones are refused, and what the engines read
// for it makes the next urgent ones late, too.
//
// The zero value is ready; it is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
	// counts are of the requests of each rank, as of countedAt; guarded by mu.
	counts    [PriorityLevels]rankCounts
	countedAt time.Time
	// crowded is when a request of each rank last had too much ahead of it, and taken when one was last admitted; zero for
	// never. Guarded by mu.
	crowded, taken [PriorityLevels]time.Time
}

// rankCounts are weighted numbers of requests.
type rankCounts struct {
	// asked counts all, taken those that were admitted, and passed those of them that went past crowded ranks.
	asked, taken, passed float64
}

// Decide is like the function Decide, but for what ranks owe each other: a request is taken although it will be late while less
// urgent work can be given up, and kept out while more urgent requests are crowded and none less urgent is under way, but for a
// floor of its rank.
func (p *Controller) Decide(now time.Time, rank PriorityLevel, request Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.age(now)
	counts := &p.counts[rank]
	counts.asked++
	request.LowerPriorityActive = now.Sub(newest(p.taken[rank+1:])) < workTime
	verdict := Decide(request)
	if verdict.LikelyLate {
		p.crowded[rank] = now
	}
	// What is least urgent of all that is under way gives way first.
	if blocked := newest(p.crowded[:rank]).Add(blockTime).Sub(now); verdict.Admit && blocked > 0 && !request.LowerPriorityActive {
		if counts.taken+1 > floorShare*counts.asked || counts.passed+1 > trickleShare*p.crowd(now, rank) {
			return Decision{LikelyLate: verdict.LikelyLate, Blocked: true, RetryAfter: returnAfter(blocked, request.Random)}
		}
		counts.passed++
	}
	if verdict.Admit {
		counts.taken++
		p.taken[rank] = now
	}
	return verdict
}

// age lets earlier requests count less; the caller holds mu.
func (p *Controller) age(now time.Time) {
	weight := math.Exp(-float64(now.Sub(p.countedAt)) / float64(countTime))
	p.countedAt = now
	for rank := range p.counts {
		counts := &p.counts[rank]
		counts.asked, counts.taken, counts.passed = weight*counts.asked, weight*counts.taken, weight*counts.passed
	}
}

// crowd returns the requests of the most asked for of the crowded ranks above one; the caller holds mu.
func (p *Controller) crowd(now time.Time, below PriorityLevel) float64 {
	most := 0.0
	for rank, at := range p.crowded[:below] {
		if now.Sub(at) < blockTime {
			most = max(most, p.counts[rank].asked)
		}
	}
	return most
}

func newest(times []time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}
