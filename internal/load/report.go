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

// Report is what a caller can see of the brief's measures.
//
// The cost of endpoints and late or off usage reports are not visible to a caller; the platform's side shows them.
type Report struct {
	Seed    uint64        `json:"seed"`
	Classes []ClassReport `json:"classes"`
	// Goodput is the tokens a second of answers that met their target.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// WastedFraction is the share of received tokens whose answer missed its target or broke off.
	WastedFraction float64 `json:"wasted_share"`
	// WorstCustomer has the least attainment; WorstShare is that against the median customer's.
	WorstCustomer string  `json:"worst_customer"`
	WorstRatio    float64 `json:"worst_share"`
}

// ClassReport is one class's part of a report.
type ClassReport struct {
	Class      ident.Class `json:"class"`
	Sent       int         `json:"sent"`
	MetTarget  int         `json:"met"`
	Attainment float64     `json:"attained"`
	// Refused counts refusals by code; Broken counts requests without a whole answer or a refusal.
	Refused    map[api.Code]int `json:"refused"`
	Incomplete int              `json:"broken"`
	Tokens     ident.Tokens     `json:"tokens"`
	// FirstTokenP50MS, FirstMS95 and FirstMS99 are quantiles of the time to the first byte, in milliseconds.
	FirstTokenP50MS int64 `json:"first_ms_50"`
	FirstTokenP95MS int64 `json:"first_ms_95"`
	FirstTokenP99MS int64 `json:"first_ms_99"`
}

// Summarize makes a report of samples that arrived over some seconds.
func Summarize(samples []Sample, seed uint64, seconds float64) Report {
	report := Report{Seed: seed}
	byClass := make(map[ident.Class][]Sample)
	byCustomer := make(map[string][]Sample)
	var good, all ident.Tokens
	for _, sample := range samples {
		byClass[sample.Arrival.Class.ID] = append(byClass[sample.Arrival.Class.ID], sample)
		byCustomer[sample.Arrival.Customer.Name] = append(byCustomer[sample.Arrival.Customer.Name], sample)
		all += sample.Tokens
		if sample.MetTarget() {
			good += sample.Tokens
		}
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		report.Classes = append(report.Classes, sumClass(class, byClass[class]))
	}
	report.Goodput = float64(good) / seconds
	report.WastedFraction = 1 - share(float64(good), float64(all))
	report.worst(byCustomer)
	return report
}

func sumClass(class ident.Class, samples []Sample) ClassReport {
	const longest = int64(time.Hour / time.Millisecond)
	const digits = 3
	histogram := hdrhistogram.New(1, longest, digits)
	sum := ClassReport{Class: class, Sent: len(samples), Refused: make(map[api.Code]int)}
	for _, sample := range samples {
		sum.Tokens += sample.Tokens
		switch {
		case sample.MetTarget():
			sum.MetTarget++
		case sample.RefusalCode != "":
			sum.Refused[sample.RefusalCode]++
		case sample.TimeToCompletion == 0:
			sum.Incomplete++
		}
		if sample.TimeToCompletion > 0 {
			_ = histogram.RecordValue(max(sample.TimeToFirstToken.Milliseconds(), 1))
		}
	}
	sum.Attainment = share(float64(sum.MetTarget), float64(sum.Sent))
	sum.FirstTokenP50MS = histogram.ValueAtQuantile(50)
	sum.FirstTokenP95MS = histogram.ValueAtQuantile(95)
	sum.FirstTokenP99MS = histogram.ValueAtQuantile(99)
	return sum
}

// worst finds the customer with the least attainment.
func (r *Report) worst(byCustomer map[string][]Sample) {
	attained := make(map[string]float64)
	for customer, samples := range byCustomer {
		met := 0
		for _, sample := range samples {
			if sample.MetTarget() {
				met++
			}
		}
		attained[customer] = share(float64(met), float64(len(samples)))
	}
	names := slices.SortedFunc(maps.Keys(attained), func(a, b string) int {
		if attained[a] < attained[b] || attained[a] == attained[b] && a < b {
			return -1
		}
		return 1
	})
	if len(names) == 0 {
		return
	}
	r.WorstCustomer = names[0]
	r.WorstRatio = share(attained[names[0]], attained[names[len(names)/2]])
}

// share returns part over whole, 1 where there is nothing.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// Write prints the report as text.
func (r Report) Write(w io.Writer) error {
	for _, class := range r.Classes {
		if _, err := fmt.Fprintf(w, "class %-12s sent %5d attained %.3f refused %v broken %d tokens %d first ms p50 %d p95 %d p99 %d\n",
			class.Class, class.Sent, class.Attainment, class.Refused, class.Incomplete, class.Tokens, class.FirstTokenP50MS, class.FirstTokenP95MS, class.FirstTokenP99MS); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "goodput %.0f tokens/s, wasted %.4f, worst customer %s at %.3f of the median\n",
		r.Goodput, r.WastedFraction, r.WorstCustomer, r.WorstRatio)
	return err
}
