// Package forecast estimates the output length of a request from its class and customer, and the time to its first byte from
// its class, before it runs.
package forecast

import (
	"time"

	"vanillapond/pkg/ident"
)

// Parameters of the estimates.
const (
	// decay is the weight of the previous mean when a sample is added.
	decay = 0.9
	// minSamples is the number of samples needed before a customer's own mean is used instead of its class's.
	minSamples = 5
	// maxMeans bounds the number of means of output lengths; when it is reached, all of them are discarded.
	maxMeans = 1 << 15
	// defaultTokens is the estimated output length without any sample.
	defaultTokens = 128
)

// key identifies a customer in a class, or all of the class if customer is empty.
type key struct {
	class    ident.Class
	customer ident.Customer
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	// samples is the number of samples, counted up to minSamples.
	samples int
}

// Estimator holds the moving averages of output lengths and times to the first byte. It is not safe for concurrent use:
// the caller serializes calls.
type Estimator struct {
	outputTokens    map[key]mean
	timeToFirstByte map[ident.Class]mean
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{outputTokens: make(map[key]mean), timeToFirstByte: make(map[ident.Class]mean)}
}

// OutputTokens returns the expected output of a request in tokens; at least 1.
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
	return time.Duration(e.timeToFirstByte[class].value)
}

// ObserveOutputTokens adds the output of a finished request, in tokens.
func (e *Estimator) ObserveOutputTokens(class ident.Class, customer ident.Customer, output ident.Tokens) {
	if len(e.outputTokens) >= maxMeans {
		clear(e.outputTokens)
	}
	for _, meanKey := range []key{{class: class}, {class, customer}} {
		e.outputTokens[meanKey] = e.outputTokens[meanKey].add(float64(output))
	}
}

// ObserveTimeToFirstByte adds the time from a request's start to its first byte.
func (e *Estimator) ObserveTimeToFirstByte(class ident.Class, duration time.Duration) {
	e.timeToFirstByte[class] = e.timeToFirstByte[class].add(float64(duration))
}

func (m mean) add(sample float64) mean {
	if m.samples == 0 {
		return mean{value: sample, samples: 1}
	}
	return mean{value: m.value*decay + sample*(1-decay), samples: min(m.samples+1, minSamples)}
}
