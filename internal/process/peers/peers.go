// Package peers knows the other entries by rows that each writes into the store, and tells the true time by their clocks.
package peers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
)

// TableName is the table of the entries' rows.
const TableName = "entries"

// Times of the rows.
const (
	// minBeat is the time between two writes of a row; beatPerEntry lengthens it, so that a large fleet's writes and
	// reads stay a small part of what the store bears.
	minBeat      = time.Second
	beatPerEntry = 100 * time.Millisecond
	// writeShare is the part of the writes that the store takes which all rows together may use.
	writeShare = 0.1
	// readFactor is how many beats lie between two reads of all rows.
	readFactor = 3
	// lostBeats is how many beats a row stays unchanged before its entry counts as gone.
	lostBeats = 4
)

// Row is what an entry says of itself.
type Row struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Address is where the entry hears datagrams of its peers.
	Address netip.AddrPort `json:"address"`
	// Sequence changes with each write.
	Sequence int64 `json:"beat"`
	// WallOffsetMS is the entry's time of day, in Unix milliseconds, less the store's steady clock.
	WallOffsetMS int64 `json:"wall_offset_ms"`
	// Draining says that the entry is stopping.
	Draining bool `json:"leaving,omitempty"`
	// Usage counts what began to run at the entry, up to UsageUntilMS in true Unix milliseconds.
	Usage        usage.Counts `json:"usage,omitempty"`
	UsageUntilMS int64        `json:"usage_until_ms"`
}

// Check returns an error where a field breaks its invariant.
func (r Row) Check() error {
	if r.Process == "" || r.Incarnation == "" {
		return oops.Errorf("row of an entry: found no process or incarnation")
	}
	if !r.Address.IsValid() {
		return oops.Errorf("row of an entry: found no address")
	}
	return nil
}

// Config says who takes part.
type Config struct {
	Table       table.Table
	Feed        table.Feed
	Process     ident.Process
	Incarnation ident.Incarnation
	Address     netip.AddrPort
	// MaxHeartbeatInterval bounds the time between two writes, unless the store takes fewer; 0 means no bound.
	MaxHeartbeatInterval time.Duration
	// WritesPerSecond is what the store takes from all entries together; 0 means any number.
	WritesPerSecond float64
	// Usage returns the counts to be written with the row.
	Usage func() usage.Counts
	// Log takes events.
	Log func(event string, pairs ...any)
	// Now and Wall read the clocks; nil means clock.Boot and time.Now.
	Now  func() clock.Reading
	Wall func() time.Time
}

// Peer is another entry that is alive.
type Peer struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	Address     netip.AddrPort
}

// Registry knows the entries.
type Registry struct {
	config Config
	mu     sync.Mutex
	// seen holds each row's last revision and when it was first read; guarded by mu.
	seen map[table.Key]sighting
	// peers are the live entries besides this one; the list is never changed. Guarded by mu.
	peers []Peer
	// fleet is how many entries are alive, this one too; guarded by mu.
	fleet int
	// timeline tells true time; guarded by mu.
	timeline timeline
	beat     int64
	// unwritten says that the last write of the own row failed; guarded by mu.
	unwritten bool
}

type sighting struct {
	revision table.Revision
	at       clock.Reading
	row      Row
}

// New returns a registry that knows no peers.
func New(config Config) *Registry {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.Wall == nil {
		config.Wall = time.Now
	}
	return &Registry{config: config, seen: make(map[table.Key]sighting), fleet: 1}
}

// Key returns the key of the entry's own row.
func (r *Registry) Key() table.Key { return key(r.config.Incarnation) }

func key(incarnation ident.Incarnation) table.Key {
	return table.Key(TableName + "/" + string(incarnation))
}

// Peers returns the live entries besides this one; the list must not be changed.
func (r *Registry) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

// FleetSize returns how many entries are alive, this one too.
func (r *Registry) FleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// HeartbeatInterval returns the time between two writes of the row.
func (r *Registry) HeartbeatInterval() time.Duration { return r.config.beat(r.FleetSize()) }

// beat returns the time between two writes of a row in a fleet of some size.
func (c Config) beat(fleet int) time.Duration {
	beat := max(minBeat, time.Duration(fleet)*beatPerEntry)
	if c.MaxHeartbeatInterval > 0 {
		beat = min(beat, c.MaxHeartbeatInterval)
	}
	if c.WritesPerSecond > 0 {
		beat = max(beat, time.Duration(float64(fleet)/(writeShare*c.WritesPerSecond)*float64(time.Second)))
	}
	return beat
}

