// Package load sends seeded open-loop load to entries and reports what was served.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Plan says what is sent.
type Plan struct {
	// Seconds is how long requests arrive.
	Seconds   float64    `yaml:"seconds"`
	Model     string     `yaml:"model"`
	Classes   []Class    `yaml:"classes"`
	Customers []Customer `yaml:"customers"`
}

// Class is the demand of one class.
type Class struct {
	ID ident.Class `yaml:"id"`
	// PerSecond is the mean rate of arrivals, and BurstPerSecond the one from BurstFrom to BurstTo, in seconds.
	PerSecond      float64 `yaml:"per_second"`
	BurstPerSecond float64 `yaml:"burst_per_second"`
	BurstFrom      float64 `yaml:"burst_from"`
	BurstTo        float64 `yaml:"burst_to"`
	// MeanOutputTokens is the mean of the outputs' lengths, which are log-normal.
	MeanOutputTokens float64 `yaml:"mean_tokens"`
	PromptBytes      int     `yaml:"prompt_bytes"`
	// FirstTokenMS is the target for the first byte of the answer, in milliseconds.
	FirstTokenMS int64 `yaml:"first_token_ms"`
}

// Customer is one caller with its part of the requests.
type Customer struct {
	Name   string  `yaml:"name"`
	Key    string  `yaml:"key"`
	Weight float64 `yaml:"share"`
}

// Check returns an error that names the first field that breaks a rule.
func (p *Plan) Check() error {
	if p.Seconds <= 0 || p.Model == "" || len(p.Classes) == 0 || len(p.Customers) == 0 {
		return oops.Errorf("plan: want seconds above 0, a model, classes and customers")
	}
	for _, class := range p.Classes {
		if class.ID == "" || class.PerSecond < 0 || class.MeanOutputTokens < 1 || class.FirstTokenMS < 1 {
			return oops.Errorf("plan: class %q: want an id, a rate, mean_tokens and first_token_ms of 1 or more", class.ID)
		}
	}
	for _, customer := range p.Customers {
		if customer.Name == "" || customer.Weight <= 0 {
			return oops.Errorf("plan: customer %q: want a name and a share above 0", customer.Name)
		}
	}
	return nil
}

// Arrival is one request to be sent.
type Arrival struct {
	// At is the time from the start.
	At       time.Duration
	Class    Class
	Customer Customer
	Tokens   ident.Tokens
}

// Arrivals returns the plan's requests in order; the same seed gives the same ones.
func (p *Plan) Arrivals(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A seeded load is wanted.
	var arrivals []Arrival
	for _, class := range p.Classes {
		most := max(class.PerSecond, class.BurstPerSecond)
		for at := random.ExpFloat64() / most; at < p.Seconds; at += random.ExpFloat64() / most {
			if random.Float64()*most >= class.rate(at) {
				continue
			}
			arrivals = append(arrivals, Arrival{
				At: time.Duration(at * float64(time.Second)), Class: class, Customer: p.customer(random), Tokens: class.tokens(random),
			})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func (c Class) rate(at float64) float64 {
	if c.BurstPerSecond > 0 && at >= c.BurstFrom && at < c.BurstTo {
		return c.BurstPerSecond
	}
	return c.PerSecond
}

// tokens draws a heavy-tailed length.
func (c Class) tokens(random *rand.Rand) ident.Tokens {
	const sigma = 1.0
	return ident.Tokens(max(c.MeanOutputTokens*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), 1))
}

func (p *Plan) customer(random *rand.Rand) Customer {
	sum := 0.0
	for _, customer := range p.Customers {
		sum += customer.Weight
	}
	left := random.Float64() * sum
	for _, customer := range p.Customers {
		if left -= customer.Weight; left < 0 {
			return customer
		}
	}
	return p.Customers[len(p.Customers)-1]
}
