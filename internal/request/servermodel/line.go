package servermodel

import "math"

// line is a duration that grows linearly with a size: fixed + perUnit times the size, in milliseconds.
type line struct{ fixed, perUnit float64 }

func (l line) at(size float64) float64 { return l.fixed + l.perUnit*size }

// Assumptions before the first sample. The first events are on the fast side: a rate that is too low makes the first requests be refused as
// late, and one that is too high is corrected by the first responses.
var (
	priorFirstEvent = line{fixed: 15, perUnit: 1.0 / 64}
	priorStep       = line{fixed: 4, perUnit: 0.05}
)

const (
	// bucketsPerOctave divides sizes, such as the tokens of a prompt, into buckets; within one, the prior's shape is precise enough.
	bucketsPerOctave = 2
	bucketCount      = 32
	// curveTau is the time constant of the service's curves in seconds. The shape is a property of the engines and the model, so it changes
	// only with a release.
	curveTau = 20.0
	// Up to the age youngAge of the first samples, in seconds, the time constant is youngTau of their age, and minCurveTau at least: they were
	// normalized by speeds of servers that were not known yet.
	youngTau    = 0.2
	minCurveTau = 0.3
	youngAge    = 5.0
	// priorWeight is the weight of the prior in a fit, in samples.
	priorWeight = 0.25
	// minFixed is the smallest fixed part in milliseconds, and minPerUnit the smallest growth, relative to the prior's.
	minFixed   = 0.05
	minPerUnit = 0.01
)

// curve estimates the line of a service from samples of all servers. Samples are kept relative to the prior, which is the same at all
// instances, so that they can be added.
type curve struct {
	prior line
	// quantile is the quantile of durations that counts as that without unknown load.
	quantile float64
	// firstSize is the size of the first bucket.
	firstSize float64
	buckets   [bucketCount]histogram
	// decayedTo is the time, in seconds, to which the weights are decayed, and since that of the first decay.
	decayedTo, since float64
	// fitted is the line in use. meanSize is the mean size of recent samples, 0 before the first.
	fitted   line
	meanSize float64
}

func newCurve(prior line, quantile, firstSize float64) curve {
	return curve{prior: prior, quantile: quantile, firstSize: firstSize, fitted: prior}
}

func (c *curve) bucketOf(size float64) int {
	bucket := math.Round(bucketsPerOctave * math.Log2(max(size, c.firstSize)/c.firstSize))
	return min(int(bucket), bucketCount-1)
}

func (c *curve) sizeOf(bucket int) float64 {
	return c.firstSize * math.Exp2(float64(bucket)/bucketsPerOctave)
}

// add records a duration in milliseconds, normalized to the service's median server.
func (c *curve) add(size, duration, weight float64) {
	c.buckets[c.bucketOf(size)].add(duration/c.prior.at(size), weight)
	const meanWeight = 0.02
	if c.meanSize == 0 {
		c.meanSize = size
	}
	c.meanSize += meanWeight * (size - c.meanSize)
}

// typicalSize is the size at which two lines are compared.
func (c *curve) typicalSize() float64 {
	if c.meanSize == 0 {
		return c.sizeOf(bucketCount / 4)
	}
	return c.meanSize
}

// decay lets the samples' weights decay to a time in seconds.
func (c *curve) decay(seconds float64) {
	if c.since == 0 {
		c.since, c.decayedTo = seconds, seconds
	}
	timeConstant := curveTau
	if age := seconds - c.since; age < youngAge {
		timeConstant = max(youngTau*age, minCurveTau)
	}
	if factor := math.Exp(-(seconds - c.decayedTo) / timeConstant); factor < 1 {
		for index := range c.buckets {
			c.buckets[index].scale(factor)
		}
	}
	c.decayedTo = max(seconds, c.decayedTo)
}

// fit returns the line through the low quantiles of the buckets by least squares of the relative errors, and the weight of the samples.
func (c *curve) fit(buckets *[bucketCount]histogram) (line, float64) {
	// Normal equations of the relative errors, with the prior as two samples.
	a11 := priorWeight / (c.prior.fixed * c.prior.fixed)
	a22 := priorWeight / (c.prior.perUnit * c.prior.perUnit)
	a12, b1, b2, total := 0.0, priorWeight/c.prior.fixed, priorWeight/c.prior.perUnit, 0.0
	for index := range buckets {
		weight := buckets[index].total()
		if weight < minBinWeight {
			continue
		}
		size := c.sizeOf(index)
		duration := c.prior.at(size) * buckets[index].quantile(c.quantile)
		u, v := 1/duration, size/duration
		a11, a12, a22 = a11+weight*u*u, a12+weight*u*v, a22+weight*v*v
		b1, b2, total = b1+weight*u, b2+weight*v, total+weight
	}
	determinant := a11*a22 - a12*a12
	result := line{fixed: (b1*a22 - b2*a12) / determinant, perUnit: (b2*a11 - b1*a12) / determinant}
	if least := minPerUnit * c.prior.perUnit; result.perUnit < least {
		result = line{fixed: (b1 - a12*least) / a11, perUnit: least}
	}
	if result.fixed < minFixed {
		result = line{fixed: minFixed, perUnit: max((b2-a12*minFixed)/a22, minPerUnit*c.prior.perUnit)}
	}
	return result, total
}
