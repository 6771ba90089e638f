package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// goodMargin is the cost above that of the best server up to which a server is good enough for a random choice. It is below the cost of using an engine that
// is reserved for other requests, and equals a failure rate of 0.33.
const goodMargin = 0.12

// minRise is the smallest rise of cost per request, so that servers of equal cost share the requests.
const minRise = 1e-6

// option is a server as a choice sees it.
type option struct {
	// cost is the server's cost to a request whose prompt no engine has cached, without the request's own work: with it, fast servers would be preferred twice.
	cost float64
	// gain is what the request saves at this server by parts of its prompt that are cached there; 0 or less.
	gain float64
	// perCost is the number of requests like this one that raise the cost by 1, greater than 0.
	perCost float64
}

// chooseOption returns the index of the option that a request takes; there must be at least one.
//
// Load pattern: many instances choose at the same moment by figures of the same age, and all would take the server that was best then, which is overloaded
// until the next figures, and then avoided by all. unseen is the expected number of requests that the others have placed since these figures. They are
// expected to have raised the lowest costs to one level. Two servers are drawn, and the request takes the one of lower cost: one below the level, with a
// probability proportional to the requests that fit there below it, and one of all good servers, in proportion to their speed. Without unseen requests
// this is the server of least cost; the more there are, the more it is one of two random ones.
//
// A cached prefix counts against the level, not against the outdated differences below it, so that it keeps its value however old the figures are.
func chooseOption(options []option, unseen float64, random *rand.Rand) int {
	level, least := waterLevel(options, unseen)
	if index := bestGain(options, level, unseen, random); index >= 0 {
		return index
	}
	first := draw(options, random, func(each *option) float64 { return each.room(level) })
	if first < 0 {
		return randomLeast(options, least, random)
	}
	second := draw(options, random, func(each *option) float64 {
		if each.cost > least+goodMargin {
			return 0
		}
		return each.perCost
	})
	if second < 0 {
		return first
	}
	if options[second].cost+blur(options, second, unseen, random) < options[first].cost {
		return second
	}
	return first
}

// leastUncertain returns the option of least cost, each cost with a random error as large as that of its estimate. Unlike chooseOption it keeps the
// differences that the error does not explain: latency-sensitive streams use few servers, and on one that is too slow all of them are late.
func leastUncertain(options []option, unseen float64, random *rand.Rand) int {
	best, least := 0, math.Inf(1)
	for index := range options {
		each := &options[index]
		// Half of the error, because what the servers share of it does not change their order.
		if cost := each.cost + each.gain + 1/each.perCost + blur(options, index, unseen, random)/2; cost < least {
			best, least = index, cost
		}
	}
	return best
}

// draw returns the index of a random option with a probability in proportion to its weight, or -1 if no weight is above 0.
func draw(options []option, random *rand.Rand, weight func(*option) float64) int {
	sum := 0.0
	for index := range options {
		sum += weight(&options[index])
	}
	remaining, last := random.Float64()*sum, -1
	for index := range options {
		each := weight(&options[index])
		if each <= 0 {
			continue
		}
		if last = index; remaining < each {
			break
		}
		remaining -= each
	}
	return last
}

// room returns how many requests the server takes until its cost reaches the level.
func (o *option) room(level float64) float64 { return max(level-o.cost, 0) * o.perCost }

// waterLevel returns the cost up to which unseen requests have raised the cheapest options, at most goodMargin above the least cost.
func waterLevel(options []option, unseen float64) (level, least float64) {
	least = math.Inf(1)
	for index := range options {
		least = min(least, options[index].cost)
	}
	level = least + goodMargin
	for {
		capacity, total := 0.0, 0.0
		for index := range options {
			if each := &options[index]; each.cost <= level {
				capacity += each.perCost
				total += each.cost * each.perCost
			}
		}
		const tolerance = 1e-9 // Rounding errors must not prolong the loop.
		next := max((unseen+total)/capacity, least)
		if next >= level-tolerance {
			return level, least
		}
		level = next
	}
}

