package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/pkg/ident"
)

// Parameters of the comparison between customers.
const (
	// fairnessPeriod is the length of each of the two periods whose counts are kept.
	fairnessPeriod = time.Minute
	// minRequests is the number of requests from which on a customer is compared.
	minRequests = 5
)

// customerKey identifies a customer in a class.
type customerKey struct {
	class    ident.Class
	customer ident.Customer
}

// counts holds a customer's number of requests, and how many of them attained their target.
type counts struct{ attained, total int }

// fairness compares the attainment (the fraction of requests within their target) of the customers of each class over the last
// one to two minutes.
//
// For each class it exports the lowest attainment of any customer and the overall attainment, instead of one value for each
// customer, so that the number of label values stays bounded.
type fairness struct {
	now     func() time.Time
	worst   *prometheus.Desc
	overall *prometheus.Desc
	mu      sync.Mutex
	// started is the start of the current period; guarded by mu.
	started time.Time
	// current and previous hold the counts of the last two periods; guarded by mu.
	current  map[customerKey]counts
	previous map[customerKey]counts
}

func newFairness(now func() time.Time) *fairness {
	return &fairness{
		now: now,
		worst: prometheus.NewDesc("vanillapond_worst_customer_attainment",
			"Least share of requests within target of any customer with enough requests.", []string{"class"}, nil),
		overall: prometheus.NewDesc("vanillapond_attainment",
			"Share of requests within target over all customers.", []string{"class"}, nil),
		started: now(),
		current: make(map[customerKey]counts),
	}
}

func (f *fairness) observe(sample Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	key := customerKey{class: sample.Class, customer: sample.Customer}
	count := f.current[key]
	count.total++
	if sample.Result == ResultAttained {
		count.attained++
	}
	f.current[key] = count
}

// rotate starts a new period if the current one is over.
func (f *fairness) rotate() {
	elapsed := f.now().Sub(f.started)
	if elapsed < fairnessPeriod {
		return
	}
	f.previous = f.current
	if elapsed >= 2*fairnessPeriod {
		f.previous = nil
	}
	f.current = make(map[customerKey]counts)
	f.started = f.now()
}

// Describe implements prometheus.Collector.
func (f *fairness) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- f.worst
	descriptions <- f.overall
}

// Collect implements prometheus.Collector.
func (f *fairness) Collect(metrics chan<- prometheus.Metric) {
	for class, values := range f.compare() {
		metrics <- prometheus.MustNewConstMetric(f.overall, prometheus.GaugeValue, values.overall, string(class))
		if values.hasWorst {
			metrics <- prometheus.MustNewConstMetric(f.worst, prometheus.GaugeValue, values.worst, string(class))
		}
	}
}

// comparison holds the exported values of one class.
type comparison struct {
	worst, overall float64
	// hasWorst is set if at least one customer had minRequests, so that worst is valid.
	hasWorst bool
	sum      counts
}

func (f *fairness) compare() map[ident.Class]comparison {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	sums := make(map[customerKey]counts, len(f.current)+len(f.previous))
	for _, period := range []map[customerKey]counts{f.current, f.previous} {
		for key, count := range period {
			sum := sums[key]
			sums[key] = counts{attained: sum.attained + count.attained, total: sum.total + count.total}
		}
	}
	comparisons := make(map[ident.Class]comparison)
	for key, count := range sums {
		comparisons[key.class] = comparisons[key.class].with(count)
	}
	return comparisons
}

// with returns the comparison extended by the counts of one more customer.
func (c comparison) with(count counts) comparison {
	c.sum.attained += count.attained
	c.sum.total += count.total
	c.overall = float64(c.sum.attained) / float64(c.sum.total)
	if count.total < minRequests {
		return c
	}
	attained := float64(count.attained) / float64(count.total)
	if !c.hasWorst || attained < c.worst {
		c.worst = attained
	}
	c.hasWorst = true
	return c
}
