package experiment

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"vanillapond/pkg/ident"
)

// windowLength is the span of arrivals that one window of a report covers.
const windowLength = 2 * time.Second

// OutcomeStats counts outcomes of a group of requests.
type OutcomeStats struct {
	Requests int `json:"asked"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Worth is what was earned of what all of them in time would have earned, 0 to 1.
	Worth float64 `json:"worth"`
	// FirstEventP50MS and FirstMS99 are quantiles of the time to the first event of those that were served, in milliseconds.
	FirstEventP50MS float64 `json:"first_ms_50"`
	FirstEventP99MS float64 `json:"first_ms_99"`

	earned, owed float64
	firsts       []time.Duration
}

// Report is the result of one run.
type Report struct {
	Policy string       `json:"policy"`
	Seed   uint64       `json:"seed"`
	Total  OutcomeStats `json:"all"`
	// Classes, Customers and Sizes group by class, customer and tenth of a class by size, the largest last.
	Classes     map[ident.Class]*OutcomeStats    `json:"classes"`
	Customers   map[ident.Customer]*OutcomeStats `json:"customers"`
	SizeDeciles []*OutcomeStats                  `json:"sizes"`
	// Windows are of two seconds of arrivals each.
	Windows []*OutcomeStats `json:"windows"`
	// PrefilledTokens counts prompt tokens that engines have read, and Preempted requests that had to make room.
	PrefilledTokens ident.Tokens `json:"read"`
	Preemptions     int          `json:"preempted"`
}

func (t *OutcomeStats) add(r *request) {
	t.Requests++
	t.owed += r.class.Worth
	switch r.outcome {
	case InTime:
		t.InTime++
		t.earned += r.class.Worth
	case Late:
		t.Late++
		t.earned += r.class.LateWorth
	case Refused:
		t.Refused++
	case Failed:
		t.Failed++
	}
	if r.outcome == InTime || r.outcome == Late {
		t.firsts = append(t.firsts, r.first-r.at)
	}
}

func (t *OutcomeStats) close() {
	if t.owed > 0 {
		t.Worth = t.earned / t.owed
	}
	slices.Sort(t.firsts)
	quantile := func(part float64) float64 {
		if len(t.firsts) == 0 {
			return 0
		}
		return float64(t.firsts[int(part*float64(len(t.firsts)-1))]) / float64(time.Millisecond)
	}
	t.FirstEventP50MS, t.FirstEventP99MS = quantile(0.5), quantile(0.99)
}

const tenths = 10

func (s *simulation) report(config Config) Report {
	report := Report{
		Policy: config.Policy, Seed: config.Seed, Classes: make(map[ident.Class]*OutcomeStats), Customers: make(map[ident.Customer]*OutcomeStats),
	}
	for range tenths {
		report.SizeDeciles = append(report.SizeDeciles, &OutcomeStats{})
	}
	bySize := make(map[ident.Class][]*request)
	for _, r := range s.requests {
		window := int(r.at / windowLength)
		for len(report.Windows) <= window {
			report.Windows = append(report.Windows, &OutcomeStats{})
		}
		report.Total.add(r)
		report.Windows[window].add(r)
		group(report.Classes, r.arrival.Class).add(r)
		group(report.Customers, r.arrival.Customer).add(r)
		bySize[r.arrival.Class] = append(bySize[r.arrival.Class], r)
	}
	for _, requests := range bySize {
		slices.SortStableFunc(requests, func(a, b *request) int { return cmp.Compare(a.arrival.size(), b.arrival.size()) })
		for index, r := range requests {
			report.SizeDeciles[tenths*index/len(requests)].add(r)
		}
	}
	report.Total.close()
	for _, tally := range slices.Concat(report.SizeDeciles, report.Windows, slices.Collect(maps.Values(report.Classes)), slices.Collect(maps.Values(report.Customers))) {
		tally.close()
	}
	for _, e := range s.engines {
		report.PrefilledTokens += e.read
		report.Preemptions += e.preempted
	}
	return report
}

// size weighs an output token as ten of the prompt, as engines take about that much longer for it.
func (a Arrival) size() ident.Tokens {
	const outputWeight = 10
	return a.Prompt + outputWeight*a.Output
}

func group[K comparable](tallies map[K]*OutcomeStats, key K) *OutcomeStats {
	if tallies[key] == nil {
		tallies[key] = &OutcomeStats{}
	}
	return tallies[key]
}

// SeedSummary is the least, the middle and the greatest of several seeds.
type SeedSummary struct {
	Min    float64 `json:"least"`
	Median float64 `json:"middle"`
	Max    float64 `json:"greatest"`
}

func span(reports []Report, value func(Report) float64) SeedSummary {
	values := make([]float64, len(reports))
	for index, report := range reports {
		values[index] = value(report)
	}
	slices.Sort(values)
	return SeedSummary{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
}

// String returns least/middle/greatest.
func (s SeedSummary) String() string { return fmt.Sprintf("%.3f/%.3f/%.3f", s.Min, s.Median, s.Max) }

// WriteText prints a line for each policy, with the spans over its seeds.
func WriteText(w io.Writer, plan Plan, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	cell := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format, values...) }
	cell("policy\tworth\trefused\tfailed\tworst window\tlargest tenth served\tworst customer")
	for _, class := range plan.Classes {
		cell("\t%s", class.ID)
	}
	cell("\tread, M\n")
	for _, each := range byPolicy(reports) {
		cell("%s\t%s\t%s\t%s\t%s\t%s\t%s", each[0].Policy,
			span(each, func(r Report) float64 { return r.Total.Worth }),
			span(each, func(r Report) float64 { return r.Total.part(r.Total.Refused) }),
			span(each, func(r Report) float64 { return r.Total.part(r.Total.Failed) }),
			span(each, func(r Report) float64 { return worst(r.Windows) }),
			span(each, func(r Report) float64 {
				return r.SizeDeciles[tenths-1].part(r.SizeDeciles[tenths-1].InTime + r.SizeDeciles[tenths-1].Late)
			}),
			span(each, func(r Report) float64 { return worst(slices.Collect(maps.Values(r.Customers))) }))
		for _, class := range plan.Classes {
			cell("\t%s", span(each, func(r Report) float64 { return group(r.Classes, class.ID).Worth }))
		}
		cell("\t%s\n", span(each, func(r Report) float64 { return float64(r.PrefilledTokens) / 1e6 }))
	}
	return table.Flush()
}

func (t *OutcomeStats) part(count int) float64 { return float64(count) / float64(max(t.Requests, 1)) }

// worst returns the least worth of groups that are large enough to tell.
func worst(tallies []*OutcomeStats) float64 {
	const enough = 20
	least := 1.0
	for _, tally := range tallies {
		if tally.Requests >= enough {
			least = min(least, tally.Worth)
		}
	}
	return least
}

// byPolicy groups reports in the order in which their policies come.
func byPolicy(reports []Report) [][]Report {
	var groups [][]Report
	for _, report := range reports {
		at := slices.IndexFunc(groups, func(group []Report) bool { return group[0].Policy == report.Policy })
		if at < 0 {
			groups = append(groups, nil)
			at = len(groups) - 1
		}
		groups[at] = append(groups[at], report)
	}
	return groups
}
