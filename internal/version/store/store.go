// Package store keeps the versioned configuration in the platform's table service and object store.
//
// The head row contains the number of the current version; a poll reads nothing else. Each version has a row with the
// patch that created it. A snapshot in the object store keeps a starting process from having to replay all patches.
package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/oops"

	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Keys and key prefixes of the configuration's rows.
const (
	rowHead     table.Key = "configuration/head"
	rowSnapshot table.Key = "configuration/snapshot"
	prefixDelta table.Key = "configuration/delta/"
	prefixPatch table.Key = "configuration/patch/"
)

// Default values of Config, in versions.
const (
	// DefaultSnapshotEvery is the number of versions between two snapshots.
	DefaultSnapshotEvery ident.Version = 128
	// DefaultRetention is the number of versions before the last snapshot whose patches are kept: two days at 9,200
	// changes a day.
	DefaultRetention ident.Version = 18400
)

// Bounds of one operation.
const (
	// maxReadRows is the maximum number of patches that one read requests.
	maxReadRows = 64
	// maxPrunedRows is the maximum number of patches that are deleted with one snapshot. Fewer patches are added between
	// two snapshots, so that pruning keeps up.
	maxPrunedRows = 2 * int(DefaultSnapshotEvery)
	// snapshotSlots is the number of snapshot intervals after which an object name is reused.
	snapshotSlots = 4
)

// ErrGap means that the patch of a version is no longer kept.
var ErrGap = errors.New("configuration: a version's patch is no longer kept")

// Record is one accepted patch and the version that it created.
type Record struct {
	Version ident.Version       `cbor:"1,keyasint" json:"version"`
	Patch   configuration.Patch `cbor:"2,keyasint" json:"patch"`
	// Operator is the digest of the credential that the patch was submitted with.
	Operator ident.KeyDigest `cbor:"3,keyasint" json:"operator"`
}

// Change returns a summary of what the patch changed.
func (r Record) Change() configuration.Change {
	return configuration.Change{Version: r.Version, Patch: r.Patch.ID, Operator: r.Operator, Touched: r.Patch.Touched()}
}

// head is the content of the head row.
type head struct {
	Version ident.Version `json:"version"`
}

// patchRef is the content of the row of a patch id.
type patchRef struct {
	Version ident.Version `json:"version"`
	// Digest distinguishes a repetition of the patch from a different patch with the same id.
	Digest string `json:"digest"`
}

// snapshotRef is the content of the snapshot row.
type snapshotRef struct {
	Version ident.Version `json:"version"`
	Object  string        `json:"object"`
	// Digest is the hexadecimal SHA-256 digest of the object.
	Digest string `json:"digest"`
}

// State is the state of the head row and of one patch id, as of one read.
type State struct {
	// Version is the current version.
	Version ident.Version
	// PatchVersion is the version that contains the patch with the id, or 0.
	PatchVersion ident.Version
	// PatchDigest is the digest of the content of that patch.
	PatchDigest      string
	revision         table.Revision
	snapshot         snapshotRef
	snapshotRevision table.Revision
}

// Config configures a store.
type Config struct {
	Table   table.Table
	Objects platform.Objects
	// SnapshotEvery is the number of versions between two snapshots; 0 means DefaultSnapshotEvery.
	SnapshotEvery ident.Version
	// Retention is the number of versions before the last snapshot whose patches are kept; 0 means DefaultRetention.
	Retention ident.Version
}

// Store reads and changes the stored configuration.
type Store struct {
	config Config
}

// New returns a store.
func New(config Config) *Store {
	if config.SnapshotEvery == 0 {
		config.SnapshotEvery = DefaultSnapshotEvery
	}
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	return &Store{config: config}
}

// Head returns the current version number; 0 is the empty configuration.
func (s *Store) Head(ctx context.Context) (ident.Version, error) {
	rows, err := s.config.Table.Read(ctx, rowHead)
	if err != nil {
		return 0, err
	}
	current, err := decode[head](rows[0])
	return current.Version, err
}

// Find reads the head row and the row of a patch id in one consistent read.
func (s *Store) Find(ctx context.Context, patch ident.Patch) (State, error) {
	rows, err := s.config.Table.Read(ctx, rowHead, prefixPatch+table.Key(patch), rowSnapshot)
	if err != nil {
		return State{}, err
	}
	current, err := decode[head](rows[0])
	if err != nil {
		return State{}, err
	}
	accepted, err := decode[patchRef](rows[1])
	if err != nil {
		return State{}, err
	}
	reference, err := decode[snapshotRef](rows[2])
	return State{
		Version: current.Version, PatchVersion: accepted.Version, PatchDigest: accepted.Digest,
		revision: rows[0].Revision, snapshot: reference, snapshotRevision: rows[2].Revision,
	}, err
}

