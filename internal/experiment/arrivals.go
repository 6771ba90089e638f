package experiment

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/samber/oops"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// Arrival is one request of a load; a recording holds one a line, as JSON.
type Arrival struct {
	// AtMS is from the start of the load.
	AtMS     float64        `json:"at_ms"`
	Class    ident.Class    `json:"class"`
	Customer ident.Customer `json:"customer"`
	// Prompt counts all tokens of the prompt, shared ones too.
	Prompt ident.Tokens `json:"prompt"`
	Output ident.Tokens `json:"output"`
	// Parts are what the prompt shares with others, in order.
	Parts []RecordedPart `json:"parts,omitempty"`
}

// RecordedPart is a shared part of a prompt.
type RecordedPart struct {
	ID     uint64       `json:"id"`
	Tokens ident.Tokens `json:"tokens"`
}

// Check returns an error where a field breaks its invariant.
func (a Arrival) Check() error {
	if a.AtMS < 0 || a.Class == "" || a.Prompt < 1 || a.Output < 1 {
		return oops.Errorf("arrival: want at_ms of 0 or more, a class, and prompt and output of 1 or more")
	}
	return nil
}

// WriteArrivals writes arrivals in the form that Read reads.
func WriteArrivals(w io.Writer, arrivals []Arrival) error {
	encoder := json.NewEncoder(w)
	for _, arrival := range arrivals {
		if err := encoder.Encode(arrival); err != nil {
			return oops.Wrapf(err, "record")
		}
	}
	return nil
}

// ReadArrivals reads recorded arrivals; an error names the line.
func ReadArrivals(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		var arrival Arrival
		if err := json.Unmarshal(scanner.Bytes(), &arrival); err != nil {
			return nil, oops.Wrapf(err, "recording, line %d", line)
		}
		if err := arrival.Check(); err != nil {
			return nil, oops.Wrapf(err, "recording, line %d", line)
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals, scanner.Err()
}

// Generate draws the plan's load; arrivals of a class are independent of each other.
func Generate(plan Plan, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A seeded load is wanted.
	var arrivals []Arrival
	for index, class := range plan.Classes {
		first := uint64(index)
		for at := 0.0; ; {
			if at += random.ExpFloat64() / class.rate(at); at >= plan.Seconds {
				break
			}
			arrivals = append(arrivals, class.draw(random, first, at, plan))
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return arrivals
}

// draw draws one request of a class; chain tells its parts from those of other classes.
func (c Class) draw(random *rand.Rand, chain uint64, at float64, plan Plan) Arrival {
	const longest = 5 // Times the mean.
	arrival := Arrival{
		AtMS: at * 1000, Class: c.ID, Customer: plan.customer(random),
		Prompt: ident.Tokens(min(random.ExpFloat64(), longest)*c.UniqueTokens) + 1,
		Output: ident.Tokens(min(random.ExpFloat64(), longest)*c.OutputTokens) + 1,
	}
	for _, part := range c.Shared {
		chain = chain*1_000_003 + random.Uint64N(max(part.Variants, 1)) + 1
		arrival.Parts = append(arrival.Parts, RecordedPart{ID: chain, Tokens: part.Tokens})
		arrival.Prompt += part.Tokens
	}
	return arrival
}

func (p Plan) customer(random *rand.Rand) ident.Customer {
	number := 0
	if p.Customers > 1 && random.Float64() >= p.LargestCustomerFraction {
		number = 1 + random.IntN(p.Customers-1)
	}
	return ident.Customer("c" + strconv.Itoa(number))
}

// query is what a router knows of the request; the length of the output is known only on the mean of its class.
func (a Arrival) query(class Class) placement.Query {
	query := placement.Query{
		Engine: true, PriorityLevel: placement.PriorityLevel(class.Priority), Prompt: a.Prompt, Output: ident.Tokens(class.OutputTokens),
		Objective: milliseconds(class.ObjectiveMS), MaxPause: milliseconds(class.MaxPauseMS),
	}
	for _, part := range a.Parts {
		query.Parts = append(query.Parts, placement.Part{PrefixHash: part.ID, Tokens: part.Tokens})
	}
	return query
}
