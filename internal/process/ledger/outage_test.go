package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// outage is a table that can be out, and counts its calls a second.
type outage struct {
	*table.Memory
	out   atomic.Bool
	calls [1200]atomic.Int64
	start time.Time
}

func (o *outage) count() error {
	o.calls[int(time.Since(o.start)/time.Second)].Add(1)
	if o.out.Load() {
		return table.ErrRefused
	}
	return nil
}

func (o *outage) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := o.count(); err != nil {
		return nil, err
	}
	return o.Memory.Read(ctx, keys...)
}

func (o *outage) Commit(ctx context.Context, transaction table.Transaction) error {
	if err := o.count(); err != nil {
		return err
	}
	return o.Memory.Commit(ctx, transaction)
}

// TestTableUnavailableForTenMinutes runs a share of the entries at the letter's rate over an outage.
func TestTableUnavailableForTenMinutes(t *testing.T) {
	t.Parallel()
	const (
		// longestWait is the longest wait after failures, in intervals.
		longestWait = 8
		entries     = 41
		perSecond   = 44
		customers   = 100
		interval    = 10 * time.Second
		outFor      = 10 * time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &outage{Memory: table.NewMemory(), start: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		ledgers := make([]*Ledger, entries)
		for index := range ledgers {
			ledgers[index] = New(Config{
				Table: out, Incarnation: ident.Incarnation(fmt.Sprint(index)), Interval: interval,
				WindowLength: func() int64 { return 3600 },
			})
			go ledgers[index].Run(ctx)
		}
		time.Sleep(interval * 3)
		out.out.Store(true)
		var served int64
		for time.Since(out.start) < outFor+interval*3 {
			for index, ledger := range ledgers {
				for number := range perSecond {
					ledger.BeginAttempt("p").RecordUsage(ident.Customer(fmt.Sprint((index+number)%customers)), Usage{Requests: 1})
					served++
				}
			}
			time.Sleep(time.Second)
		}
		var accounts int
		for _, ledger := range ledgers {
			accounts = max(accounts, len(ledger.totals)+len(ledger.open))
		}
		is.True(accounts <= 2*customers) // A ledger grows with customers, not with the length of the outage.
		back := int(time.Since(out.start) / time.Second)
		out.out.Store(false)
		time.Sleep(interval * longestWait * 2)
		var most int64
		for second := back; second < back+int(interval/time.Second)*longestWait; second++ {
			most = max(most, out.calls[second].Load())
		}
		t.Logf("after the outage: at most %d calls in a second by %d entries, %d accounts in a ledger", most, entries, accounts)
		is.True(most <= entries) // Two calls an entry, spread over the waits.
		cancel()
		synctest.Wait()
		sum, err := sumTotals(t.Context(), out.Memory)
		is.NoErr(err)
		is.Equal(sum.Requests, served)
	})
}

func TestRecordBufferIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	copies := NewRecordBuffer(RecordBufferConfig{OrphanTimeout: time.Second})
	copies.LinkUp("e")
	const extra = 100
	for number := range maxRecords + extra {
		copies.Add("e", Record{Tag: AttemptTag{Ledger: "e.1", Sequence: Sequence(number + 1)}, Usage: Usage{Requests: 1}})
	}
	is.Equal(copies.Len(), maxRecords-dropBatch+extra)
	copies.Acknowledge(Acknowledgment{Ledger: "e.1", Through: dropBatch + 1})
	is.Equal(copies.Len(), maxRecords-dropBatch+extra-1)
	copies.Acknowledge(Acknowledgment{Ledger: "e.1", Through: maxRecords + extra})
	is.Equal(copies.Len(), 0)
	is.Equal(len(copies.ledgers), 0)
}
