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

// Arrival is one request of a load. A recording holds one arrival per line, as JSON.
type Arrival struct {
	// AtMS is the time from the start of the load, in milliseconds.
	AtMS     float64        `json:"at_ms"`
	Class    ident.Class    `json:"class"`
	Customer ident.Customer `json:"customer"`
	// Prompt is the number of prompt tokens, including those of shared parts.
	Prompt ident.Tokens `json:"prompt"`
	Output ident.Tokens `json:"output"`
	// Parts are the parts that the prompt shares with others, in order from its beginning.
	Parts []RecordedPart `json:"parts,omitempty"`
}

// RecordedPart is a shared part of a prompt; equal IDs mean equal contents up to and including the part.
type RecordedPart struct {
	ID     uint64       `json:"id"`
	Tokens ident.Tokens `json:"tokens"`
}

// Check returns an error if a field is invalid.
func (a Arrival) Check() error {
	if a.AtMS < 0 || a.Class == "" || a.Prompt < 1 || a.Output < 1 {
		return oops.Errorf("arrival: at_ms must be 0 or more, class must be set, and prompt and output must be 1 or more")
	}
	return nil
}

// WriteArrivals writes a recording of arrivals, which ReadArrivals reads back.
func WriteArrivals(w io.Writer, arrivals []Arrival) error {
	encoder := json.NewEncoder(w)
	for _, arrival := range arrivals {
		if err := encoder.Encode(arrival); err != nil {
			return oops.Wrapf(err, "record")
		}
	}
	return nil
}

// ReadArrivals reads a recording of arrivals; an error names the line.
func ReadArrivals(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		var arrival Arrival
		if err := json.Unmarshal(scanner.Bytes(), &arrival); err != nil {
			return nil, oops.Wrapf(err, "read recording: line %d", line)
		}
		if err := arrival.Check(); err != nil {
			return nil, oops.Wrapf(err, "read recording: line %d", line)
		}
		arrivals = append(arrivals, arrival)
	}
	return arrivals, scanner.Err()
}

// Generate draws the arrivals of a plan. The gaps between arrivals of a class are exponentially distributed and independent.
func Generate(plan Plan, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // The load must be reproducible from the seed.
	var arrivals []Arrival
	for index, class := range plan.Classes {
		first := uint64(index)
		for at := 0.0; ; {
			if at += random.ExpFloat64() / class.arrivalRate(at); at >= plan.Seconds {
				break
			}
			arrivals = append(arrivals, class.drawArrival(random, first, at, plan))
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return arrivals
}

// drawArrival draws one request of a class. The initial prefixHash differs between classes, so that their part IDs differ, too.
func (c Class) drawArrival(random *rand.Rand, prefixHash uint64, at float64, plan Plan) Arrival {
	const maxLength = 5 // In multiples of the mean.
	arrival := Arrival{
		AtMS: at * 1000, Class: c.ID, Customer: plan.drawCustomer(random),
		Prompt: ident.Tokens(min(random.ExpFloat64(), maxLength)*c.UniqueTokens) + 1,
		Output: ident.Tokens(min(random.ExpFloat64(), maxLength)*c.OutputTokens) + 1,
	}
	for _, part := range c.Shared {
		prefixHash = prefixHash*1_000_003 + random.Uint64N(max(part.Variants, 1)) + 1
		arrival.Parts = append(arrival.Parts, RecordedPart{ID: prefixHash, Tokens: part.Tokens})
		arrival.Prompt += part.Tokens
	}
	return arrival
}

func (p Plan) drawCustomer(random *rand.Rand) ident.Customer {
	number := 0
	if p.Customers > 1 && random.Float64() >= p.LargestCustomerFraction {
		number = 1 + random.IntN(p.Customers-1)
	}
	return ident.Customer("c" + strconv.Itoa(number))
}

// query returns what a router knows about the request. It does not know the output length, only the mean of the class.
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
