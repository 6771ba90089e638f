package fairshare

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Limits of what an instance reports in one datagram, over all services.
const (
	// maxReported is the largest number of customers, and maxReportBytes the largest encoded size in bytes.
	maxReported    = 64
	maxReportBytes = 4 << 10
	// maxReportedWork is above what any fleet does within decayPeriod.
	maxReportedWork = 1 << 50
	// maxNameBytes is the length of the longest reported name of a customer or service; customers with longer names count as others.
	maxNameBytes = 200
)

// CustomerReport holds the sums of one customer, rounded to tokens.
type CustomerReport struct {
	Customer ident.Customer `cbor:"1,keyasint,omitempty"`
	// Asked and Used are the work of all and of the admitted requests by priority, without the zeros at the end.
	Asked []uint64 `cbor:"2,keyasint,omitempty"`
	Used  []uint64 `cbor:"3,keyasint,omitempty"`
}

// Report holds the sums of the requests of a service at one instance, as of when it is sent.
type Report struct {
	Customers []CustomerReport `cbor:"1,keyasint,omitempty"`
	// Others are the sums of all customers that are not listed.
	Others CustomerReport `cbor:"2,keyasint"`
	// Outstanding is the admitted work without a first event, and Recent what would be served in decayPeriod at the recent rate.
	Outstanding uint64 `cbor:"3,keyasint,omitempty"`
	Recent      uint64 `cbor:"4,keyasint,omitempty"`
}

// Reports holds an instance's reports by service.
type Reports map[ident.Pool]Report

// Check returns an error if the reports are larger than an instance sends them, or hold impossible sums.
func (r Reports) Check() error {
	customers, size := 0, 0
	for service, report := range r {
		if err := report.Check(); err != nil {
			return err
		}
		if len(service) > maxNameBytes {
			return oops.Errorf("report of customers' use: found a service with a name of %d bytes, want at most %d", len(service), maxNameBytes)
		}
		customers += len(report.Customers)
		size += len(service) + serviceOverhead + report.Others.size()
		for _, entry := range report.Customers {
			size += entry.size()
		}
	}
	if customers > maxReported || size > maxReportBytes {
		return oops.Errorf("reports of customers' use: found %d customers and %d bytes, want at most %d and %d",
			customers, size, maxReported, maxReportBytes)
	}
	return nil
}

// Check returns an error if the report holds a customer twice or impossible sums.
func (r Report) Check() error {
	known := make(map[ident.Customer]bool, len(r.Customers))
	for _, entry := range r.Customers {
		if known[entry.Customer] {
			return oops.Errorf("report of customers' use: found a customer twice")
		}
		known[entry.Customer] = true
		if err := entry.Check(); err != nil {
			return err
		}
	}
	if r.Outstanding > maxReportedWork || r.Recent > maxReportedWork {
		return oops.Errorf("report of customers' use: found %d and %d of outstanding and recent work, want at most %d", r.Outstanding, r.Recent, maxReportedWork)
	}
	return r.Others.Check()
}

// Check returns an error if the sums are impossible: more used than asked, too many priorities or an amount beyond any fleet.
func (r CustomerReport) Check() error {
	if len(r.Asked) > PriorityLevels || len(r.Used) > len(r.Asked) || len(r.Customer) > maxNameBytes {
		return oops.Errorf("report of a customer's use: found %d and %d priorities and a name of %d bytes, want at most %d, not more used, and %d",
			len(r.Asked), len(r.Used), len(r.Customer), PriorityLevels, maxNameBytes)
	}
	for at, asked := range r.Asked {
		if asked > maxReportedWork || at < len(r.Used) && r.Used[at] > asked {
			return oops.Errorf("report of a customer's use: found %d asked at priority %d, want at most %d and not less than used", asked, at, maxReportedWork)
		}
	}
	return nil
}

// serviceOverhead is the encoded size in bytes of a service's report without names and customers.
const serviceOverhead = 40

