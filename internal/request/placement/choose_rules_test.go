package placement

import "math"

// noCapacity is the cost at which a server has no free capacity: that of a queue of 200 ms.
const noCapacity = longQueue * costPerMS

func cheapestOf(v *view, among func(server int) bool) int {
	best := -1
	for server := range v.options {
		if among(server) && (best < 0 || v.options[server].cost < v.options[best].cost) {
			best = server
		}
	}
	return best
}

func all(int) bool { return true }

// The rules that were weighed, by name.
var replayRules = map[string]pickRule{
	"perfect":  {perfect: true, pick: func(v *view) int { return cheapestOf(v, all) }},
	"cheapest": {pick: func(v *view) int { return cheapestOf(v, all) }},
	"level": {pick: func(v *view) int {
		for index := range v.options {
			v.options[index].cost -= 1 / v.options[index].perCost
		}
		return chooseOption(v.options, v.unseen, v.random)
	}},
	"2 of n": {pick: func(v *view) int { return pickOfN(v, 2) }},
	"4 of n": {pick: func(v *view) int { return pickOfN(v, 4) }},
	"subset": {pick: func(v *view) int {
		const parts = 4
		return cheapestOf(v, func(server int) bool {
			return mix(uint64(server)*31+uint64(v.instance))%parts == 0 || server == v.instance%len(v.options)
		})
	}},
	"free capacity": {pick: func(v *view) int {
		return pickWeighted(v, func(server int) float64 {
			return max(noCapacity-v.options[server].cost, costPerMS) * v.options[server].perCost
		})
	}},
	"share of slots": {pick: func(v *view) int {
		// Each instance takes its part of the room below the objective at each server, and what it has there itself counts in full.
		best, least := 0, math.Inf(1)
		offset := int(mix(uint64(v.instance)) % uint64(len(v.options)))
		for index := range v.options {
			server := (index + offset) % len(v.options)
			room := max(noCapacity-v.options[server].cost, costPerMS) * v.options[server].perCost / float64(v.instances)
			if used := (v.own[server]/replayWork + 1) / room; used < least {
				best, least = server, used
			}
		}
		return best
	}},
	"bounded hash": {pick: func(v *view) int {
		sum := 0.0
		for server := range v.options {
			sum += v.options[server].cost
		}
		limit := 1.25 * sum / float64(len(v.options))
		best, weight := -1, uint64(0)
		for server := range v.options {
			if each := mix(v.key ^ mix(uint64(server)+1)); v.options[server].cost <= limit && (best < 0 || each > weight) {
				best, weight = server, each
			}
		}
		return best
	}},
}

func pickOfN(v *view, d int) int {
	best := v.random.IntN(len(v.options))
	for range d - 1 {
		if other := v.random.IntN(len(v.options)); v.options[other].cost < v.options[best].cost {
			best = other
		}
	}
	return best
}

func pickWeighted(v *view, weight func(server int) float64) int {
	sum := 0.0
	for server := range v.options {
		sum += weight(server)
	}
	remaining := v.random.Float64() * sum
	for server := range v.options {
		if remaining -= weight(server); remaining < 0 {
			return server
		}
	}
	return len(v.options) - 1
}
