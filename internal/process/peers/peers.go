// Package peers discovers the other router instances and estimates the time of day from the clocks of all instances.
//
// Each instance writes a row with its address and its clock offset into the store at a regular interval, the heartbeat, and
// reads the rows of all others.
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
	"vanillapond/internal/process/sharedrate"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
)

// TableName is the name of the table that contains the rows of the router instances.
const TableName = "entries"

// Intervals of the rows.
const (
	// minHeartbeatInterval is the shortest interval between two writes of a row. Unless Config.MaxHeartbeatInterval is shorter, the
	// interval is at least heartbeatPerInstance for each live instance, so that the writes and reads of many instances use only a
	// small part of the store's capacity.
	minHeartbeatInterval = time.Second
	heartbeatPerInstance = 100 * time.Millisecond
	// writeFraction is the fraction of the store's write rate that the rows of all instances together may use.
	writeFraction = 0.1
	// heartbeatsPerRead is the number of heartbeat intervals between two reads of all rows.
	heartbeatsPerRead = 3
	// maxMissedHeartbeats is for how many heartbeat intervals a row may stay unchanged before its instance counts as gone.
	maxMissedHeartbeats = 4
)

// Row is what a router instance publishes about itself.
type Row struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Address is where the instance receives datagrams from its peers.
	Address netip.AddrPort `json:"address"`
	// Sequence changes with each write.
	Sequence int64 `json:"beat"`
	// WallOffsetMS is the instance's time of day, in Unix milliseconds, minus the store's monotonic clock.
	WallOffsetMS int64 `json:"wall_offset_ms"`
	// Draining is set while the instance is stopping.
	Draining bool `json:"leaving,omitempty"`
	// Usage counts the requests that started to run at the instance up to UsageUntilMS, in Unix milliseconds of the agreed time.
	Usage        usage.Counts `json:"usage,omitempty"`
	UsageUntilMS int64        `json:"usage_until_ms"`
}

// Check returns an error if a field is invalid.
func (r Row) Check() error {
	if r.Process == "" || r.Incarnation == "" {
		return oops.Errorf("row of a router instance: found no process or incarnation")
	}
	if !r.Address.IsValid() {
		return oops.Errorf("row of a router instance: found no address")
	}
	return nil
}

// Config configures a Registry.
type Config struct {
	Table       table.Table
	Feed        table.Feed
	Process     ident.Process
	Incarnation ident.Incarnation
	Address     netip.AddrPort
	// MaxHeartbeatInterval limits the interval between two writes, unless WritesPerSecond requires a longer one; 0 means no limit.
	MaxHeartbeatInterval time.Duration
	// WritesPerSecond is the number of writes that the store accepts from all instances together; 0 means no limit.
	WritesPerSecond float64
	// Usage returns the counts that are written with the row.
	Usage func() usage.Counts
	// Log writes an event to the log.
	Log func(event string, pairs ...any)
	// Now and Wall read the clocks; nil means clock.Boot and time.Now.
	Now  func() clock.Reading
	Wall func() time.Time
}

// Peer is another live router instance.
type Peer struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	Address     netip.AddrPort
}

// Registry keeps track of the live router instances.
type Registry struct {
	config Config
	mu     sync.Mutex
	// observed holds the last revision of each row and when that revision was first read; guarded by mu.
	observed map[table.Key]observation
	// peers lists the other live instances. The slice is replaced, never modified; guarded by mu.
	peers []Peer
	// fleetSize is the number of live instances, including this one; guarded by mu.
	fleetSize int
	// read is set once all rows were read, and fleetKnown once they were read after the own row had been written: of any two instances, at
	// least one then knows the other. Guarded by mu.
	read, fleetKnown bool
	// written is set once the own row was written; guarded by mu.
	written bool
	// writtenAt is when the own row was last written, or the registry was created; guarded by mu.
	writtenAt clock.Reading
	// heard holds when a datagram of each process last arrived, for at least heardTimeout; guarded by mu.
	heard map[ident.Process]clock.Reading
	// share is this instance's share as of shareAt, which is 0 if it must be computed anew; guarded by mu.
	share   sharedrate.Share
	shareAt clock.Reading
	// estimator computes the agreed time; guarded by mu.
	estimator clockEstimator
	// sequence is the sequence number of the last row written; guarded by mu.
	sequence int64
	// changed has an entry after the first read, and after each that found other peers.
	changed chan struct{}
	// writeFailed is set while the last write of the own row failed; guarded by mu.
	writeFailed bool
}

type observation struct {
	revision table.Revision
	at       clock.Reading
	row      Row
}

// New returns a registry without peers; Run or Read finds them.
func New(config Config) *Registry {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.Wall == nil {
		config.Wall = time.Now
	}
	return &Registry{
		config: config, observed: make(map[table.Key]observation), fleetSize: 1, writtenAt: config.Now(),
		heard: make(map[ident.Process]clock.Reading), changed: make(chan struct{}, 1),
	}
}

// Changed receives once the other instances are known, and whenever others are.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Key returns the key of this instance's own row.
func (r *Registry) Key() table.Key { return key(r.config.Incarnation) }

func key(incarnation ident.Incarnation) table.Key {
	return table.Key(TableName + "/" + string(incarnation))
}

// Peers returns the other live instances; the caller must not modify the slice.
func (r *Registry) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

// FleetSize returns the number of live instances, including this one.
func (r *Registry) FleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleetSize
}

// HeartbeatInterval returns the interval between two writes of the own row.
func (r *Registry) HeartbeatInterval() time.Duration {
	return r.config.heartbeatInterval(r.FleetSize())
}