// After returns the records of the versions after from, up to and including to, or ErrGap if one is no longer kept.
func (s *Store) After(ctx context.Context, from, to ident.Version) ([]Record, error) {
	var records []Record
	for from < to {
		var keys []table.Key
		for version := from + 1; version <= to && len(keys) < maxReadRows; version++ {
			keys = append(keys, deltaRow(version))
		}
		rows, err := s.config.Table.Read(ctx, keys...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if row.Revision == 0 {
				return nil, ErrGap
			}
			record, err := decode[Record](row)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
		from += ident.Version(len(keys))
	}
	return records, nil
}

// First returns the oldest version whose patch is kept, or ErrGap if there is none.
func (s *Store) First(ctx context.Context) (ident.Version, error) {
	rows, err := s.config.Table.Scan(ctx, prefixDelta, "", 1)
	if err != nil {
		return 0, err
	}
	if len(rows) == 0 {
		return 0, ErrGap
	}
	record, err := decode[Record](rows[0])
	return record.Version, err
}

// Load returns the current configuration, built from the last snapshot and the patches after it.
func (s *Store) Load(ctx context.Context) (configuration.Configuration, error) {
	state, err := s.Find(ctx, "")
	if err != nil {
		return configuration.Configuration{}, err
	}
	current, err := s.snapshot(ctx, state.snapshot)
	if err != nil {
		return configuration.Configuration{}, err
	}
	records, err := s.After(ctx, current.Version, state.Version)
	if err != nil {
		return configuration.Configuration{}, err
	}
	for _, record := range records {
		if current, err = current.Replay(record.Patch); err != nil {
			return configuration.Configuration{}, err
		}
	}
	return current, nil
}

// snapshot returns the referenced snapshot, or the empty configuration if there is none.
func (s *Store) snapshot(ctx context.Context, reference snapshotRef) (configuration.Configuration, error) {
	var loaded configuration.Configuration
	if reference.Version == 0 {
		return loaded, nil
	}
	body, err := s.config.Objects.GetObject(ctx, reference.Object)
	if err != nil {
		return loaded, err
	}
	if digest(body) != reference.Digest {
		return loaded, oops.Wrapf(table.ErrRefused, "snapshot of version %d: the object has another digest", reference.Version)
	}
	if err := json.Unmarshal(body, &loaded); err != nil {
		return loaded, oops.Wrapf(err, "decode snapshot")
	}
	return loaded, nil
}

// Commit makes the record's version current, unless another version became current after the state was read.
func (s *Store) Commit(ctx context.Context, state State, record Record) error {
	contentDigest, err := record.Patch.Digest()
	if err != nil {
		return err
	}
	patchRow := prefixPatch + table.Key(record.Patch.ID)
	writes, err := encode(
		row{rowHead, head{Version: record.Version}},
		row{deltaRow(record.Version), record},
		row{patchRow, patchRef{Version: record.Version, Digest: contentDigest}},
	)
	if err != nil {
		return err
	}
	return s.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: rowHead, Revision: state.revision}, {Key: patchRow}},
		Writes: writes,
	})
}

// Compact writes a snapshot of current and deletes old rows if a snapshot is due; state was read before current was committed.
func (s *Store) Compact(ctx context.Context, state State, current configuration.Configuration) error {
	if current.Version-state.snapshot.Version < s.config.SnapshotEvery {
		return nil
	}
	body, err := json.Marshal(current)
	if err != nil {
		return oops.Wrapf(err, "encode snapshot")
	}
	slot := current.Version % (snapshotSlots * s.config.SnapshotEvery)
	reference := snapshotRef{Version: current.Version, Object: fmt.Sprintf("configuration-snapshot-%d", slot), Digest: digest(body)}
	if err := s.config.Objects.PutObject(ctx, reference.Object, body); err != nil {
		return err
	}
	writes, err := encode(row{rowSnapshot, reference})
	if err != nil {
		return err
	}
	pruned, err := s.prune(ctx, current.Version-s.config.Retention)
	if err != nil {
		return err
	}
	return s.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: rowSnapshot, Revision: state.snapshotRevision}},
		Writes: append(writes, pruned...),
	})
}

// prune returns the writes that delete the rows of the oldest versions, up to and including last.
func (s *Store) prune(ctx context.Context, last ident.Version) ([]table.Write, error) {
	if last < 1 {
		return nil, nil
	}
	rows, err := s.config.Table.Scan(ctx, prefixDelta, "", maxPrunedRows)
	if err != nil {
		return nil, err
	}
	var writes []table.Write
	for _, row := range rows {
		record, err := decode[Record](row)
		if err != nil {
			return nil, err
		}
		if record.Version > last {
			break
		}
		writes = append(writes,
			table.Write{Key: row.Key, Delete: true},
			table.Write{Key: prefixPatch + table.Key(record.Patch.ID), Delete: true},
		)
	}
	return writes, nil
}

func deltaRow(version ident.Version) table.Key {
	return prefixDelta + table.Key(fmt.Sprintf("%016d", version))
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// row is a row to write.
type row struct {
	key   table.Key
	value any
}

func encode(rows ...row) ([]table.Write, error) {
	writes := make([]table.Write, 0, len(rows))
	for _, row := range rows {
		body, err := json.Marshal(row.value)
		if err != nil {
			return nil, oops.Wrapf(err, "encode %s", row.key)
		}
		writes = append(writes, table.Write{Key: row.key, Value: body})
	}
	return writes, nil
}

// decode decodes the content of a row; an absent row yields the zero value.
func decode[T any](row table.Row) (T, error) {
	var value T
	if row.Revision == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, oops.Wrapf(err, "decode %s", row.Key)
	}
	return value, nil
}
