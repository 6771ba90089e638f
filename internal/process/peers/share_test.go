package peers

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
)

// shareFleet is a store and the instances that write their rows to it.
type shareFleet struct {
	table.Table
	now clock.Reading
	// cut means that no call reaches the store.
	cut bool
}

func (f *shareFleet) Commit(ctx context.Context, transaction table.Transaction) error {
	if f.cut {
		return table.ErrRefused
	}
	return f.Table.Commit(ctx, transaction)
}

func (f *shareFleet) List(ctx context.Context, name string) (table.Batch, error) {
	if f.cut {
		return table.Batch{}, table.ErrRefused
	}
	rows, err := f.Scan(ctx, table.Key(name+"/"), "", 1000)
	var batch table.Batch
	for _, row := range rows {
		batch.Changes = append(batch.Changes, table.Change{Row: row})
	}
	return batch, err
}

func (*shareFleet) Changes(context.Context, string, table.Revision, time.Duration) (table.Batch, error) {
	return table.Batch{}, table.ErrRefused
}

func (f *shareFleet) instance(name ident.Process, incarnation ident.Incarnation) *Registry {
	return New(Config{
		Table: f, Feed: f, Process: name, Incarnation: incarnation, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Usage: func() usage.Counts { return nil }, Log: func(string, ...any) {},
		Now: func() clock.Reading { return f.now }, Wall: func() time.Time { return actualTime.Add(time.Duration(f.now)) },
	})
}

// beat writes the rows of all instances, and then lets all read them.
func (f *shareFleet) beat(instances ...*Registry) {
	f.now = f.now.Add(time.Second)
	for _, instance := range instances {
		_ = instance.Write(context.Background(), false)
	}
	for _, instance := range instances {
		_, _ = instance.Read(context.Background())
	}
}

// TestShareOfInstances checks by what number an instance divides what all of them share: none before it knows the others, those that it has
// only heard of included, each process once whatever its incarnations, and less than its share while the others may not count it.
func TestShareOfInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := &shareFleet{Table: table.NewMemory(), now: clock.Reading(time.Hour)}
	a, b := f.instance("a", "a-1"), f.instance("b", "b-1")
	is.Equal(a.Share(), sharedrate.Share{})
	f.beat(a, b)
	is.Equal(a.Share(), sharedrate.Share{Rank: 0, Count: 2})
	is.Equal(b.Share(), sharedrate.Share{Rank: 1, Count: 2})

	a.Hear("c")
	is.Equal(a.Share(), sharedrate.Share{Rank: 0, Count: 3})
	f.now = f.now.Add(heardTimeout + time.Second)
	is.Equal(a.Share().Count, 2)

	restarted := f.instance("b", "b-2")
	f.beat(a, restarted)
	is.Equal(a.Share().Count, 2)
	is.Equal(restarted.Share().Count, 2)

	f.cut = true
	for range maxMissedHeartbeats {
		f.beat(a, restarted)
	}
	is.Equal(a.Share(), sharedrate.Share{Rank: 0, Count: 2, Isolated: true})
	a.Hear("b")
	is.Equal(a.Share(), sharedrate.Share{Rank: 0, Count: 2})
}

// TestSharesOfInstancesThatStartTogether checks that instances that start at the same moment don't each take all of what they share: none
// can know the others by what it reads before it has written its own row.
func TestSharesOfInstancesThatStartTogether(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := &shareFleet{Table: table.NewMemory(), now: clock.Reading(time.Hour)}
	a, b := f.instance("a", "a-1"), f.instance("b", "b-1")
	for _, instance := range []*Registry{a, b} {
		_, err := instance.Read(context.Background())
		is.NoErr(err)
	}
	is.Equal(a.Share(), sharedrate.Share{})
	is.Equal(b.Share(), sharedrate.Share{})
	f.beat(a, b)
	is.Equal(a.Share().Count, 2)
	is.Equal(b.Share().Count, 2)
}

// TestShareWithoutOwnRow checks that an instance that can read the others' rows, but not write its own, gets turns as an isolated one does:
// otherwise it would never learn that a limit has ended.
func TestShareWithoutOwnRow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := &shareFleet{Table: table.NewMemory(), now: clock.Reading(time.Hour)}
	a, b := f.instance("a", "a-1"), f.instance("b", "b-1")
	f.beat(b)
	_, err := a.Read(context.Background())
	is.NoErr(err)
	is.Equal(a.Share(), sharedrate.Share{})
	f.now = f.now.Add(3500 * time.Millisecond)
	is.Equal(a.Share(), sharedrate.Share{Rank: 0, Count: 2, Isolated: true})
}