// bestGain returns the option with a gain that is expected to cost least, or -1 if one at the level without a gain costs less. The comparison is blurred by
// the error of an estimate, so that the instances do not all change their minds at the same moment.
func bestGain(options []option, level, unseen float64, random *rand.Rand) int {
	best, least := -1, math.Inf(1)
	for index := range options {
		each := &options[index]
		if each.gain >= 0 {
			continue
		}
		if cost := max(each.cost, level) + each.gain; cost < least {
			best, least = index, cost
		}
	}
	if best < 0 {
		return -1
	}
	if least+blur(options, best, unseen, random) < level {
		return best
	}
	return -1
}

// blur returns a random error of an option's cost: the number of unseen requests at a server deviates by its root. Without the error,
// instances that see the same figures go on preferring the same servers when figures are old.
func blur(options []option, index int, unseen float64, random *rand.Rand) float64 {
	const width = 3.46 // A uniform distribution of this width has a deviation of 1.
	return width * (random.Float64() - 0.5) * math.Sqrt(unseen/float64(len(options))) / options[index].perCost
}

// randomLeast returns a random one of the options of least cost.
func randomLeast(options []option, least float64, random *rand.Rand) int {
	chosen, ties := 0, 0
	for index := range options {
		if options[index].cost > least {
			continue
		}
		if ties++; random.IntN(ties) == 0 {
			chosen = index
		}
	}
	return chosen
}

// choose returns the server for a request and its cost: the cheapest one, at load-aware services as far as the estimates are certain.
func (b *Balancer) choose(now time.Time, query Query) (*server, float64) {
	if !b.settings.LoadAware || !query.Engine {
		return b.cheapest(now, query)
	}
	costOf := b.protectedCost(query)
	e := &b.estimates
	e.options = e.options[:0]
	e.active, e.prefill, e.servers = 0, 0, len(b.eligible)
	best := 0
	for index, candidate := range b.eligible {
		cost := costOf(candidate)
		each := option{cost: cost}
		if candidate.cachedTokens > 0 || candidate.preference < preferredCount {
			each.cost = withoutCache(costOf, candidate)
			each.gain = cost - each.cost
		}
		if len(candidate.attempts) > 0 || candidate.health.failureRate > toleratedFailureRate {
			each.cost += candidate.penalty(now)
		}
		e.options = append(e.options, each)
		if each.cost < e.options[best].cost {
			best = index
		}
		e.active += candidate.load.Active
		e.prefill += candidate.evidence.backlog
	}
	b.setCapacities(query, costOf, b.eligible[best])
	var chosen int
	if b.speed.latencySensitive(query.MaxPause) {
		chosen = leastUncertain(e.options, e.unseen(now, sensitiveSend), b.random)
	} else {
		chosen = chooseOption(e.options, e.unseen(now, ordinarySend), b.random)
	}
	taken := e.options[chosen]
	return b.eligible[chosen], taken.cost + taken.gain + 1/taken.perCost
}

// withoutCache returns a server's cost to a request whose prompt it has not cached.
func withoutCache(costOf func(*server) float64, candidate *server) float64 {
	preference, tokens := candidate.preference, candidate.cachedTokens
	candidate.preference, candidate.cachedTokens = preferredCount, 0
	cost := costOf(candidate)
	candidate.preference, candidate.cachedTokens = preference, tokens
	return cost
}

// setCapacities sets how many requests like this one raise each option's cost by 1, as at the best server and in proportion to the servers' rates, and takes
// the request's own work out of the costs.
func (b *Balancer) setCapacities(query Query, costOf func(*server) float64, best *server) {
	load := best.load
	before := withoutCache(costOf, best)
	best.load.Active++
	best.load.Prefill[query.PriorityLevel] += query.Prompt - best.cachedTokens
	best.load.KVTokens += query.Prompt + query.Output
	perCost := 1 / (max(withoutCache(costOf, best)-before, minRise) * best.figures.rate)
	best.load = load
	for index, candidate := range b.eligible {
		each := &b.estimates.options[index]
		each.perCost = perCost * candidate.figures.rate
		each.cost -= 1 / each.perCost
	}
}
