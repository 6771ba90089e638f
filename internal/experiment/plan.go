// Package experiment plays loads over models of engines in virtual time, through the decisions that routers make.
//
// A run lasts as long as the simulation and holds nothing afterwards; one seed gives one result.
package experiment

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Plan says what is played: a pool of engines, the entries before it, and the load.
type Plan struct {
	// Seconds is how long requests arrive.
	Seconds float64 `yaml:"seconds"`
	// Entries is how many routers share the pool; each decides by what it has sent and what others tell.
	Entries int `yaml:"entries"`
	// GossipMS is the time between two tellings of an entry's own work to the others.
	GossipMS float64 `yaml:"gossip_ms"`
	// NetworkDelayMS is the way from an entry to an engine, one way; it counts twice in the time to the first event.
	NetworkDelayMS float64    `yaml:"trip_ms"`
	Engines        EnginePlan `yaml:"engines"`
	Classes        []Class    `yaml:"classes"`
	// Customers is how many customers there are; the first has LargeShare of the requests.
	Customers               int     `yaml:"customers"`
	LargestCustomerFraction float64 `yaml:"large_share"`
	// Recording names a file of arrivals, one JSON object a line; classes then give only targets and worth.
	Recording string `yaml:"recording"`
}

// EnginePlan describes like engines.
type EnginePlan struct {
	Count int `yaml:"count"`
	Slots int `yaml:"slots"`
	// Memory is in tokens.
	Memory ident.Tokens `yaml:"memory"`
	// StepMS is the least time of a step, and RunMS what each running request adds.
	StepMS           float64 `yaml:"step_ms"`
	StepMSPerRequest float64 `yaml:"run_ms"`
	// PrefillPerMS is how many prompt tokens are read in a millisecond, and Chunk how many at most between two tokens of others.
	PrefillPerMS float64      `yaml:"read_per_ms"`
	PrefillChunk ident.Tokens `yaml:"chunk"`
	// SlowCount engines, the first ones, take SlowTimes as long from SlowFrom on, in seconds.
	SlowCount       int     `yaml:"slow"`
	SlowFactor      float64 `yaml:"slow_times"`
	SlowFromSeconds float64 `yaml:"slow_from"`
}

// Class is the demand of one class, its targets, and what an answer is worth.
type Class struct {
	ID ident.Class `yaml:"id"`
	// Priority is its urgency, 0 is first.
	Priority  int     `yaml:"rank"`
	PerSecond float64 `yaml:"per_second"`
	Bursts    []Burst `yaml:"bursts"`
	// Shared are the parts that prompts begin with, the most shared one first.
	Shared []SharedPart `yaml:"shared"`
	// UniqueTokens and OutputTokens are means of exponential lengths.
	UniqueTokens float64 `yaml:"own_tokens"`
	OutputTokens float64 `yaml:"output_tokens"`
	// EventTokens is how many tokens one event holds.
	EventTokens int     `yaml:"event_tokens"`
	ObjectiveMS float64 `yaml:"objective_ms"`
	MaxPauseMS  float64 `yaml:"max_pause_ms"`
	DeadlineMS  float64 `yaml:"deadline_ms"`
	// Worth is that of an answer in time, and LateWorth that of a late one.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late_worth"`
	// Retries is how often a refused caller comes back when it was told to.
	Retries int `yaml:"retries"`
}

// Burst multiplies a class's rate for a while.
type Burst struct {
	// From and To are in seconds.
	From   float64 `yaml:"from"`
	To     float64 `yaml:"to"`
	Factor float64 `yaml:"times"`
}

// rate returns the arrivals a second at a time, in seconds.
func (c Class) rate(at float64) float64 {
	rate := c.PerSecond
	for _, burst := range c.Bursts {
		if at >= burst.From && at < burst.To {
			rate *= burst.Factor
		}
	}
	return rate
}

// SharedPart is a part of prompts of which there are several, drawn evenly.
type SharedPart struct {
	Tokens   ident.Tokens `yaml:"tokens"`
	Variants uint64       `yaml:"things"`
}

// Check returns an error that names the first field that breaks a rule.
func (p *Plan) Check() error {
	switch {
	case p.Seconds <= 0:
		return oops.Errorf("seconds: found %g, want a number above 0", p.Seconds)
	case p.Entries < 1:
		return oops.Errorf("entries: found %d, want 1 or more", p.Entries)
	case p.GossipMS <= 0:
		return oops.Errorf("gossip_ms: found %g, want a number above 0", p.GossipMS)
	case len(p.Classes) == 0:
		return oops.Errorf("classes: found none, want at least one")
	case p.Customers < 1 || p.LargestCustomerFraction < 0 || p.LargestCustomerFraction > 1:
		return oops.Errorf("customers: found %d with large_share %g, want 1 or more and a share from 0 to 1", p.Customers, p.LargestCustomerFraction)
	}
	if err := p.Engines.check(); err != nil {
		return err
	}
	for _, class := range p.Classes {
		if class.ID == "" || class.Priority < 0 || class.Priority > maxRank {
			return oops.Errorf("classes: found id %q with rank %d, want an id and a rank from 0 to %d", class.ID, class.Priority, maxRank)
		}
		if class.ObjectiveMS <= 0 || class.DeadlineMS <= 0 || class.EventTokens < 1 {
			return oops.Errorf("class %s: want objective_ms and deadline_ms above 0 and event_tokens of 1 or more", class.ID)
		}
		for _, burst := range class.Bursts {
			if burst.To <= burst.From || burst.Factor <= 0 {
				return oops.Errorf("class %s: want bursts with to after from and times above 0", class.ID)
			}
		}
		if p.Recording == "" && (class.PerSecond <= 0 || class.OutputTokens < 1) {
			return oops.Errorf("class %s: want per_second above 0 and output_tokens of 1 or more", class.ID)
		}
	}
	return nil
}

func (e *EnginePlan) check() error {
	if e.Count < 1 || e.Slots < 1 || e.Memory < 1 || e.PrefillChunk < 1 {
		return oops.Errorf("engines: want count, slots, memory and chunk of 1 or more")
	}
	if e.StepMS <= 0 || e.PrefillPerMS <= 0 || e.StepMSPerRequest < 0 {
		return oops.Errorf("engines: want step_ms and read_per_ms above 0, and run_ms of 0 or more")
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
