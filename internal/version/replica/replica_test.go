package replica_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/snapshot"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// memoryObjects is an object store in memory.
type memoryObjects struct {
	mu     sync.Mutex
	stored map[string][]byte
}

func (o *memoryObjects) PutObject(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored[name] = body
	return nil
}

func (o *memoryObjects) GetObject(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if body, found := o.stored[name]; found {
		return body, nil
	}
	return nil, table.ErrRefused
}

// faults configures failures of the next commits and reads.
type faults struct {
	// lostResponses and lostRequests count the commits whose response, or whose request, is lost.
	lostResponses, lostRequests int
	// unavailable makes every call fail.
	unavailable bool
	// unavailableAfterLoss sets unavailable together with the last lost commit.
	unavailableAfterLoss bool
}

// faultyTable is a table that fails as configured by a test.
type faultyTable struct {
	*table.Memory
	mu sync.Mutex
	faults
}

func (f *faultyTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, table.ErrRefused
	}
	return f.Memory.Read(ctx, keys...)
}

func (f *faultyTable) Commit(ctx context.Context, transaction table.Transaction) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.unavailable:
		return table.ErrRefused
	case f.lostRequests > 0:
		f.lostRequests--
		f.unavailable = f.unavailableAfterLoss && f.lostRequests == 0
		return table.ErrOutcomeUnknown
	case f.lostResponses > 0:
		f.lostResponses--
		f.unavailable = f.unavailableAfterLoss && f.lostResponses == 0
		_ = f.Memory.Commit(ctx, transaction)
		return table.ErrOutcomeUnknown
	default:
		return f.Memory.Commit(ctx, transaction)
	}
}

// fixture is one table that is shared by several processes.
type fixture struct {
	table   *faultyTable
	objects *memoryObjects
	store   *store.Store
}

func newFixture(snapshotEvery, retention ident.Version) *fixture {
	f := &fixture{table: &faultyTable{Memory: table.NewMemory()}, objects: &memoryObjects{stored: make(map[string][]byte)}}
	f.store = store.New(store.Config{Table: f.table, Objects: f.objects, SnapshotEvery: snapshotEvery, Retention: retention})
	return f
}

func (f *fixture) process() *replica.Replica {
	return replica.New(replica.Config{
		Store: f.store, Holder: new(snapshot.Holder), Events: event.New(event.Config{Process: "test", Capacity: 16}),
	})
}

// TestHeadReadCallback checks that every successful read of the head row calls OnHeadRead, including the read of a
// commit, so that an entry counts as fresh by a patch that it has just accepted.
func TestHeadReadCallback(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(128, 128)
	var reads []clock.Reading
	process := replica.New(replica.Config{
		Store: f.store, Holder: new(snapshot.Holder), Events: event.New(event.Config{Process: "test", Capacity: 16}),
		OnHeadRead: func(sent clock.Reading) { reads = append(reads, sent) },
	})
	before := clock.Boot()
	f.commit(t, process, 1)
	is.Equal(len(reads), 1)
	is.NoErr(process.Refresh(t.Context()))
	is.Equal(len(reads), 2)
	is.True(before <= reads[0] && reads[0] <= reads[1] && reads[1] <= clock.Boot())
	f.table.unavailable = true
	is.True(process.Refresh(t.Context()) != nil)
	is.Equal(len(reads), 2) // a failed read is no evidence of freshness
}

func allowAll(configuration.Configuration) error { return nil }

func patch(id ident.Patch, base ident.Version, window int64) configuration.Patch {
	return configuration.Patch{ID: id, Base: base, Billing: &configuration.Billing{WindowSeconds: window}}
}

