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

// Tally counts outcomes of a group of requests.
type Tally struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Worth is what was earned of what all of them in time would have earned, 0 to 1.
	Worth float64 `json:"worth"`
	// FirstMS50 and FirstMS99 are quantiles of the time to the first event of those that were served, in milliseconds.
	FirstMS50 float64 `json:"first_ms_50"`
	FirstMS99 float64 `json:"first_ms_99"`

	earned, owed float64
	firsts       []time.Duration
}

// Report is the result of one run.
type Report struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	All    Tally  `json:"all"`
	// Classes, Customers and Sizes group by class, customer and tenth of a class by size, the largest last.
	Classes   map[ident.Class]*Tally    `json:"classes"`
	Customers map[ident.Customer]*Tally `json:"customers"`
	Sizes     []*Tally                  `json:"sizes"`
	// Windows are of two seconds of arrivals each.
	Windows []*Tally `json:"windows"`
	// Read counts prompt tokens that engines have read, and Preempted requests that had to make room.
	Read      ident.Tokens `json:"read"`
	Preempted int          `json:"preempted"`
}

func (t *Tally) add(r *request) {
	t.Asked++
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

func (t *Tally) close() {
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
	t.FirstMS50, t.FirstMS99 = quantile(0.5), quantile(0.99)
}

const tenths = 10

func (s *simulation) report(config Config) Report {
	report := Report{
		Policy: config.Policy, Seed: config.Seed, Classes: make(map[ident.Class]*Tally), Customers: make(map[ident.Customer]*Tally),
	}
	for range tenths {
		report.Sizes = append(report.Sizes, &Tally{})
	}
	bySize := make(map[ident.Class][]*request)
	for _, r := range s.requests {
		window := int(r.at / windowLength)
		for len(report.Windows) <= window {
			report.Windows = append(report.Windows, &Tally{})
		}
		report.All.add(r)
		report.Windows[window].add(r)
		group(report.Classes, r.arrival.Class).add(r)
		group(report.Customers, r.arrival.Customer).add(r)
		bySize[r.arrival.Class] = append(bySize[r.arrival.Class], r)
	}
	for _, requests := range bySize {
		slices.SortStableFunc(requests, func(a, b *request) int { return cmp.Compare(a.arrival.size(), b.arrival.size()) })
		for index, r := range requests {
			report.Sizes[tenths*index/len(requests)].add(r)
		}
	}
	report.All.close()
	for _, tally := range slices.Concat(report.Sizes, report.Windows, slices.Collect(maps.Values(report.Classes)), slices.Collect(maps.Values(report.Customers))) {
		tally.close()
	}
	for _, e := range s.engines {
		report.Read += e.read
		report.Preempted += e.preempted
	}
	return report
}

// size weighs an output token as ten of the prompt, as engines take about that much longer for it.
func (a Arrival) size() ident.Tokens {
	const outputWeight = 10
	return a.Prompt + outputWeight*a.Output
}

func group[K comparable](tallies map[K]*Tally, key K) *Tally {
	if tallies[key] == nil {
		tallies[key] = &Tally{}
	}
	return tallies[key]
}

// Span is the least, the middle and the greatest of several seeds.
type Span struct {
	Least    float64 `json:"least"`
	Middle   float64 `json:"middle"`
	Greatest float64 `json:"greatest"`
}

func span(reports []Report, value func(Report) float64) Span {
	values := make([]float64, len(reports))
	for index, report := range reports {
		values[index] = value(report)
	}
	slices.Sort(values)
	return Span{Least: values[0], Middle: values[len(values)/2], Greatest: values[len(values)-1]}
}

// String returns least/middle/greatest.
func (s Span) String() string { return fmt.Sprintf("%.3f/%.3f/%.3f", s.Least, s.Middle, s.Greatest) }

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
			span(each, func(r Report) float64 { return r.All.Worth }),
			span(each, func(r Report) float64 { return r.All.part(r.All.Refused) }),
			span(each, func(r Report) float64 { return r.All.part(r.All.Failed) }),
			span(each, func(r Report) float64 { return worst(r.Windows) }),
			span(each, func(r Report) float64 {
				return r.Sizes[tenths-1].part(r.Sizes[tenths-1].InTime + r.Sizes[tenths-1].Late)
			}),
			span(each, func(r Report) float64 { return worst(slices.Collect(maps.Values(r.Customers))) }))
		for _, class := range plan.Classes {
			cell("\t%s", span(each, func(r Report) float64 { return group(r.Classes, class.ID).Worth }))
		}
		cell("\t%s\n", span(each, func(r Report) float64 { return float64(r.Read) / 1e6 }))
	}
	return table.Flush()
}

func (t *Tally) part(count int) float64 { return float64(count) / float64(max(t.Asked, 1)) }

// worst returns the least worth of groups that are large enough to tell.
func worst(tallies []*Tally) float64 {
	const enough = 20
	least := 1.0
	for _, tally := range tallies {
		if tally.Asked >= enough {
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
