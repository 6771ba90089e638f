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

// unreliableTable is a table that can be out, and counts its calls a second.
type unreliableTable struct {
	*table.Memory
	unavailable    atomic.Bool
	callsPerSecond [1200]atomic.Int64
	start          time.Time
}

func (t *unreliableTable) count() error {
	t.callsPerSecond[int(time.Since(t.start)/time.Second)].Add(1)
	if t.unavailable.Load() {
		return table.ErrRefused
	}
	return nil
}

func (t *unreliableTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := t.count(); err != nil {
		return nil, err
	}
	return t.Memory.Read(ctx, keys...)
}

func (t *unreliableTable) Commit(ctx context.Context, transaction table.Transaction) error {
	if err := t.count(); err != nil {
		return err
	}
	return t.Memory.Commit(ctx, transaction)
}

// TestTableUnavailableForTenMinutes runs a share of the entries at the letter's rate over an outage.
func TestTableUnavailableForTenMinutes(t *testing.T) {
	t.Parallel()
	const (
		// maxBackoff is the longest wait after failures, in intervals.
		maxBackoff     = 8
		entries        = 41
		perSecond      = 44
		customers      = 100
		interval       = 10 * time.Second
		outageDuration = 10 * time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &unreliableTable{Memory: table.NewMemory(), start: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		ledgers := make([]*Ledger, entries)
		for index := range ledgers {
			ledgers[index] = New(Config{
				Table: store, Incarnation: ident.Incarnation(fmt.Sprint(index)), Interval: interval,
				WindowLength: func() int64 { return 3600 },
			})
			go ledgers[index].Run(ctx)
		}
		time.Sleep(interval * 3)
		store.unavailable.Store(true)
		var served int64
		for time.Since(store.start) < outageDuration+interval*3 {
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
		restored := int(time.Since(store.start) / time.Second)
		store.unavailable.Store(false)
		time.Sleep(interval * maxBackoff * 2)
		var maxCalls int64
		for second := restored; second < restored+int(interval/time.Second)*maxBackoff; second++ {
			maxCalls = max(maxCalls, store.callsPerSecond[second].Load())
		}
		t.Logf("after the outage: at most %d calls in a second by %d entries, %d accounts in a ledger", maxCalls, entries, accounts)
		is.True(maxCalls <= entries) // Two calls an entry, spread over the waits.
		cancel()
		synctest.Wait()
		sum, err := sumTotals(t.Context(), store.Memory)
		is.NoErr(err)
		is.Equal(sum.Requests, served)
	})
}

func TestRecordBufferIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	buffer := NewRecordBuffer(RecordBufferConfig{OrphanTimeout: time.Second})
	buffer.LinkUp("e")
	const extra = 100
	for number := range maxRecords + extra {
		buffer.Add("e", Record{Tag: AttemptTag{Ledger: "e.1", Sequence: Sequence(number + 1)}, Usage: Usage{Requests: 1}})
	}
	is.Equal(buffer.Len(), maxRecords-evictionBatch+extra)
	buffer.Acknowledge(Acknowledgment{Ledger: "e.1", Through: evictionBatch + 1})
	is.Equal(buffer.Len(), maxRecords-evictionBatch+extra-1)
	buffer.Acknowledge(Acknowledgment{Ledger: "e.1", Through: maxRecords + extra})
	is.Equal(buffer.Len(), 0)
	is.Equal(len(buffer.ledgers), 0)
}
