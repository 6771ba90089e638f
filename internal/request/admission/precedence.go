package admission

import (
	"sync"
	"time"
)

// Ranks is how many urgencies are told apart.
const Ranks = 10

// Rank is a request's urgency: 0 is first, and below Ranks.
type Rank int

// Times of precedence.
const (
	// blockTime is how long a crowded rank keeps less urgent requests out: long enough that engines end what they read, and
	// short enough that they come back soon after.
	blockTime = time.Second
	// workTime is how long a request occupies its engine, about: while less urgent ones do, more urgent ones are not refused.
	workTime = 5 * time.Second
)

// Precedence gives up less urgent work before more urgent work of the same service.
//
// Load pattern: more of a small urgent kind than the engines read, beside large requests of a less urgent kind. Judged by its own
// objective alone, a large request that may wait long is taken while small urgent ones are refused, and what the engines read
// for it makes the next urgent ones late, too.
//
// The zero value is ready; it is safe for concurrent use.
type Precedence struct {
	mu sync.Mutex
	// crowded is when a request of each rank last had too much ahead of it, and taken when one was last admitted; zero for
	// never. Guarded by mu.
	crowded, taken [Ranks]time.Time
}

// Decide is like the function Decide, but for what ranks owe each other: a request is taken although it will be late while less
// urgent work can be given up, and kept out while more urgent requests are crowded.
func (p *Precedence) Decide(now time.Time, rank Rank, request Request) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	request.GivesWay = now.Sub(newest(p.taken[rank+1:])) < workTime
	verdict := Decide(request)
	if verdict.Crowded {
		p.crowded[rank] = now
	}
	blocked := newest(p.crowded[:rank]).Add(blockTime).Sub(now)
	if verdict.Admit && blocked > 0 {
		verdict = Verdict{Crowded: verdict.Crowded, Blocked: true, ReturnAfter: returnAfter(blocked, request.Random)}
	}
	if verdict.Admit {
		p.taken[rank] = now
	}
	return verdict
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
