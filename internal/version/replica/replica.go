// Package replica is one process's copy of the configuration: it only goes up.
package replica

import (
	"context"
	"errors"
	"sync"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/snapshot"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

const (
	// keptRecords is how many records a process keeps to pass on.
	keptRecords = 256
	// replayed is how many versions are replayed before a snapshot is loaded instead.
	replayed ident.Version = 256
	// commitAttempts bounds how often a commit with an unknown outcome is settled.
	commitAttempts = 4
	// shownChanges bounds the differences that a conflict shows.
	shownChanges ident.Version = 32
)

// ErrIDReused says that another patch with the same id was accepted before.
var ErrIDReused = errors.New("id: found an id that another patch has, want a new one")

// Config says what a replica works with.
type Config struct {
	Store  *store.Store
	Holder *snapshot.Holder
	Events *event.Recorder
	// OnHeadRead is called when the version is held that a read of the head, begun at sent, named; nil means that nobody is.
	OnHeadRead func(sent clock.Reading)
}

// Replica holds the configuration in force and its last changes.
type Replica struct {
	config Config
	// mu is held while a version is put in force, so that versions come in order.
	mu sync.Mutex
	// records are consecutive and end with the version in force, unless empty. Guarded by mu.
	records []store.Record
}

// New returns a replica of the empty configuration.
func New(config Config) *Replica {
	return &Replica{config: config}
}

// Current returns the configuration in force; version 0 is the empty one.
func (r *Replica) Current() configuration.Configuration {
	if current := r.config.Holder.Current(); current != nil {
		return current.Configuration
	}
	return configuration.Configuration{}
}

// Version returns the version in force.
func (r *Replica) Version() ident.Version { return r.Current().Version }

// Since returns the kept records after a version, or store.ErrGap where they are not all kept.
func (r *Replica) Since(version ident.Version) ([]store.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version >= r.Version() {
		return nil, nil
	}
	if len(r.records) == 0 || r.records[0].Version > version+1 {
		return nil, store.ErrGap
	}
	return append([]store.Record(nil), r.records[version+1-r.records[0].Version:]...), nil
}

// Apply puts the records above the version in force into force; it returns store.ErrGap where one is missing.
func (r *Replica) Apply(records []store.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.Current()
	taken := r.records
	for _, record := range records {
		if record.Version <= current.Version {
			continue
		}
		if record.Version != current.Version+1 {
			return store.ErrGap
		}
		next, err := current.Replay(record.Patch)
		if err != nil {
			return oops.Wrapf(err, "version %d", record.Version)
		}
		current = next
		taken = append(taken, record)
	}
	r.records = append([]store.Record(nil), taken[max(0, len(taken)-keptRecords):]...)
	r.advance(current)
	return nil
}

// Replace puts a whole configuration into force if its version is greater.
func (r *Replica) Replace(next configuration.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Version > r.Version() {
		r.records = nil
		r.advance(next)
	}
}

// advance is called with mu held.
func (r *Replica) advance(next configuration.Configuration) {
	if next.Version > r.Version() && r.config.Holder.Advance(snapshot.New(next)) {
		r.config.Events.Record(event.Event{Name: "configuration_in_force", Version: next.Version})
	}
}

// Refresh reads the head and brings the version that it names into force.
func (r *Replica) Refresh(ctx context.Context) error {
	sent := clock.Boot()
	head, err := r.config.Store.Head(ctx)
	if err != nil {
		return err
	}
	return r.reach(ctx, head, sent)
}

// reach brings at least the version into force that a read begun at sent has named.
func (r *Replica) reach(ctx context.Context, version ident.Version, sent clock.Reading) error {
	if err := r.catchUp(ctx, version); err != nil {
		return err
	}
	if r.config.OnHeadRead != nil {
		r.config.OnHeadRead(sent)
	}
	return nil
}

func (r *Replica) catchUp(ctx context.Context, version ident.Version) error {
	held := r.Version()
	if held >= version {
		return nil
	}
	if version-held <= replayed {
		records, err := r.config.Store.After(ctx, held, version)
		if err == nil {
			return r.Apply(records)
		}
		if !errors.Is(err, store.ErrGap) {
			return err
		}
	}
	loaded, err := r.config.Store.Load(ctx)
	if err != nil {
		return err
	}
	r.Replace(loaded)
	return nil
}

// Commit makes a patch the next version and returns the version that holds it.
//
// A patch that was accepted before is not applied again. Allow says whether the operator may change this
// configuration in this way. It returns table.ErrUnknown where the patch may yet come into force: the same patch
// asked again tells.
func (r *Replica) Commit(
	ctx context.Context, patch configuration.Patch, operator ident.KeyDigest, allow func(configuration.Configuration) error,
) (ident.Version, error) {
	unknown := false
	for range commitAttempts {
		version, err := r.commit(ctx, patch, operator, allow)
		if err == nil {
			return version, nil
		}
		unknown = unknown || errors.Is(err, table.ErrOutcomeUnknown)
		retry := errors.Is(err, table.ErrOutcomeUnknown) || errors.Is(err, table.ErrConflict)
		if unknown && errors.Is(err, table.ErrRefused) {
			break
		}
		if !retry {
			return 0, err
		}
	}
	if unknown {
		return 0, oops.Wrapf(table.ErrOutcomeUnknown, "patch %s may have been accepted: ask the same patch again", patch.ID)
	}
	return 0, table.ErrConflict
}

func (r *Replica) commit(
	ctx context.Context, patch configuration.Patch, operator ident.KeyDigest, allow func(configuration.Configuration) error,
) (ident.Version, error) {
	sent := clock.Boot()
	state, err := r.config.Store.Find(ctx, patch.ID)
	if err != nil {
		return 0, err
	}
	if err := r.reach(ctx, state.Version, sent); err != nil {
		return 0, err
	}
	if state.PatchVersion != 0 {
		return r.repeated(patch, state)
	}
	current := r.Current()
	if err := allow(current); err != nil {
		return 0, err
	}
	if patch.Base != state.Version {
		return 0, r.stale(ctx, patch.Base, state.Version)
	}
	if current.Version != state.Version {
		return 0, table.ErrConflict
	}
	next, err := current.Apply(patch)
	if err != nil {
		return 0, err
	}
	record := store.Record{Version: next.Version, Patch: patch, Operator: operator}
	if err := r.config.Store.Commit(ctx, state, record); err != nil {
		return 0, err
	}
	if err := r.Apply([]store.Record{record}); err != nil {
		return 0, err
	}
	r.compact(ctx, state, next)
	return next.Version, nil
}

func (r *Replica) repeated(patch configuration.Patch, state store.State) (ident.Version, error) {
	digest, err := patch.Digest()
	if err != nil {
		return 0, err
	}
	if digest != state.PatchDigest {
		return 0, oops.Wrapf(ErrIDReused, "patch %s of version %d", patch.ID, state.PatchVersion)
	}
	return state.PatchVersion, nil
}

// stale returns the conflict with the differences, as far as they can be read.
func (r *Replica) stale(ctx context.Context, base, current ident.Version) error {
	conflict := &configuration.StaleError{Base: base, Current: current}
	if base < current {
		conflict.Changes, _ = r.changes(ctx, max(base, current-shownChanges, 0), current)
	}
	return conflict
}

// History returns the changes after a version up to the one in force, as far as they are kept.
func (r *Replica) History(ctx context.Context, after ident.Version) ([]configuration.Change, error) {
	return r.changes(ctx, max(after, 0), r.Version())
}

// changes returns the changes after from up to to, without those that are no longer kept.
func (r *Replica) changes(ctx context.Context, from, to ident.Version) ([]configuration.Change, error) {
	records, err := r.config.Store.After(ctx, from, to)
	if errors.Is(err, store.ErrGap) {
		from, err = r.config.Store.First(ctx)
		if err != nil {
			return nil, err
		}
		records, err = r.config.Store.After(ctx, from-1, to)
	}
	if err != nil {
		return nil, err
	}
	changes := make([]configuration.Change, 0, len(records))
	for _, record := range records {
		changes = append(changes, record.Change())
	}
	return changes, nil
}

// compact is not needed for the patch's acceptance: a later patch makes up for a failure.
func (r *Replica) compact(ctx context.Context, state store.State, next configuration.Configuration) {
	if err := r.config.Store.Compact(ctx, state, next); err != nil {
		r.config.Events.Record(event.Event{Name: "configuration_snapshot_failed", Version: next.Version, Detail: err.Error()})
	}
}
