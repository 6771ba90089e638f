package fairshare

import (
	"math"
	"slices"
)

// Level returns the largest amount that each customer may use, by the demands of the customers and the capacity that they share: those with a
// smaller demand get all of it, and the others get the level (max-min fairness). It is infinite if the capacity is enough for all. It sorts the
// demands.
func Level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	remaining := max(capacity, 0)
	for at, demand := range demands {
		share := remaining / float64(len(demands)-at)
		if demand > share {
			return share
		}
		remaining -= demand
	}
	return math.Inf(1)
}
