package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/billing"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// reportLeasePrefix precedes the partition number in the names of the leases for usage reports.
const reportLeasePrefix = "reports."

// reportMarginDivisor sets the fraction of a lease's term that must remain when a report is sent: one third. It also bounds the
// duration of a report.
const reportMarginDivisor = 3

// reporting competes for the leases for usage reports, one for each partition of customers, and reports the usage of the
// partitions whose lease this entry holds.
type reporting struct {
	cancel     context.CancelFunc
	loops      sync.WaitGroup
	partitions []partitionReporter
}

// partitionReporter holds the lease of one partition and the loop that closes and reports its billing windows.
type partitionReporter struct {
	lease  *lease.Lease
	closer *billing.Closer
}

// startReporting starts to compete for the leases of all partitions.
func (e *Entry) startReporting(client *platformclient.Client, incarnation ident.Incarnation) *reporting {
	ctx, cancel := context.WithCancel(context.Background())
	r := &reporting{cancel: cancel}
	settings := e.config.Settings
	reportClient := platformclient.New(platformclient.Config{
		Base: settings.Platform, Process: settings.Process, Timeout: min(time.Second, settings.LeaseTerm()/reportMarginDivisor),
	})
	for partition := range billing.Partitions {
		name := fmt.Sprintf("%s%d", reportLeasePrefix, partition)
		partitionLease := lease.New(lease.Config{
			Table: client, Name: name, Process: settings.Process, Incarnation: incarnation, Events: e.events, Term: settings.LeaseTerm(),
			Ranking: func() lease.Ranking { return leaseRank(e.fleet, name, settings.Process) },
		})
		closer := billing.New(billing.Config{
			Table: client, Reports: reportClient, Lease: fencedLease{lease: partitionLease}, Events: e.events, Process: settings.Process,
			Partition: billing.Partition(partition), WindowLength: e.windowLength, GracePeriod: settings.GracePeriod(),
			Interval: settings.FlushInterval(),
		})
		r.partitions = append(r.partitions, partitionReporter{lease: partitionLease, closer: closer})
		r.loops.Go(func() { partitionLease.Run(ctx) })
		r.loops.Go(func() { closer.Run(ctx) })
	}
	return r
}

// stop ends all reporting loops, then releases each lease under which no report can still be in flight. The others lapse.
func (r *reporting) stop(ctx context.Context) {
	r.cancel()
	r.loops.Wait()
	for _, reporter := range r.partitions {
		if reporter.closer.NoneInFlight() {
			_ = reporter.lease.Release(ctx)
		}
	}
}

// fencedLease adapts a lease to billing.Lease.
type fencedLease struct {
	lease *lease.Lease
}

// Fence implements billing.Lease. It requires that one third of the term remains. A report times out within that time, so that it
// ends before the lease can lapse.
func (f fencedLease) Fence() (ident.Fence, table.Check, bool) {
	grant, err := f.lease.Check(f.lease.Now(), f.lease.Term()/reportMarginDivisor)
	if err != nil {
		return 0, table.Check{}, false
	}
	condition, err := f.lease.Condition(grant)
	if err != nil {
		return 0, table.Check{}, false
	}
	return grant.Fence, condition, true
}