// heartbeatInterval returns the interval between two writes of a row with the given number of live instances.
func (c Config) heartbeatInterval(fleetSize int) time.Duration {
	interval := max(minHeartbeatInterval, time.Duration(fleetSize)*heartbeatPerInstance)
	if c.MaxHeartbeatInterval > 0 {
		interval = min(interval, c.MaxHeartbeatInterval)
	}
	if c.WritesPerSecond > 0 {
		interval = max(interval, time.Duration(float64(fleetSize)/(writeFraction*c.WritesPerSecond)*float64(time.Second)))
	}
	return interval
}

// Run writes the own row at each heartbeat and regularly reads all rows, until the context is done. It reads them before the first write, for
// the agreed time, and soon after it.
func (r *Registry) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		if round == 0 {
			r.logRead(ctx)
		}
		if err := r.Write(ctx, false); err != nil && ctx.Err() == nil {
			r.config.Log("entry_unwritten", "err", err)
		}
		if round%heartbeatsPerRead == 0 {
			r.logRead(ctx)
		}
		interval := r.HeartbeatInterval()
		clock.Sleep(ctx, interval-interval/8+rand.N(interval/4), nil) //nolint:gosec // Spreads load only.
	}
}

func (r *Registry) logRead(ctx context.Context) {
	if _, err := r.Read(ctx); err != nil {
		r.config.Log("entries_unread", "err", err)
	}
}

// Write writes the own row into the store.
func (r *Registry) Write(ctx context.Context, draining bool) error {
	r.mu.Lock()
	r.sequence++
	row := Row{
		Process: r.config.Process, Incarnation: r.config.Incarnation, Address: r.config.Address, Sequence: r.sequence,
		WallOffsetMS: r.estimator.localOffset.Milliseconds(), Draining: draining,
	}
	r.mu.Unlock()
	row.UsageUntilMS = r.AgreedTime().UnixMilli()
	row.Usage = r.config.Usage()
	value, err := json.Marshal(row)
	if err != nil {
		return oops.Wrapf(err, "encode row of router instance")
	}
	err = r.config.Table.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: r.Key(), Value: value}}})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeFailed = err != nil
	if err == nil {
		r.writtenAt, r.written = r.config.Now(), true
	}
	return err
}

// WriteFailed reports whether the last write of the own row failed, so that its content must be sent to the peers directly.
func (r *Registry) WriteFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeFailed
}

// Read reads all rows and returns them; rows that are invalid or cannot be decoded are logged and skipped.
func (r *Registry) Read(ctx context.Context) (map[table.Key]Row, error) {
	start := r.config.Now()
	r.mu.Lock()
	written := r.written
	r.mu.Unlock()
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
	r.ignoreLateWrites(rows)
	r.estimator.observeStore(now, now.Sub(start)/2, batch.ServiceTime, wall)
	r.applyRows(now, rows, revisions)
	r.fleetKnown = r.fleetKnown || written
	return rows, nil
}

// ignoreLateWrites replaces rows by later ones of the same instances that were read before: a write that an instance had given up may replace a later
// one. The caller holds mu.
func (r *Registry) ignoreLateWrites(rows map[table.Key]Row) {
	for key, row := range rows {
		if last, found := r.observed[key]; found && last.row.Sequence > row.Sequence {
			rows[key] = last.row
		}
	}
}

// applyRows updates peers and the agreed time from the rows just read; the caller holds mu.
func (r *Registry) applyRows(now clock.Reading, rows map[table.Key]Row, revisions map[table.Key]table.Revision) {
	for key := range r.observed {
		if _, found := rows[key]; !found {
			delete(r.observed, key)
		}
	}
	timeout := maxMissedHeartbeats * r.config.heartbeatInterval(r.fleetSize)
	var peers []Peer
	var offsets []int64
	for key, row := range rows {
		last, found := r.observed[key]
		if !found || last.revision != revisions[key] {
			last = observation{revision: revisions[key], at: now, row: row}
			r.observed[key] = last
		}
		if row.WallOffsetMS != 0 {
			offsets = append(offsets, row.WallOffsetMS)
		}
		if row.Incarnation == r.config.Incarnation || row.Draining || now.Sub(last.at) > timeout {
			continue
		}
		peers = append(peers, Peer{Process: row.Process, Incarnation: row.Incarnation, Address: row.Address})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	isChanged := !slices.Equal(peers, r.peers)
	if isChanged {
		r.config.Log("entries_changed", "entries", len(peers)+1, "before", r.fleetSize)
	}
	if isChanged || !r.read {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
	r.peers = peers
	r.fleetSize = len(peers) + 1
	r.read, r.shareAt = true, 0
	r.estimator.updateMedian(offsets)
}

// Remove removes the rows of instances that have ended, as they were last read; if there are many, some of them.
func (r *Registry) Remove(ctx context.Context, keys []table.Key) error {
	if len(keys) == 0 {
		return nil
	}
	rows := make([]table.Row, len(keys))
	r.mu.Lock()
	for index, key := range keys {
		rows[index] = table.Row{Key: key, Revision: r.observed[key].revision}
	}
	r.mu.Unlock()
	return r.config.Table.Commit(ctx, table.Removal(rows))
}

// UnchangedFor returns for how long this process has seen the row unchanged; 0 if it has not seen the row.
func (r *Registry) UnchangedFor(key table.Key) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, found := r.observed[key]
	if !found {
		return 0
	}
	return r.config.Now().Sub(last.at)
}

// AgreedTime returns the time of day by the median of the instances' clocks.
func (r *Registry) AgreedTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimator.agreedTime(r.config.Now(), r.config.Wall())
}
