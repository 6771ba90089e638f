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

// reportLease is the prefix of the names of the leases for reports.
const reportLease = "reports."

// reportGuardShare is the part of a term that must be left when a report is sent.
const reportGuardShare = 3

// reports is this entry's part in the leases for reports, one for each partition of customers.
type reports struct {
	cancel context.CancelFunc
	loops  sync.WaitGroup
	duties []reportDuty
}

// reportDuty is the charge of one partition.
type reportDuty struct {
	lease  *lease.Lease
	closer *billing.Closer
}

// startReports takes part in the leases of all partitions.
func (e *Entry) startReports(client *platformclient.Client, incarnation ident.Incarnation) *reports {
	ctx, cancel := context.WithCancel(context.Background())
	r := &reports{cancel: cancel}
	own := e.config.Settings
	sending := platformclient.New(platformclient.Config{
		Base: own.Platform, Process: own.Process, Timeout: min(time.Second, own.LeaseTerm()/reportGuardShare),
	})
	for partition := range billing.Partitions {
		name := fmt.Sprintf("%s%d", reportLease, partition)
		held := lease.New(lease.Config{
			Table: client, Name: name, Process: own.Process, Incarnation: incarnation, Events: e.events, Term: own.LeaseTerm(),
			Ranking: func() lease.Ranking { return place(e.fleet, name, own.Process) },
		})
		closer := billing.New(billing.Config{
			Table: client, Reports: sending, Lease: charge{lease: held}, Events: e.events, Process: own.Process,
			Partition: billing.Partition(partition), WindowLength: e.windowLength, GracePeriod: own.GracePeriod(), Interval: own.FlushInterval(),
		})
		r.duties = append(r.duties, reportDuty{lease: held, closer: closer})
		r.loops.Go(func() { held.Run(ctx) })
		r.loops.Go(func() { closer.Run(ctx) })
	}
	return r
}

// stop ends all reports, then hands the leases over where no report may still be under way.
func (r *reports) stop(ctx context.Context) {
	r.cancel()
	r.loops.Wait()
	for _, duty := range r.duties {
		if duty.closer.NoneInFlight() {
			_ = duty.lease.Release(ctx)
		}
	}
}

// charge is the lease as the billing sees it.
type charge struct {
	lease *lease.Lease
}

// Fence implements billing.Lease; a report ends within the guard, before the lease can lapse.
func (c charge) Fence() (ident.Fence, table.Check, bool) {
	grant, err := c.lease.Check(c.lease.Now(), c.lease.Term()/reportGuardShare)
	if err != nil {
		return 0, table.Check{}, false
	}
	condition, err := c.lease.Condition(grant)
	if err != nil {
		return 0, table.Check{}, false
	}
	return grant.Fence, condition, true
}
