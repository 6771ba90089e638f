// Package store keeps the numbered configuration in the platform's table service and object store.
//
// The head row holds the current version's number and is all that a poll reads. Each version is one row with the
// patch that made it; a snapshot in the object store spares a starting process the long replay.
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

// Rows of the configuration.
const (
	rowHead     table.Key = "configuration/head"
	rowSnapshot table.Key = "configuration/snapshot"
	prefixDelta table.Key = "configuration/delta/"
	prefixPatch table.Key = "configuration/patch/"
)

// Defaults of a store, in versions.
const (
	// DefaultSnapshotEvery is the distance of two snapshots.
	DefaultSnapshotEvery ident.Version = 128
	// DefaultRetention is how many versions before the last snapshot keep their patch: two days at 9,200 changes a day.
	DefaultRetention ident.Version = 18400
)

// Bounds of one call.
const (
	// readRows is how many deltas one read asks for.
	readRows = 64
	// pruneRows is how many deltas one snapshot's pruning deletes; a snapshot adds fewer.
	pruneRows = 2 * int(DefaultSnapshotEvery)
	// snapshotNames is how many snapshot distances pass before an object's name is used again.
	snapshotNames = 4
)

// ErrGap says that a version's patch is no longer kept.
var ErrGap = errors.New("configuration: a version's patch is no longer kept")

// Record is one accepted patch and the version that it made.
type Record struct {
	Version ident.Version       `cbor:"1,keyasint" json:"version"`
	Patch   configuration.Patch `cbor:"2,keyasint" json:"patch"`
	// Operator is the digest of the credential that made the patch.
	Operator ident.KeyDigest `cbor:"3,keyasint" json:"operator"`
}

// Change says what the record's patch touched.
func (r Record) Change() configuration.Change {
	return configuration.Change{Version: r.Version, Patch: r.Patch.ID, Operator: r.Operator, Touched: r.Patch.Touched()}
}

// head is the content of the head row.
type head struct {
	Version ident.Version `json:"version"`
}

// past is the content of a patch's own row.
type past struct {
	Version ident.Version `json:"version"`
	// Digest tells a repeat from another patch with the same id.
	Digest string `json:"digest"`
}

// mark is the content of the snapshot row.
type mark struct {
	Version ident.Version `json:"version"`
	Object  string        `json:"object"`
	// Digest is the hexadecimal SHA-256 digest of the object.
	Digest string `json:"digest"`
}

// State is what one read says of the head and of one patch id.
type State struct {
	// Version is the current version.
	Version ident.Version
	// PatchVersion is the version that holds the patch id, or 0.
	PatchVersion ident.Version
	// PatchDigest is the content's digest of the patch with that id.
	PatchDigest string
	revision    table.Revision
	mark        mark
	marked      table.Revision
}

// Config says where the configuration is kept.
type Config struct {
	Table   table.Table
	Objects platform.Objects
	// SnapshotEvery is the distance of two snapshots; 0 means DefaultSnapshotEvery.
	SnapshotEvery ident.Version
	// Retention is how many versions before the last snapshot keep their patch; 0 means DefaultRetention.
	Retention ident.Version
}

// Store reads and changes the configuration.
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

// Head returns the current version; 0 is the empty configuration.
func (s *Store) Head(ctx context.Context) (ident.Version, error) {
	rows, err := s.config.Table.Read(ctx, rowHead)
	if err != nil {
		return 0, err
	}
	current, err := decode[head](rows[0])
	return current.Version, err
}

// Find reads the head and what is known of a patch id, from one state of the table.
func (s *Store) Find(ctx context.Context, patch ident.Patch) (State, error) {
	rows, err := s.config.Table.Read(ctx, rowHead, prefixPatch+table.Key(patch), rowSnapshot)
	if err != nil {
		return State{}, err
	}
	current, err := decode[head](rows[0])
	if err != nil {
		return State{}, err
	}
	known, err := decode[past](rows[1])
	if err != nil {
		return State{}, err
	}
	last, err := decode[mark](rows[2])
	return State{
		Version: current.Version, PatchVersion: known.Version, PatchDigest: known.Digest,
		revision: rows[0].Revision, mark: last, marked: rows[2].Revision,
	}, err
}

// After returns the records of the versions after from up to to, or ErrGap where one is no longer kept.
func (s *Store) After(ctx context.Context, from, to ident.Version) ([]Record, error) {
	var records []Record
	for from < to {
		var keys []table.Key
		for version := from + 1; version <= to && len(keys) < readRows; version++ {
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

// First returns the oldest version whose patch is kept.
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

// Load returns the current configuration from the last snapshot and the versions after it.
func (s *Store) Load(ctx context.Context) (configuration.Configuration, error) {
	state, err := s.Find(ctx, "")
	if err != nil {
		return configuration.Configuration{}, err
	}
	current, err := s.snapshot(ctx, state.mark)
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

// snapshot returns the configuration that the mark names; without a mark it is the empty one.
func (s *Store) snapshot(ctx context.Context, last mark) (configuration.Configuration, error) {
	var kept configuration.Configuration
	if last.Version == 0 {
		return kept, nil
	}
	body, err := s.config.Objects.GetObject(ctx, last.Object)
	if err != nil {
		return kept, err
	}
	if digest(body) != last.Digest {
		return kept, oops.Wrapf(table.ErrRefused, "snapshot of version %d: the object has another digest", last.Version)
	}
	if err := json.Unmarshal(body, &kept); err != nil {
		return kept, oops.Wrapf(err, "decode snapshot")
	}
	return kept, nil
}

// Commit makes the record's version current unless another one became current since the state was read.
func (s *Store) Commit(ctx context.Context, state State, record Record) error {
	content, err := record.Patch.Digest()
	if err != nil {
		return err
	}
	own := prefixPatch + table.Key(record.Patch.ID)
	writes, err := encode(
		row{rowHead, head{Version: record.Version}},
		row{deltaRow(record.Version), record},
		row{own, past{Version: record.Version, Digest: content}},
	)
	if err != nil {
		return err
	}
	return s.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: rowHead, Revision: state.revision}, {Key: own}},
		Writes: writes,
	})
}

// Compact writes a snapshot and prunes old rows where the last snapshot is far behind; state was read before current.
func (s *Store) Compact(ctx context.Context, state State, current configuration.Configuration) error {
	if current.Version-state.mark.Version < s.config.SnapshotEvery {
		return nil
	}
	body, err := json.Marshal(current)
	if err != nil {
		return oops.Wrapf(err, "encode snapshot")
	}
	slot := current.Version % (snapshotNames * s.config.SnapshotEvery)
	next := mark{Version: current.Version, Object: fmt.Sprintf("configuration-snapshot-%d", slot), Digest: digest(body)}
	if err := s.config.Objects.PutObject(ctx, next.Object, body); err != nil {
		return err
	}
	writes, err := encode(row{rowSnapshot, next})
	if err != nil {
		return err
	}
	pruned, err := s.prune(ctx, current.Version-s.config.Retention)
	if err != nil {
		return err
	}
	return s.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: rowSnapshot, Revision: state.marked}},
		Writes: append(writes, pruned...),
	})
}

// prune returns the deletions of the oldest versions up to last.
func (s *Store) prune(ctx context.Context, last ident.Version) ([]table.Write, error) {
	if last < 1 {
		return nil, nil
	}
	rows, err := s.config.Table.Scan(ctx, prefixDelta, "", pruneRows)
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

// row is a row to be written.
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

// decode returns the row's content; an absent row is the zero value.
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
