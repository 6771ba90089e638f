// Package experiment simulates load on a pool of engines in virtual time, with the router's own placement and admission code
// or with simpler policies for comparison.
//
// A run keeps no state after it ends. The same plan, policy and seed give the same result.
package experiment

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Plan describes a simulation: a pool of engines, the entries in front of it, and the load.
type Plan struct {
	// Seconds is the time during which requests arrive.
	Seconds float64 `yaml:"seconds"`
	// Entries is the number of entries that share the pool. Each decides from the requests that it has sent itself and from
	// the load reports of the others.
	Entries int `yaml:"entries"`
	// GossipMS is the interval at which an entry reports its local load to the others.
	GossipMS float64    `yaml:"gossip_ms"`
	Reports  ReportPlan `yaml:"reports"`
	// LoadAware turns on load-aware routing; classes whose max_pause_ms is the smallest are then latency-sensitive.
	LoadAware bool `yaml:"load_aware"`
	// NetworkDelayMS is the one-way delay between an entry and an engine; the time to the first event includes it twice.
	NetworkDelayMS float64    `yaml:"trip_ms"`
	Engines        EnginePlan `yaml:"engines"`
	Classes        []Class    `yaml:"classes"`
	// Customers is the number of customers; the first sends LargestCustomerFraction of the requests.
	Customers               int     `yaml:"customers"`
	LargestCustomerFraction float64 `yaml:"large_share"`
	// Recording names a file of arrivals, one JSON object per line. Classes then only define targets and worth.
	Recording string `yaml:"recording"`
}

// EnginePlan describes the engines of the pool, which are identical except for the slow ones.
type EnginePlan struct {
	Count int `yaml:"count"`
	Slots int `yaml:"slots"`
	// Memory is the capacity of the KV cache, in tokens.
	Memory ident.Tokens `yaml:"memory"`
	// StepMS is the base duration of a step; StepMSPerRequest is added for each decoding request.
	StepMS           float64 `yaml:"step_ms"`
	StepMSPerRequest float64 `yaml:"run_ms"`
	// PrefillPerMS is the number of prompt tokens prefilled per millisecond. PrefillChunk limits the prompt tokens of one step,
	// and so the delay that a prompt adds between two output tokens of other requests.
	PrefillPerMS float64      `yaml:"read_per_ms"`
	PrefillChunk ident.Tokens `yaml:"chunk"`
	// The first SlowCount engines take SlowFactor times as long for each step from SlowFromSeconds on.
	SlowCount       int     `yaml:"slow"`
	SlowFactor      float64 `yaml:"slow_times"`
	SlowFromSeconds float64 `yaml:"slow_from"`
	// Speeds are factors of the nominal speed, such as 0.6 for an engine whose steps take 1/0.6 times as long. Engine i has the factor at i modulo their
	// number; without any, all engines have nominal speed.
	Speeds []float64 `yaml:"speeds"`
}

// Class describes the demand of one class, its targets, and the worth of its responses.
type Class struct {
	ID ident.Class `yaml:"id"`
	// Priority 0 is served first.
	Priority  int     `yaml:"rank"`
	PerSecond float64 `yaml:"per_second"`
	Bursts    []Burst `yaml:"bursts"`
	// Shared lists the parts that make up the common prefix of prompts, the most widely shared one first.
	Shared []SharedPart `yaml:"shared"`
	// UniqueTokens and OutputTokens are the means of the exponentially distributed lengths of the unshared prompt and the output.
	UniqueTokens float64 `yaml:"own_tokens"`
	OutputTokens float64 `yaml:"output_tokens"`
	// EventTokens is the number of tokens in one event of the response stream.
	EventTokens int     `yaml:"event_tokens"`
	ObjectiveMS float64 `yaml:"objective_ms"`
	MaxPauseMS  float64 `yaml:"max_pause_ms"`
	DeadlineMS  float64 `yaml:"deadline_ms"`
	// Worth is the value of a response within the targets, LateWorth that of a late one.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late_worth"`
	// Retries limits how often a refused caller retries when the refusal gives a delay.
	Retries int `yaml:"retries"`
}

// Burst multiplies the arrival rate of a class during an interval.
type Burst struct {
	// From and To are in seconds from the start of the load.
	From   float64 `yaml:"from"`
	To     float64 `yaml:"to"`
	Factor float64 `yaml:"times"`
}

// arrivalRate returns the arrivals per second at a time, in seconds from the start.
func (c Class) arrivalRate(at float64) float64 {
	rate := c.PerSecond
	for _, burst := range c.Bursts {
		if at >= burst.From && at < burst.To {
			rate *= burst.Factor
		}
	}
	return rate
}

// SharedPart is a prompt part with Variants different contents, drawn uniformly.
type SharedPart struct {
	Tokens   ident.Tokens `yaml:"tokens"`
	Variants uint64       `yaml:"things"`
}

// Check returns an error that names the first invalid field.
func (p *Plan) Check() error {
	switch {
	case p.Seconds <= 0:
		return oops.Errorf("seconds: found %g, must be greater than 0", p.Seconds)
	case p.Entries < 1:
		return oops.Errorf("entries: found %d, must be 1 or more", p.Entries)
	case p.GossipMS <= 0:
		return oops.Errorf("gossip_ms: found %g, must be greater than 0", p.GossipMS)
	case len(p.Classes) == 0:
		return oops.Errorf("classes: at least one class is required")
	case p.Customers < 1 || p.LargestCustomerFraction < 0 || p.LargestCustomerFraction > 1:
		return oops.Errorf("customers: found %d with large_share %g, want 1 or more customers and a large_share from 0 to 1", p.Customers, p.LargestCustomerFraction)
	}
	if err := p.Engines.check(); err != nil {
		return err
	}
	if err := p.Reports.check(); err != nil {
		return err
	}
	for _, class := range p.Classes {
		if class.ID == "" || class.Priority < 0 || class.Priority > lowestPriority {
			return oops.Errorf("classes: found id %q with rank %d, want an id and a rank from 0 to %d", class.ID, class.Priority, lowestPriority)
		}
		if class.ObjectiveMS <= 0 || class.DeadlineMS <= 0 || class.EventTokens < 1 {
			return oops.Errorf("class %s: objective_ms and deadline_ms must be greater than 0 and event_tokens 1 or more", class.ID)
		}
		for _, burst := range class.Bursts {
			if burst.To <= burst.From || burst.Factor <= 0 {
				return oops.Errorf("class %s: bursts must have to after from and times greater than 0", class.ID)
			}
		}
		if p.Recording == "" && (class.PerSecond <= 0 || class.OutputTokens < 1) {
			return oops.Errorf("class %s: per_second must be greater than 0 and output_tokens 1 or more", class.ID)
		}
	}
	return nil
}

func (e *EnginePlan) check() error {
	if e.Count < 1 || e.Slots < 1 || e.Memory < 1 || e.PrefillChunk < 1 {
		return oops.Errorf("engines: count, slots, memory and chunk must be 1 or more")
	}
	if e.StepMS <= 0 || e.PrefillPerMS <= 0 || e.StepMSPerRequest < 0 {
		return oops.Errorf("engines: step_ms and read_per_ms must be greater than 0, and run_ms 0 or more")
	}
	for _, factor := range e.Speeds {
		if factor <= 0 {
			return oops.Errorf("engines: speeds: found %g, must be greater than 0", factor)
		}
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