func (f *fixture) commit(t *testing.T, p *replica.Replica, window int64) ident.Version {
	t.Helper()
	base := p.Version()
	version, err := p.Commit(t.Context(), patch(ident.Patch(fmt.Sprintf("p%d", base)), base, window), "", allowAll)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestLostResponses checks that a patch whose outcome is unknown can be committed again, also after other patches, and
// is applied once.
func TestLostResponses(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]faults{
		"response lost once":              {lostResponses: 1},
		"request lost once":               {lostRequests: 1},
		"requests lost, then response":    {lostRequests: 2, lostResponses: 1},
		"every request lost":              {lostRequests: 4},
		"response lost, then unavailable": {lostResponses: 1, unavailableAfterLoss: true},
		"request lost, then unavailable":  {lostRequests: 1, unavailableAfterLoss: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(128, 128)
			first, second := f.process(), f.process()
			f.commit(t, first, 1)
			f.table.faults = fault
			submitted := patch("asked", 1, 60)
			version, err := first.Commit(t.Context(), submitted, "", allowAll)
			if err != nil {
				is.True(errors.Is(err, table.ErrOutcomeUnknown)) // a patch that may come into force is never reported as refused
				f.table.unavailable = false
				version, err = first.Commit(t.Context(), submitted, "", allowAll)
				is.NoErr(err)
			}
			is.Equal(version, ident.Version(2))
			is.NoErr(second.Refresh(t.Context()))
			f.commit(t, second, 70)
			version, err = first.Commit(t.Context(), submitted, "", allowAll)
			is.NoErr(err)
			is.Equal(version, ident.Version(2)) // the version that contains the patch, not the current one
			_, err = second.Commit(t.Context(), patch("asked", 3, 61), "", allowAll)
			is.True(errors.Is(err, replica.ErrIDReused))
		})
	}
}

// TestConcurrentCommits checks that exactly one of several concurrent patches to the same base is accepted.
func TestConcurrentCommits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(4, 8)
	const rounds, committers = 30, 6
	processes := make([]*replica.Replica, committers)
	for index := range processes {
		processes[index] = f.process()
	}
	for round := range ident.Version(rounds) {
		errs := make([]error, committers)
		var wait sync.WaitGroup
		for index, process := range processes {
			wait.Go(func() {
				id := ident.Patch(fmt.Sprintf("r%d-%d", round, index))
				_, errs[index] = process.Commit(t.Context(), patch(id, round, int64(index)+1), "", allowAll)
			})
		}
		wait.Wait()
		accepted := 0
		for _, err := range errs {
			var stale *configuration.StaleError
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &stale):
				is.Equal(stale.Current, round+1)
				is.Equal(len(stale.Changes), 1) // the conflict lists the change
			default:
				t.Fatalf("round %d: %v", round, err)
			}
		}
		is.Equal(accepted, 1) // exactly one is accepted
	}
}

// TestPrunedVersions checks that a process whose next versions are pruned loads the snapshot, and that the number of
// rows is bounded.
func TestPrunedVersions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(4, 8)
	writer, behind := f.process(), f.process()
	f.commit(t, writer, 1)
	is.NoErr(behind.Refresh(t.Context()))
	for window := range int64(60) {
		f.commit(t, writer, window+2)
	}
	_, err := f.store.After(t.Context(), 1, 61)
	is.True(errors.Is(err, store.ErrGap))
	is.Equal(behind.Apply([]store.Record{{Version: 61}}), store.ErrGap)
	is.Equal(behind.Version(), ident.Version(1))
	is.NoErr(behind.Refresh(t.Context()))
	is.Equal(behind.Current(), writer.Current())
	rows, err := f.table.Scan(t.Context(), "configuration/", "", 1000)
	is.NoErr(err)
	is.True(len(rows) <= 2*(8+4+4)+2) // head, snapshot, and two rows for each version in retention
	is.True(len(f.objects.stored) <= 8)
}

