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

// windowDuration is the length of the arrival window that one element of Report.Windows covers.
const windowDuration = 2 * time.Second

// OutcomeStats summarizes the outcomes of a group of requests.
type OutcomeStats struct {
	Requests int `json:"asked"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Worth is the worth earned as a fraction, 0 to 1, of the worth if all requests were served in time. It depends on the prices of the plan; policies are
	// compared by the counts.
	Worth float64 `json:"worth"`
	// FirstEventP50MS and FirstEventP99MS are percentiles of the time to the first event of served requests, in milliseconds.
	FirstEventP50MS float64 `json:"first_ms_50"`
	FirstEventP99MS float64 `json:"first_ms_99"`

	earnedWorth, maxWorth float64
	firstEventTimes       []time.Duration
}

// Report is the result of one run.
type Report struct {
	Policy string       `json:"policy"`
	Seed   uint64       `json:"seed"`
	Total  OutcomeStats `json:"all"`
	// Classes, Customers and SizeDeciles group requests by class, by customer and by size within their class, the largest last.
	Classes     map[ident.Class]*OutcomeStats    `json:"classes"`
	Customers   map[ident.Customer]*OutcomeStats `json:"customers"`
	SizeDeciles []*OutcomeStats                  `json:"sizes"`
	// Windows groups requests by arrival time, in windows of two seconds.
	Windows []*OutcomeStats `json:"windows"`
	// PrefilledTokens and Preemptions are totals over all engines.
	PrefilledTokens ident.Tokens `json:"read"`
	Preemptions     int          `json:"preempted"`
	Balance         Balance      `json:"balance"`
}

func (s *OutcomeStats) add(r *request) {
	s.Requests++
	s.maxWorth += r.class.Worth
	switch r.outcome {
	case InTime:
		s.InTime++
		s.earnedWorth += r.class.Worth
	case Late:
		s.Late++
		s.earnedWorth += r.class.LateWorth
	case Refused:
		s.Refused++
	case Failed:
		s.Failed++
	}
	if r.outcome == InTime || r.outcome == Late {
		s.firstEventTimes = append(s.firstEventTimes, r.firstEventAt-r.arrivedAt)
	}
}

func (s *OutcomeStats) finish() {
	if s.maxWorth > 0 {
		s.Worth = s.earnedWorth / s.maxWorth
	}
	slices.Sort(s.firstEventTimes)
	quantile := func(p float64) float64 {
		if len(s.firstEventTimes) == 0 {
			return 0
		}
		return float64(s.firstEventTimes[int(p*float64(len(s.firstEventTimes)-1))]) / float64(time.Millisecond)
	}
	s.FirstEventP50MS, s.FirstEventP99MS = quantile(0.5), quantile(0.99)
}

const deciles = 10

func (s *simulation) report(config Config) Report {
	report := Report{
		Policy: config.Policy, Seed: config.Seed,
		Classes: make(map[ident.Class]*OutcomeStats), Customers: make(map[ident.Customer]*OutcomeStats),
	}
	for range deciles {
		report.SizeDeciles = append(report.SizeDeciles, &OutcomeStats{})
	}
	bySize := make(map[ident.Class][]*request)
	for _, r := range s.requests {
		window := int(r.arrivedAt / windowDuration)
		for len(report.Windows) <= window {
			report.Windows = append(report.Windows, &OutcomeStats{})
		}
		report.Total.add(r)
		report.Windows[window].add(r)
		statsOf(report.Classes, r.arrival.Class).add(r)
		statsOf(report.Customers, r.arrival.Customer).add(r)
		bySize[r.arrival.Class] = append(bySize[r.arrival.Class], r)
	}
	for _, requests := range bySize {
		slices.SortStableFunc(requests, func(a, b *request) int {
			return cmp.Compare(a.arrival.weightedTokens(), b.arrival.weightedTokens())
		})
		for index, r := range requests {
			report.SizeDeciles[deciles*index/len(requests)].add(r)
		}
	}
	report.Total.finish()
	for _, stats := range slices.Concat(report.SizeDeciles, report.Windows,
		slices.Collect(maps.Values(report.Classes)), slices.Collect(maps.Values(report.Customers))) {
		stats.finish()
	}
	report.Balance = s.balanceReport()
	for _, e := range s.engines {
		report.PrefilledTokens += e.prefilledTokens
		report.Preemptions += e.preemptions
	}
	return report
}

// weightedTokens is the size of a request, with an output token counted as ten prompt tokens, since engines take about ten times
// as long for it.
func (a Arrival) weightedTokens() ident.Tokens {
	const outputWeight = 10
	return a.Prompt + outputWeight*a.Output
}

func statsOf[K comparable](groups map[K]*OutcomeStats, key K) *OutcomeStats {
	if groups[key] == nil {
		groups[key] = &OutcomeStats{}
	}
	return groups[key]
}

// SeedSummary is the minimum, median and maximum of a value over several seeds.
type SeedSummary struct {
	Min    float64 `json:"least"`
	Median float64 `json:"middle"`
	Max    float64 `json:"greatest"`
}

func summarize(reports []Report, value func(Report) float64) SeedSummary {
	values := make([]float64, len(reports))
	for index, report := range reports {
		values[index] = value(report)
	}
	slices.Sort(values)
	return SeedSummary{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
}

// String returns min/median/max.
func (s SeedSummary) String() string { return fmt.Sprintf("%.3f/%.3f/%.3f", s.Min, s.Median, s.Max) }

// WriteText prints a line for each policy, with summaries over its seeds: what callers got, and the worth of it last.
func WriteText(w io.Writer, plan Plan, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	cell := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format, values...) }
	cell("policy\tin time\tlate\trefused\tfailed\tfirst event ms, median\t99th\tworst window\tlargest tenth served\tworst customer")
	for _, class := range plan.Classes {
		cell("\t%s in time", class.ID)
	}
	cell("\tread, M\tbusiest to mean\tidle beside queue\tworth\n")
	for _, group := range groupByPolicy(reports) {
		cell("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", group[0].Policy,
			summarize(group, func(r Report) float64 { return r.Total.inTime() }),
			summarize(group, func(r Report) float64 { return r.Total.fraction(r.Total.Late) }),
			summarize(group, func(r Report) float64 { return r.Total.fraction(r.Total.Refused) }),
			summarize(group, func(r Report) float64 { return r.Total.fraction(r.Total.Failed) }),
			summarize(group, func(r Report) float64 { return r.Total.FirstEventP50MS }),
			summarize(group, func(r Report) float64 { return r.Total.FirstEventP99MS }),
			summarize(group, func(r Report) float64 { return leastInTime(r.Windows) }),
			summarize(group, func(r Report) float64 {
				return r.SizeDeciles[deciles-1].fraction(r.SizeDeciles[deciles-1].InTime + r.SizeDeciles[deciles-1].Late)
			}),
			summarize(group, func(r Report) float64 { return leastInTime(slices.Collect(maps.Values(r.Customers))) }))
		for _, class := range plan.Classes {
			cell("\t%s", summarize(group, func(r Report) float64 { return statsOf(r.Classes, class.ID).inTime() }))
		}
		cell("\t%s\t%s\t%s\t%s\n",
			summarize(group, func(r Report) float64 { return float64(r.PrefilledTokens) / 1e6 }),
			summarize(group, func(r Report) float64 { return r.Balance.BusiestToMean }),
			summarize(group, func(r Report) float64 { return r.Balance.IdleBesideQueue }),
			summarize(group, func(r Report) float64 { return r.Total.Worth }))
	}
	return table.Flush()
}

func (s *OutcomeStats) fraction(count int) float64 {
	return float64(count) / float64(max(s.Requests, 1))
}

// inTime returns the fraction of the requests that were served in time.
func (s *OutcomeStats) inTime() float64 { return s.fraction(s.InTime) }

// leastInTime returns the least fraction served in time among the groups that are large enough for a meaningful value.
func leastInTime(groups []*OutcomeStats) float64 {
	const minRequests = 20
	least := 1.0
	for _, stats := range groups {
		if stats.Requests >= minRequests {
			least = min(least, stats.inTime())
		}
	}
	return least
}

// groupByPolicy groups reports by policy, in order of first appearance.
func groupByPolicy(reports []Report) [][]Report {
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
