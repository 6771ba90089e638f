package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Report holds the service metrics that a caller can observe.
//
// The cost of endpoints and late or wrong usage reports are visible only on the platform's side.
type Report struct {
	Seed    uint64        `json:"seed"`
	Classes []ClassReport `json:"classes"`
	// Goodput is the number of tokens per second in responses that met their target.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// WastedFraction is the fraction of received tokens whose response missed its target or was interrupted.
	WastedFraction float64 `json:"wasted_share"`
	// WorstCustomer is the customer with the least attainment, WorstRatio the ratio of it to that of the median customer.
	WorstCustomer string  `json:"worst_customer"`
	WorstRatio    float64 `json:"worst_share"`
}

// ClassReport holds the metrics of one class.
type ClassReport struct {
	Class ident.Class `json:"class"`
	Sent  int         `json:"sent"`
	// MetTarget counts the requests that met their target, Attainment is their fraction of those sent.
	MetTarget  int     `json:"met"`
	Attainment float64 `json:"attained"`
	// Refused counts refusals by code, Incomplete the requests with neither a refusal nor a complete response.
	Refused    map[api.Code]int `json:"refused"`
	Incomplete int              `json:"broken"`
	Tokens     ident.Tokens     `json:"tokens"`
	// FirstTokenP50MS, FirstTokenP95MS and FirstTokenP99MS are percentiles of the time to the first token, in milliseconds.
	FirstTokenP50MS int64 `json:"first_ms_50"`
	FirstTokenP95MS int64 `json:"first_ms_95"`
	FirstTokenP99MS int64 `json:"first_ms_99"`
}

// Summarize returns the report of samples whose requests arrived over a number of seconds.
func Summarize(samples []Sample, seed uint64, seconds float64) Report {
	report := Report{Seed: seed}
	byClass := make(map[ident.Class][]Sample)
	byCustomer := make(map[string][]Sample)
	var metTokens, totalTokens ident.Tokens
	for _, sample := range samples {
		byClass[sample.Arrival.Class.ID] = append(byClass[sample.Arrival.Class.ID], sample)
		byCustomer[sample.Arrival.Customer.Name] = append(byCustomer[sample.Arrival.Customer.Name], sample)
		totalTokens += sample.Tokens
		if sample.MetTarget() {
			metTokens += sample.Tokens
		}
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		report.Classes = append(report.Classes, summarizeClass(class, byClass[class]))
	}
	report.Goodput = float64(metTokens) / seconds
	report.WastedFraction = 1 - ratio(float64(metTokens), float64(totalTokens))
	report.findWorstCustomer(byCustomer)
	return report
}

func summarizeClass(class ident.Class, samples []Sample) ClassReport {
	const maxMS = int64(time.Hour / time.Millisecond)
	const significantDigits = 3
	histogram := hdrhistogram.New(1, maxMS, significantDigits)
	report := ClassReport{Class: class, Sent: len(samples), Refused: make(map[api.Code]int)}
	for _, sample := range samples {
		report.Tokens += sample.Tokens
		switch {
		case sample.MetTarget():
			report.MetTarget++
		case sample.RefusalCode != "":
			report.Refused[sample.RefusalCode]++
		case sample.TimeToCompletion == 0:
			report.Incomplete++
		}
		if sample.TimeToCompletion > 0 {
			_ = histogram.RecordValue(max(sample.TimeToFirstToken.Milliseconds(), 1))
		}
	}
	report.Attainment = ratio(float64(report.MetTarget), float64(report.Sent))
	report.FirstTokenP50MS = histogram.ValueAtQuantile(50)
	report.FirstTokenP95MS = histogram.ValueAtQuantile(95)
	report.FirstTokenP99MS = histogram.ValueAtQuantile(99)
	return report
}

// findWorstCustomer sets the customer with the least attainment, and its ratio to the median.
func (r *Report) findWorstCustomer(byCustomer map[string][]Sample) {
	attainment := make(map[string]float64)
	for customer, samples := range byCustomer {
		met := 0
		for _, sample := range samples {
			if sample.MetTarget() {
				met++
			}
		}
		attainment[customer] = ratio(float64(met), float64(len(samples)))
	}
	names := slices.SortedFunc(maps.Keys(attainment), func(a, b string) int {
		if attainment[a] < attainment[b] || attainment[a] == attainment[b] && a < b {
			return -1
		}
		return 1
	})
	if len(names) == 0 {
		return
	}
	r.WorstCustomer = names[0]
	r.WorstRatio = ratio(attainment[names[0]], attainment[names[len(names)/2]])
}

// ratio returns the quotient, or 1 if the denominator is 0.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 1
	}
	return numerator / denominator
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	for _, class := range r.Classes {
		if _, err := fmt.Fprintf(w, "class %-12s sent %5d attained %.3f refused %v broken %d tokens %d first ms p50 %d p95 %d p99 %d\n",
			class.Class, class.Sent, class.Attainment, class.Refused, class.Incomplete, class.Tokens,
			class.FirstTokenP50MS, class.FirstTokenP95MS, class.FirstTokenP99MS); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "goodput %.0f tokens/s, wasted %.4f, worst customer %s at %.3f of the median\n",
		r.Goodput, r.WastedFraction, r.WorstCustomer, r.WorstRatio)
	return err
}
