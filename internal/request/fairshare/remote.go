package fairshare

import (
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// peerTTL is how long a peer's report is used: three times the longest interval between two.
const peerTTL = 3 * time.Second

// Limits of what a peer reports as outstanding and as served.
const (
	// maxServed is the largest ratio of this work to the used work. The use has decayed since, for a few seconds at most.
	maxServed = 2
	// maxRecent is by how much the recent rate may be above the mean one, by the ratio of their periods.

	maxRecent = float64(decayPeriod) / float64(recentPeriod)
)

// limitTolerance is by how much the limit of a peer's weight may change before the peer's sums are counted anew.
const limitTolerance = 0.01

// remoteSums are the sums that peers report.
type remoteSums struct {
	peers map[ident.Process]*peerSums
	// customers are the sums over all peers, at most maxCustomers, and others those of all other customers.
	customers map[ident.Customer]*remoteCustomer
	others    remoteCustomer
}

// remoteCustomer holds the sums of a customer over all peers, and the number of reports that contain it.
type remoteCustomer struct {
	sums
	reports int
}

// peerSums is a peer's last report.
type peerSums struct {
	reportedAt time.Time
	entries    []peerEntry
	// asked is the demand in the report, and factor that by which its sums are counted.
	asked, factor float64
	// outstanding is the work without a first event, and recent what would be served in decayPeriod at the recent rate, as of the report.
	outstanding, recent float64
}

// peerEntry is a part of a peer's report and where it is counted.
type peerEntry struct {
	sums
	into     *remoteCustomer
	customer ident.Customer
}

func newRemoteSums() remoteSums {
	return remoteSums{peers: make(map[ident.Process]*peerSums), customers: make(map[ident.Customer]*remoteCustomer)}
}

// replace sets a peer's report; amounts are scaled by growth.
func (r *remoteSums) replace(now time.Time, process ident.Process, report Report, growth float64) {
	r.remove(process)
	if len(r.peers) >= maxPeers {
		return
	}
	peer := &peerSums{reportedAt: now, factor: 1, entries: make([]peerEntry, 0, len(report.Customers)+1)}
	for _, entry := range report.Customers {
		peer.entries = append(peer.entries, peerEntry{sums: entry.sums(growth), customer: entry.Customer, into: r.customer(entry.Customer)})
	}
	peer.entries = append(peer.entries, peerEntry{sums: report.Others.sums(growth), into: &r.others})
	var used [PriorityLevels]float64
	for at := range peer.entries {
		entry := &peer.entries[at]
		entry.into.add(&entry.sums, 1)
		used[0] += entry.usedTotal()
		entry.into.reports++
		peer.asked += entry.askedTotal()
	}
	mostServed := maxServed * total(&used) / growth
	peer.outstanding = min(float64(report.Outstanding), mostServed)
	peer.recent = min(float64(report.Recent), maxRecent*mostServed)

	r.peers[process] = peer
}

// customer returns the sums of a customer, or those of the others if too many are known.
func (r *remoteSums) customer(customer ident.Customer) *remoteCustomer {
	known := r.customers[customer]
	if known == nil {
		if len(r.customers) >= maxCustomers {
			return &r.others
		}
		known = &remoteCustomer{}
		r.customers[customer] = known
	}
	return known
}

func (r *remoteSums) remove(process ident.Process) {
	peer := r.peers[process]
	if peer == nil {
		return
	}
	for at := range peer.entries {
		entry := &peer.entries[at]
		entry.into.add(&entry.sums, -peer.factor)
		if entry.into.reports--; entry.into.reports > 0 {
			continue
		}
		// Without reports only rounding errors would be left.
		entry.into.sums = sums{}
		if entry.into != &r.others {
			delete(r.customers, entry.customer)
		}
	}
	delete(r.peers, process)
}

// outstanding returns the work of peers' requests without a first event.
func (r *remoteSums) outstanding() (sum float64) {
	for _, peer := range r.peers {
		sum += peer.outstanding * peer.factor
	}
	return sum
}

// recent returns what peers would serve in decayPeriod at their recent rates.
func (r *remoteSums) recent() (sum float64) {
	for _, peer := range r.peers {
		sum += peer.recent * peer.factor
	}
	return sum
}

// expire removes the reports that are older than peerTTL.
func (r *remoteSums) expire(now time.Time) {
	for process, peer := range r.peers {
		if now.Sub(peer.reportedAt) > peerTTL {
			r.remove(process)
		}
	}
}

// limitHeaviest counts the heaviest report with no more weight than that of the next heaviest instance, of which ownAsked is one. A false
// report thereby counts no more than a true one.
func (r *remoteSums) limitHeaviest(ownAsked float64) {
	var heaviest *peerSums
	next := ownAsked
	for _, peer := range r.peers {
		switch {
		case heaviest == nil:
			heaviest = peer
		case peer.asked > heaviest.asked:
			next, heaviest = max(next, heaviest.asked), peer
		default:
			next = max(next, peer.asked)
		}
	}
	for _, peer := range r.peers {
		factor := 1.0
		if peer == heaviest && peer.asked > next {
			factor = next / peer.asked
		}
		if math.Abs(factor-peer.factor) <= limitTolerance*peer.factor {
			continue
		}
		for at := range peer.entries {
			entry := &peer.entries[at]
			entry.into.add(&entry.sums, factor-peer.factor)
		}
		peer.factor = factor
	}
}

func (r *remoteSums) multiply(factor float64) {
	r.others.multiply(factor)
	for _, customer := range r.customers {
		customer.multiply(factor)
	}
	for _, peer := range r.peers {
		peer.asked *= factor

		for at := range peer.entries {
			peer.entries[at].multiply(factor)
		}
	}
}
