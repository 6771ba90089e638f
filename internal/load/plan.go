// Package load sends seeded open-loop load to entries and reports how it was served.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Plan describes the load.
type Plan struct {
	// Seconds is the time during which requests are sent.
	Seconds   float64    `yaml:"seconds"`
	Model     string     `yaml:"model"`
	Classes   []Class    `yaml:"classes"`
	Customers []Customer `yaml:"customers"`
}

// Class describes the demand of one class.
type Class struct {
	ID ident.Class `yaml:"id"`
	// PerSecond is the mean arrival rate, and BurstPerSecond the one from BurstFrom to BurstTo, in seconds from the start.
	PerSecond      float64 `yaml:"per_second"`
	BurstPerSecond float64 `yaml:"burst_per_second"`
	BurstFrom      float64 `yaml:"burst_from"`
	BurstTo        float64 `yaml:"burst_to"`
	// MeanOutputTokens is the mean of the output lengths, which have a log-normal distribution.
	MeanOutputTokens float64 `yaml:"mean_tokens"`
	PromptBytes      int     `yaml:"prompt_bytes"`
	// FirstTokenMS is the target for the time to the first token of the response, in milliseconds.
	FirstTokenMS int64 `yaml:"first_token_ms"`
}

// Customer is one caller; Weight is proportional to its number of requests.
type Customer struct {
	Name   string  `yaml:"name"`
	Key    string  `yaml:"key"`
	Weight float64 `yaml:"share"`
}

// Check returns an error that describes the first invalid part of the plan.
func (p *Plan) Check() error {
	if p.Seconds <= 0 || p.Model == "" || len(p.Classes) == 0 || len(p.Customers) == 0 {
		return oops.Errorf("plan: seconds must be greater than 0, and model, classes and customers must be set")
	}
	for _, class := range p.Classes {
		if class.ID == "" || class.PerSecond < 0 || class.MeanOutputTokens < 1 || class.FirstTokenMS < 1 {
			return oops.Errorf("plan: class %q: id must be set, per_second must be 0 or more, and mean_tokens and first_token_ms must be 1 or more", class.ID)
		}
	}
	for _, customer := range p.Customers {
		if customer.Name == "" || customer.Weight <= 0 {
			return oops.Errorf("plan: customer %q: name must be set and share must be greater than 0", customer.Name)
		}
	}
	return nil
}

// Arrival is one request to send.
type Arrival struct {
	// At is the time from the start of the run.
	At       time.Duration
	Class    Class
	Customer Customer
	Tokens   ident.Tokens
}

// Arrivals returns the plan's requests in order of time. The same seed gives the same requests.
//
// Each class is a Poisson process, thinned to the current rate.
func (p *Plan) Arrivals(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // The load must be reproducible from the seed.
	var arrivals []Arrival
	for _, class := range p.Classes {
		maxRate := max(class.PerSecond, class.BurstPerSecond)
		for at := random.ExpFloat64() / maxRate; at < p.Seconds; at += random.ExpFloat64() / maxRate {
			if random.Float64()*maxRate >= class.arrivalRate(at) {
				continue
			}
			arrivals = append(arrivals, Arrival{
				At: time.Duration(at * float64(time.Second)), Class: class, Customer: p.drawCustomer(random),
				Tokens: class.drawOutputTokens(random),
			})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func (c Class) arrivalRate(at float64) float64 {
	if c.BurstPerSecond > 0 && at >= c.BurstFrom && at < c.BurstTo {
		return c.BurstPerSecond
	}
	return c.PerSecond
}

// drawOutputTokens draws an output length from a heavy-tailed distribution.
func (c Class) drawOutputTokens(random *rand.Rand) ident.Tokens {
	const sigma = 1.0
	return ident.Tokens(max(c.MeanOutputTokens*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), 1))
}

func (p *Plan) drawCustomer(random *rand.Rand) Customer {
	totalWeight := 0.0
	for _, customer := range p.Customers {
		totalWeight += customer.Weight
	}
	remaining := random.Float64() * totalWeight
	for _, customer := range p.Customers {
		if remaining -= customer.Weight; remaining < 0 {
			return customer
		}
	}
	return p.Customers[len(p.Customers)-1]
}
