// Package forecast estimates how much service a request will take before its output is known.
package forecast

import (
	"time"

	"vanillapond/pkg/ident"
)

// Figures of the estimate.
const (
	// decay is the share of the old mean that one more sample leaves.
	decay = 0.9
	// minSamples is how many samples make a customer's own mean known.
	minSamples = 5
	// maxMeans bounds the remembered means.
	maxMeans = 1 << 15
	// defaultTokens is the estimate without any sample, in tokens.
	defaultTokens = 128
)

// key names a class, or a customer in a class.
type key struct {
	class    ident.Class
	customer ident.Customer
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	// samples counts up to enough.
	samples int
}

// Estimator holds the running means; the caller holds the lock.
type Estimator struct {
	outputTokens map[key]mean
	firstBytes   map[ident.Class]mean
}

// New returns a table without samples.
func New() *Estimator {
	return &Estimator{outputTokens: make(map[key]mean), firstBytes: make(map[ident.Class]mean)}
}

// OutputTokens returns the expected service of a request, in tokens; at least 1.
func (e *Estimator) OutputTokens(class ident.Class, customer ident.Customer) ident.Tokens {
	if own := e.outputTokens[key{class, customer}]; own.samples >= minSamples {
		return max(ident.Tokens(own.value), 1)
	}
	if classMean := e.outputTokens[key{class: class}]; classMean.samples > 0 {
		return max(ident.Tokens(classMean.value), 1)
	}
	return defaultTokens
}

// TimeToFirstByte returns the expected time from a request's start to its first byte; 0 without a sample.
func (e *Estimator) TimeToFirstByte(class ident.Class) time.Duration {
	return time.Duration(e.firstBytes[class].value)
}

// ObserveOutputTokens counts the service of a finished request, in tokens.
func (e *Estimator) ObserveOutputTokens(class ident.Class, customer ident.Customer, output ident.Tokens) {
	if len(e.outputTokens) >= maxMeans {
		clear(e.outputTokens)
	}
	for _, meanKey := range []key{{class: class}, {class, customer}} {
		e.outputTokens[meanKey] = e.outputTokens[meanKey].add(float64(output))
	}
}

// ObserveTimeToFirstByte counts the time from a request's start to its first byte.
func (e *Estimator) ObserveTimeToFirstByte(class ident.Class, duration time.Duration) {
	e.firstBytes[class] = e.firstBytes[class].add(float64(duration))
}

func (m mean) add(sample float64) mean {
	if m.samples == 0 {
		return mean{value: sample, samples: 1}
	}
	return mean{value: m.value*decay + sample*(1-decay), samples: min(m.samples+1, minSamples)}
}
