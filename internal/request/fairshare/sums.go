package fairshare

import (
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// Work is an amount of work of an engine, in prefilled tokens.
type Work float64

// outputWeight is the work of an output token. It occupies an engine about as long as the prefill of ten tokens.
const outputWeight = 10

// maxRequestWork bounds the work of one request: callers announce the length of the output, and a false one must not count as the capacity of
// the service. It is the prefill of an engine in a few seconds.
const maxRequestWork = 1 << 18

// WorkOf returns the work of a request, at most maxRequestWork.
func WorkOf(uncached, output ident.Tokens) Work {
	return min(Work(max(uncached, 0))+outputWeight*Work(max(output, 0)), maxRequestWork)
}

// PriorityLevels is the number of priorities.
const PriorityLevels = 10

// PriorityLevel is a request's priority, from 0, the highest, to PriorityLevels-1.
type PriorityLevel int

func (p PriorityLevel) clamped() PriorityLevel { return min(max(p, 0), PriorityLevels-1) }

// sums are the decaying sums of a customer's work by priority, as amounts of a timeScale.
type sums struct {
	// asked is the work of all requests, and used that of the admitted ones.
	asked, used [PriorityLevels]float64
}

func (s *sums) add(other *sums, factor float64) {
	for at := range s.asked {
		s.asked[at] += factor * other.asked[at]
		s.used[at] += factor * other.used[at]
	}
}

func (s *sums) multiply(factor float64) {
	for at := range s.asked {
		s.asked[at] *= factor
		s.used[at] *= factor
	}
}

func (s *sums) askedTotal() float64 { return total(&s.asked) }

func (s *sums) usedTotal() float64 { return total(&s.used) }

// total returns the sum of the amounts, 0 if it is negative because amounts were subtracted with rounding errors.
func total(amounts *[PriorityLevels]float64) float64 {
	var sum float64
	for _, amount := range amounts {
		sum += amount
	}
	return max(sum, 0)
}

// maxGrowth bounds the growth of a timeScale far below the range of a float64.
const maxGrowth = 1e30

// timeScale lets sums decay without a change of each of them: instead, amounts that are added later count more. The current value of an
// amount is amount*unit.
type timeScale struct {
	reference time.Time
	// growth is by how much an amount added now counts more than one added at reference; 0 before the first call of advance.
	growth float64
}

// advance sets the current time. It returns a factor by which the caller must multiply all amounts if it is not 1.
func (t *timeScale) advance(now time.Time) float64 {
	if t.growth == 0 {
		t.reference, t.growth = now, 1
		return 1
	}
	t.growth = math.Exp(float64(now.Sub(t.reference)) / float64(decayPeriod))
	if t.growth <= maxGrowth {
		return 1
	}
	factor := 1 / t.growth
	t.reference, t.growth = now, 1
	return factor
}

// scaled returns the amount of work that is done now.
func (t *timeScale) scaled(work Work) float64 { return float64(work) * t.growth }

// unit returns the current value of an amount of 1.
func (t *timeScale) unit() float64 { return 1 / t.growth }

// advance sets the current time; the caller holds mu.
func (c *Controller) advance(now time.Time) {
	factor := c.time.advance(now)
	if factor == 1 {
		return
	}
	for _, account := range c.own {
		account.multiply(factor)
	}
	c.ownOthers.multiply(factor)

	c.remote.multiply(factor)
}

// account returns the sums of a customer's requests at this instance, which it creates if necessary; the caller holds mu.
func (c *Controller) account(now time.Time, customer ident.Customer) *sums {
	if account := c.own[customer]; account != nil {
		return account
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	if len(c.own) >= maxCustomers {
		c.mergeSmallest()
	}
	account := &sums{}
	c.own[customer] = account
	return account
}

// mergeSmallest adds the customer with the least demand to the others; the caller holds mu.
func (c *Controller) mergeSmallest() {
	var smallest ident.Customer
	least := math.Inf(1)
	for customer, account := range c.own {
		if asked := account.askedTotal(); asked < least || asked == least && customer < smallest {
			smallest, least = customer, asked
		}
	}
	c.ownOthers.add(c.own[smallest], 1)
	delete(c.own, smallest)
}