// Run writes the own row and reads all rows until the context is done.
func (r *Registry) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		if round%readFactor == 0 {
			if _, err := r.Read(ctx); err != nil {
				r.config.Log("entries_unread", "err", err)
			}
		}
		if err := r.Write(ctx, false); err != nil && ctx.Err() == nil {
			r.config.Log("entry_unwritten", "err", err)
		}
		beat := r.HeartbeatInterval()
		clock.Sleep(ctx, beat-beat/8+rand.N(beat/4), nil) //nolint:gosec // Spreads load only.
	}
}

// Write puts the own row into the store.
func (r *Registry) Write(ctx context.Context, leaving bool) error {
	r.mu.Lock()
	r.beat++
	row := Row{
		Process: r.config.Process, Incarnation: r.config.Incarnation, Address: r.config.Address, Sequence: r.beat,
		WallOffsetMS: r.timeline.ownOffset.Milliseconds(), Draining: leaving,
	}
	r.mu.Unlock()
	row.UsageUntilMS = r.AgreedTime().UnixMilli()
	row.Usage = r.config.Usage()
	value, err := json.Marshal(row)
	if err != nil {
		return oops.Wrapf(err, "encode row of entry")
	}
	err = r.config.Table.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: r.Key(), Value: value}}})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unwritten = err != nil
	return err
}

// WriteFailed reports whether the own row could not be written, so that peers must be told of it otherwise.
func (r *Registry) WriteFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unwritten
}

// Read reads all rows and returns them; rows that cannot be decoded are logged and passed over.
func (r *Registry) Read(ctx context.Context) (map[table.Key]Row, error) {
	before := r.config.Now()
	batch, err := r.config.Feed.List(ctx, TableName)
	if err != nil {
		return nil, err
	}
	now, wall := r.config.Now(), r.config.Wall()
	rows := make(map[table.Key]Row, len(batch.Changes))
	revisions := make(map[table.Key]table.Revision, len(batch.Changes))
	for _, change := range batch.Changes {
		var row Row
		if err := json.Unmarshal(change.Value, &row); err != nil {
			r.config.Log("entry_row_unreadable", "key", change.Key, "err", err)
			continue
		}
		if err := row.Check(); err != nil {
			r.config.Log("entry_row_unreadable", "key", change.Key, "err", err)
			continue
		}
		rows[change.Key] = row
		revisions[change.Key] = change.Revision
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline.read(now, now.Sub(before)/2, batch.ServiceTime, wall)
	r.learn(now, rows, revisions)
	return rows, nil
}

// learn takes over rows; the caller holds mu.
func (r *Registry) learn(now clock.Reading, rows map[table.Key]Row, revisions map[table.Key]table.Revision) {
	for key := range r.seen {
		if _, found := rows[key]; !found {
			delete(r.seen, key)
		}
	}
	limit := lostBeats * r.config.beat(r.fleet)
	var peers []Peer
	var offsets []int64
	for key, row := range rows {
		known, found := r.seen[key]
		if !found || known.revision != revisions[key] {
			known = sighting{revision: revisions[key], at: now, row: row}
			r.seen[key] = known
		}
		if row.WallOffsetMS != 0 {
			offsets = append(offsets, row.WallOffsetMS)
		}
		if row.Incarnation == r.config.Incarnation || row.Draining || now.Sub(known.at) > limit {
			continue
		}
		peers = append(peers, Peer{Process: row.Process, Incarnation: row.Incarnation, Address: row.Address})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	if !slices.Equal(peers, r.peers) {
		r.config.Log("entries_changed", "entries", len(peers)+1, "before", r.fleet)
	}
	r.peers = peers
	r.fleet = len(peers) + 1
	r.timeline.agree(offsets)
}

// UnchangedFor returns how long a row has been unchanged, as far as this process has seen.
func (r *Registry) UnchangedFor(key table.Key) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.seen[key]
	if !found {
		return 0
	}
	return r.config.Now().Sub(known.at)
}

// AgreedTime returns the time of day that most entries agree on.
func (r *Registry) AgreedTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timeline.at(r.config.Now(), r.config.Wall())
}
