// Package forecast estimates how much service a request will take before its output is known.
package forecast

import (
	"time"

	"vanillapond/pkg/ident"
)

// Figures of the estimate.
const (
	// keep is the share of the old mean that one more sample leaves.
	keep = 0.9
	// enough is how many samples make a customer's own mean known.
	enough = 5
	// maxKnown bounds the remembered means.
	maxKnown = 1 << 15
	// unknown is the estimate without any sample, in tokens.
	unknown = 128
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
	services map[key]mean
	leads    map[ident.Class]mean
}

// New returns a table without samples.
func New() *Estimator {
	return &Estimator{services: make(map[key]mean), leads: make(map[ident.Class]mean)}
}

// OutputTokens returns the expected service of a request, in tokens; at least 1.
func (t *Estimator) OutputTokens(class ident.Class, customer ident.Customer) ident.Tokens {
	if own := t.services[key{class, customer}]; own.samples >= enough {
		return max(ident.Tokens(own.value), 1)
	}
	if whole := t.services[key{class: class}]; whole.samples > 0 {
		return max(ident.Tokens(whole.value), 1)
	}
	return unknown
}

// TimeToFirstByte returns the expected time from a request's start to its first byte; 0 without a sample.
func (t *Estimator) TimeToFirstByte(class ident.Class) time.Duration {
	return time.Duration(t.leads[class].value)
}

// ObserveOutputTokens counts the service of a finished request, in tokens.
func (t *Estimator) ObserveOutputTokens(class ident.Class, customer ident.Customer, service ident.Tokens) {
	if len(t.services) >= maxKnown {
		clear(t.services)
	}
	for _, name := range []key{{class: class}, {class, customer}} {
		t.services[name] = t.services[name].with(float64(service))
	}
}

// ObserveTimeToFirstByte counts the time from a request's start to its first byte.
func (t *Estimator) ObserveTimeToFirstByte(class ident.Class, lead time.Duration) {
	t.leads[class] = t.leads[class].with(float64(lead))
}

func (m mean) with(sample float64) mean {
	if m.samples == 0 {
		return mean{value: sample, samples: 1}
	}
	return mean{value: m.value*keep + sample*(1-keep), samples: min(m.samples+1, enough)}
}
