// Package replica holds one process's copy of the configuration, whose version never decreases.
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
	// maxRecords is the number of records that a process keeps to send to peers.
	maxRecords = 256
	// maxReplay is the number of versions that are replayed at most; if more are missing, a snapshot is loaded instead.
	maxReplay ident.Version = 256
	// maxCommitAttempts bounds the attempts to commit a patch while the outcome is unknown or another commit came first.
	maxCommitAttempts = 4
	// maxConflictChanges bounds the number of changes listed in a conflict.
	maxConflictChanges ident.Version = 32
)

// ErrIDReused means that a different patch with the same id was accepted before.
var ErrIDReused = errors.New("id: found an id that another patch has, want a new one")

// Config holds the dependencies of a replica.
type Config struct {
	Store  *store.Store
	Holder *snapshot.Holder
	Events *event.Recorder
	// OnHeadRead is called, if it is not nil, once the version named by a read of the head row begun at sent is held
	// here.
	OnHeadRead func(sent clock.Reading)
}

// Replica holds the configuration in force and the last changes to it.
type Replica struct {
	config Config
	// mu is held while a version is put in force, so that versions are put in force in order.
	mu sync.Mutex
	// records are consecutive and end with the version in force, unless empty. Guarded by mu.
	records []store.Record
}

// New returns a replica with the empty configuration.
func New(config Config) *Replica {
	return &Replica{config: config}
}

// Current returns the configuration in force; version 0 is the empty configuration.
func (r *Replica) Current() configuration.Configuration {
	if current := r.config.Holder.Current(); current != nil {
		return current.Configuration
	}
	return configuration.Configuration{}
}

// Version returns the version in force.
func (r *Replica) Version() ident.Version { return r.Current().Version }

// Since returns the records after a version, or store.ErrGap if not all of them are kept.
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

// Apply applies the records above the version in force; it returns store.ErrGap if one is missing.
func (r *Replica) Apply(records []store.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.Current()
	applied := r.records
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
		applied = append(applied, record)
	}
	r.records = append([]store.Record(nil), applied[max(0, len(applied)-maxRecords):]...)
	r.activate(current)
	return nil
}

// Replace puts a complete configuration in force if its version is greater than the one in force.
func (r *Replica) Replace(next configuration.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Version > r.Version() {
		r.records = nil
		r.activate(next)
	}
}

// activate puts a configuration in force if its version is greater than the one in force; the caller holds mu.
func (r *Replica) activate(next configuration.Configuration) {
	if next.Version > r.Version() && r.config.Holder.Advance(snapshot.New(next)) {
		r.config.Events.Record(event.Event{Name: "configuration_in_force", Version: next.Version})
	}
}

// Refresh reads the head row and puts the version that it names in force.
func (r *Replica) Refresh(ctx context.Context) error {
	sent := clock.Boot()
	head, err := r.config.Store.Head(ctx)
	if err != nil {
		return err
	}
	return r.advanceTo(ctx, head, sent)
}

// advanceTo puts at least the given version in force, which was named by a read of the head row begun at sent.
func (r *Replica) advanceTo(ctx context.Context, version ident.Version, sent clock.Reading) error {
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
	if version-held <= maxReplay {
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

// Commit makes a patch the next version and returns the version that contains it.
//
// A patch that was accepted before is not applied again. The function allow decides whether the operator may change the
// given configuration in this way. Commit returns table.ErrOutcomeUnknown if the patch may still come into force; committing
// the same patch again then yields its outcome.
func (r *Replica) Commit(
	ctx context.Context, patch configuration.Patch, operator ident.KeyDigest, allow func(configuration.Configuration) error,
) (ident.Version, error) {
	outcomeUnknown := false
	for range maxCommitAttempts {
		version, err := r.commit(ctx, patch, operator, allow)
		if err == nil {
			return version, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, table.ErrOutcomeUnknown)
		retry := errors.Is(err, table.ErrOutcomeUnknown) || errors.Is(err, table.ErrConflict)
		if outcomeUnknown && errors.Is(err, table.ErrRefused) {
			break
		}
		if !retry {
			return 0, err
		}
	}
	if outcomeUnknown {
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
	if err := r.advanceTo(ctx, state.Version, sent); err != nil {
		return 0, err
	}
	if state.PatchVersion != 0 {
		return r.repeatedPatch(patch, state)
	}
	current := r.Current()
	if err := allow(current); err != nil {
		return 0, err
	}
	if patch.Base != state.Version {
		return 0, r.staleError(ctx, patch.Base, state.Version)
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

func (r *Replica) repeatedPatch(patch configuration.Patch, state store.State) (ident.Version, error) {
	digest, err := patch.Digest()
	if err != nil {
		return 0, err
	}
	if digest != state.PatchDigest {
		return 0, oops.Wrapf(ErrIDReused, "patch %s of version %d", patch.ID, state.PatchVersion)
	}
	return state.PatchVersion, nil
}

// staleError returns the conflict with the changes since the patch's base, if they can be read.
func (r *Replica) staleError(ctx context.Context, base, current ident.Version) error {
	conflict := &configuration.StaleError{Base: base, Current: current}
	if base < current {
		conflict.Changes, _ = r.changes(ctx, max(base, current-maxConflictChanges, 0), current)
	}
	return conflict
}

// History returns the changes after a version up to the one in force, as far as they are kept.
func (r *Replica) History(ctx context.Context, after ident.Version) ([]configuration.Change, error) {
	return r.changes(ctx, max(after, 0), r.Version())
}

// changes returns the changes of the versions after from, up to and including to, without those that are no longer kept.
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

// compact writes a snapshot if one is due. A failure does not affect the accepted patch, because a later patch tries
// again.
func (r *Replica) compact(ctx context.Context, state store.State, next configuration.Configuration) {
	if err := r.config.Store.Compact(ctx, state, next); err != nil {
		r.config.Events.Record(event.Event{Name: "configuration_snapshot_failed", Version: next.Version, Detail: err.Error()})
	}
}