// TestVersionNeverDecreases applies old and new versions in random order.
func TestVersionNeverDecreases(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFixture(8, 1000)
	writer := f.process()
	var history []configuration.Configuration
	for window := range int64(40) {
		f.commit(t, writer, window+1)
		history = append(history, writer.Current())
	}
	records, err := f.store.After(t.Context(), 0, 40)
	is.NoErr(err)
	reader := f.process()
	for range 2000 {
		before := reader.Version()
		if random.IntN(8) == 0 {
			reader.Replace(history[random.IntN(len(history))])
		} else {
			start := random.IntN(len(records))
			_ = reader.Apply(records[start:min(start+random.IntN(4), len(records))])
		}
		after := reader.Current()
		is.True(after.Version >= before)
		is.Equal(after.Billing.WindowSeconds, int64(after.Version)) // the content belongs to the version
		kept, err := reader.Since(max(after.Version-2, 0))
		is.True(err != nil || len(kept) == int(min(after.Version, 2)))
	}
	is.NoErr(reader.Refresh(t.Context()))
	is.Equal(reader.Current(), writer.Current())
}

// largeConfiguration returns a configuration of production size.
func largeConfiguration() configuration.Patch {
	const customers, keysEach, classes = 4300, 3, 14
	set := configuration.Entities{Partners: []configuration.Partner{{ID: "vzorovna"}}}
	set.Pools = []configuration.Pool{{ID: "pond-llm", Kind: configuration.KindEngine, Models: []ident.Model{"pond-small"}, Concurrency: 64, MaxPerDomain: 200}}
	var all []ident.Class
	for index := range classes {
		id := ident.Class(fmt.Sprintf("class-%02d", index))
		all = append(all, id)
		set.Classes = append(set.Classes, configuration.Class{ID: id, Pool: "pond-llm", Tier: 2, FirstTokenMS: 920, DeadlineMS: 60000})
	}
	for index := range customers {
		id := ident.Customer(fmt.Sprintf("customer-%05d", index))
		set.Customers = append(set.Customers, configuration.Customer{ID: id, Partner: "vzorovna", Weight: 1})
		for key := range keysEach {
			set.Keys = append(set.Keys, configuration.Key{Digest: ident.DigestKey(fmt.Sprintf("%s-%d", id, key)), Customer: id, Classes: all[:4]})
		}
	}
	for index := range 1900 {
		set.Endpoints = append(set.Endpoints, configuration.Endpoint{
			ID: ident.Endpoint(fmt.Sprintf("llm-%04d", index)), Pool: "pond-llm", Domain: "sk-central-1", Sidecar: "10.0.0.1:9000",
		})
	}
	return configuration.Patch{ID: "all", Billing: &configuration.Billing{WindowSeconds: 3600}, Set: set}
}

// TestReadSizes measures how much a poll, a change and a start read with a configuration of production size.
func TestReadSizes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(2, 1)
	process := f.process()
	_, err := process.Commit(t.Context(), largeConfiguration(), "", allowAll)
	is.NoErr(err)
	key := configuration.Key{Digest: ident.DigestKey("new"), Customer: "customer-00001", Classes: []ident.Class{"class-00", "class-01"}}
	issue := configuration.Patch{ID: "issue", Base: 1, Set: configuration.Entities{Keys: []configuration.Key{key}}}
	_, err = process.Commit(t.Context(), issue, "", allowAll)
	is.NoErr(err)
	rows, err := f.table.Read(t.Context(), "configuration/head", "configuration/delta/0000000000000002")
	is.NoErr(err)
	complete, err := json.Marshal(process.Current())
	is.NoErr(err)
	t.Logf("a poll reads %d bytes, a change %d, the complete configuration has %d",
		len(rows[0].Value), len(rows[1].Value), len(complete))
	is.True(len(rows[0].Value) < 64)
	is.True(len(rows[1].Value) < 1024)
	is.Equal(len(f.objects.stored), 1)
}

// BenchmarkApply measures the application of one change to a configuration of production size.
func BenchmarkApply(b *testing.B) {
	f := newFixture(0, 0)
	process := f.process()
	if _, err := process.Commit(b.Context(), largeConfiguration(), "", allowAll); err != nil {
		b.Fatal(err)
	}
	for version := ident.Version(2); b.Loop(); version++ {
		record := store.Record{Version: version, Patch: patch("next", version-1, int64(version))}
		if err := process.Apply([]store.Record{record}); err != nil {
			b.Fatal(err)
		}
	}
}