// size returns an upper bound of the encoded size in bytes.
func (r CustomerReport) size() int {
	const heads = 1 + 3 + 3 + 2 + 2
	size := heads + len(r.Customer)
	for _, amounts := range [][]uint64{r.Asked, r.Used} {
		for _, amount := range amounts {
			size += encodedSize(amount)
		}
	}
	return size
}

// encodedSize returns the size of an unsigned integer in CBOR, in bytes.
func encodedSize(amount uint64) int {
	switch {
	case amount < 24:
		return 1
	case amount < 1<<8:
		return 2
	case amount < 1<<16:
		return 3
	case amount < 1<<32:
		return 5
	default:
		return 9
	}
}

// sums returns the amounts of the report, scaled by growth.
func (r CustomerReport) sums(growth float64) sums {
	var result sums
	for at, asked := range r.Asked {
		result.asked[at] = float64(asked) * growth
	}
	for at, used := range r.Used {
		result.used[at] = float64(used) * growth
	}
	return result
}

// Report returns the sums of this instance's requests: the customers with the largest demand, and all others together. limit bounds the
// number of customers, and size the encoded size in bytes.
func (c *Controller) Report(now time.Time, limit, size int) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	unit := c.time.unit()
	customers := make([]CustomerReport, 0, len(c.own))
	asked := make(map[ident.Customer]float64, len(c.own))
	for customer, account := range c.own {
		if amount := account.askedTotal(); amount*unit >= negligible {
			asked[customer] = amount
			customers = append(customers, account.report(customer, unit))
		}
	}
	slices.SortFunc(customers, func(a, b CustomerReport) int {
		return cmp.Or(cmp.Compare(asked[b.Customer], asked[a.Customer]), strings.Compare(string(a.Customer), string(b.Customer)))
	})
	others := c.ownOthers
	size -= CustomerReport{}.size() + 2*PriorityLevels*encodedSize(maxReportedWork)
	kept := customers[:0]
	for _, entry := range customers {
		if len(kept) < limit && entry.size() <= size && len(entry.Customer) <= maxNameBytes {
			size -= entry.size()
			kept = append(kept, entry)
			continue
		}
		others.add(c.own[entry.Customer], 1)
	}
	return Report{
		Customers: kept, Others: others.report("", unit), Outstanding: uint64(min(c.outstanding, maxReportedWork)),
		Recent: uint64(min(c.recent.perDecayPeriod(now), maxReportedWork)),
	}
}

// report returns the sums, rounded to tokens.
func (s *sums) report(customer ident.Customer, unit float64) CustomerReport {
	entry := CustomerReport{Customer: customer}
	for at := range s.asked {
		asked := uint64(min(s.asked[at]*unit, maxReportedWork))
		if asked == 0 {
			continue
		}
		if entry.Asked == nil {
			entry.Asked, entry.Used = make([]uint64, 0, PriorityLevels), make([]uint64, 0, PriorityLevels)
		}
		entry.Asked, entry.Used = entry.Asked[:at+1], entry.Used[:at+1]
		entry.Asked[at], entry.Used[at] = asked, min(uint64(min(s.used[at]*unit, maxReportedWork)), asked)
	}
	return entry
}

// Collect returns the reports of several services, which together keep the limits of a datagram.
func Collect(now time.Time, controllers map[ident.Pool]*Controller) Reports {
	reports := make(Reports, len(controllers))
	for service, controller := range controllers {
		if len(service) > maxNameBytes {
			continue
		}
		reports[service] = controller.Report(now, maxReported/len(controllers), maxReportBytes/len(controllers)-len(service)-serviceOverhead)
	}
	return reports
}

// Merge replaces a peer's report. A report that fails its check must not be passed.
func (c *Controller) Merge(now time.Time, process ident.Process, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.remote.expire(now)
	c.remote.replace(now, process, report, c.time.growth)
	c.remote.limitHeaviest(c.ownAsked())
}
