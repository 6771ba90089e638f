package ledger

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"vanillapond/internal/process/loop"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Bounds of a sidecar's copies.
const (
	// maxRecords bounds the records kept; a ledger's oldest go first, the entry still has them.
	maxRecords = 65536
	// dropBatch is how many go at once.
	dropBatch = maxRecords / 16
	// orphanBatch is how many records one transaction makes durable.
	orphanBatch = 64
	// staleFactor is after how many times OrphanAfter the rows are read although the link is up.
	staleFactor = 4
)

// RecordBufferConfig says how a sidecar keeps copies.
type RecordBufferConfig struct {
	Table       table.Table
	Incarnation ident.Incarnation
	// Interval is the time between two looks for orphans.
	Interval time.Duration
	// OrphanTimeout is how long an entry's link may be down before its records are orphans.
	OrphanTimeout time.Duration
	// Now returns the wall time; nil means time.Now.
	Now func() time.Time
}

// RecordBuffer holds the records of a sidecar until they are durable.
type RecordBuffer struct {
	config RecordBufferConfig
	mu     sync.Mutex
	// All below is guarded by mu.

	// links counts the links to an entry; lost says when the last one ended.
	links map[ident.Incarnation]int
	lost  map[ident.Incarnation]time.Time
	// ledgers holds the ledgers with records.
	ledgers map[ident.Incarnation]*copied
	// count is the number of records in all ledgers.
	count int
	// closing makes every lost entry count as gone.
	closing bool
	// batches numbers the transactions with orphans, so that no row is written twice.
	batches uint64
}

// copied is what is kept for one ledger.
type copied struct {
	ledger ident.Incarnation
	// entry is the process incarnation that the records came from.
	entry   ident.Incarnation
	records map[Sequence]Record
	// fenced says that the ledger writes nothing more.
	fenced bool
	// looked is when the rows were last read, or the first record came.
	looked time.Time
	// batch is the next thing to commit; nil means that the rows have to be read first.
	batch *batch
}

// batch is one transaction that fences a ledger or makes its orphans durable.
type batch struct {
	sequences   []Sequence
	transaction table.Transaction
}

// NewRecordBuffer returns copies without a record.
func NewRecordBuffer(config RecordBufferConfig) *RecordBuffer {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &RecordBuffer{
		config:  config,
		links:   make(map[ident.Incarnation]int),
		lost:    make(map[ident.Incarnation]time.Time),
		ledgers: make(map[ident.Incarnation]*copied),
	}
}

// LinkUp notes a link to an entry's process.
func (c *RecordBuffer) LinkUp(entry ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[entry]++
	delete(c.lost, entry)
}

// LinkDown notes the end of a link.
func (c *RecordBuffer) LinkDown(entry ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[entry]--
	if c.links[entry] > 0 {
		return
	}
	delete(c.links, entry)
	if c.keeps(entry) {
		c.lost[entry] = c.config.Now()
	}
}

// keeps reports whether there are records of an entry.
func (c *RecordBuffer) keeps(entry ident.Incarnation) bool {
	for _, kept := range c.ledgers {
		if kept.entry == entry {
			return true
		}
	}
	return false
}

// Add keeps a record; it must be called before the entry can hear of the answer's end.
func (c *RecordBuffer) Add(entry ident.Incarnation, record Record) {
	if record.Usage == (Usage{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.ledgers[record.Tag.Ledger]
	if kept == nil {
		kept = &copied{ledger: record.Tag.Ledger, entry: entry, records: make(map[Sequence]Record), looked: c.config.Now()}
		c.ledgers[record.Tag.Ledger] = kept
	}
	if c.count >= maxRecords {
		c.dropOldest(kept)
	}
	kept.records[record.Tag.Sequence] = record
	c.count++
	if _, gone := c.lost[entry]; c.links[entry] == 0 && !gone {
		c.lost[entry] = c.config.Now()
	}
}

// Drop forgets a record whose answer's end was never sent.
func (c *RecordBuffer) Drop(tag AttemptTag) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := c.ledgers[tag.Ledger]; kept != nil {
		c.drop(kept, tag.Sequence)
		c.forget(kept)
	}
}

func (c *RecordBuffer) drop(kept *copied, sequence Sequence) {
	if _, found := kept.records[sequence]; found {
		delete(kept.records, sequence)
		c.count--
	}
}

// dropOldest makes room by forgetting the oldest records of a ledger.
func (c *RecordBuffer) dropOldest(kept *copied) {
	sequences := slices.Sorted(maps.Keys(kept.records))
	for _, sequence := range sequences[:min(len(sequences), dropBatch)] {
		c.drop(kept, sequence)
	}
}

// Acknowledge takes an entry's word on what is durable.
func (c *RecordBuffer) Acknowledge(settlement Acknowledgment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.ledgers[settlement.Ledger]
	if kept == nil {
		return
	}
	kept.fenced = kept.fenced || settlement.Fenced
	for sequence := range kept.records {
		if sequence <= settlement.Through {
			c.drop(kept, sequence)
		}
	}
	c.forget(kept)
}

// forget drops a ledger without records.
func (c *RecordBuffer) forget(kept *copied) {
	if len(kept.records) > 0 {
		return
	}
	delete(c.ledgers, kept.ledger)
	if !c.keeps(kept.entry) {
		delete(c.lost, kept.entry)
	}
}

// Len returns how many records are kept.
func (c *RecordBuffer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Close makes the records durable whose entries were lost before a planned stop.
func (c *RecordBuffer) Close(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = loop.Drive(ctx, c)
	c.mu.Lock()
	c.closing = false
	c.mu.Unlock()
}

// Run looks for orphans until the context is done.
func (c *RecordBuffer) Run(ctx context.Context) { loop.Run(ctx, c, c.config.Interval) }

// Step makes at most one call of the table for the first ledger that is due; it reports whether one was.
func (c *RecordBuffer) Step(ctx context.Context) (bool, error) {
	c.mu.Lock()
	kept := c.due()
	if kept == nil {
		c.mu.Unlock()
		return false, nil
	}
	next := kept.batch
	kept.batch = nil
	sequences := kept.first()
	keys := []table.Key{PrefixLedger + table.Key(kept.ledger), KeySealed}
	for _, sequence := range sequences {
		keys = append(keys, orphanKey(kept.records[sequence]))
	}
	c.mu.Unlock()
	if next != nil {
		return true, c.commit(ctx, kept, next)
	}
	rows, err := c.config.Table.Read(ctx, keys...)
	if err != nil {
		return true, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return true, c.take(kept, sequences, rows)
}

func (c *RecordBuffer) due() *copied {
	now := c.config.Now()
	var first *copied
	for _, kept := range c.ledgers {
		if !kept.fenced && !c.gone(kept.entry, now) && now.Sub(kept.looked) < staleFactor*c.config.OrphanTimeout {
			continue
		}
		if first == nil || kept.ledger < first.ledger {
			first = kept
		}
	}
	return first
}

// gone reports whether an entry's links have been down for long enough.
func (c *RecordBuffer) gone(entry ident.Incarnation, now time.Time) bool {
	lost, found := c.lost[entry]
	return found && (c.closing || now.Sub(lost) >= c.config.OrphanTimeout)
}

// first returns the oldest records of one batch.
func (k *copied) first() []Sequence {
	sequences := slices.Sorted(maps.Keys(k.records))
	return sequences[:min(len(sequences), orphanBatch)]
}

// take drops what the rows show as durable and prepares the next transaction.
func (c *RecordBuffer) take(kept *copied, sequences []Sequence, rows []table.Row) error {
	state, sealed, err := decodeState(rows[0], rows[1])
	if err != nil {
		return err
	}
	var left []Sequence
	for index, sequence := range sequences {
		if _, found := kept.records[sequence]; !found {
			continue
		}
		if state.Covered.Covers(sequence) || rows[index+2].Revision != 0 {
			c.drop(kept, sequence)
			continue
		}
		left = append(left, sequence)
	}
	if len(left) == 0 {
		c.forget(kept)
		return nil
	}
	kept.looked = c.config.Now()
	kept.fenced = state.Fenced
	if kept.fenced {
		kept.batch, err = c.orphans(kept, left, sealed, rows[1].Revision)
		return err
	}
	if c.gone(kept.entry, kept.looked) {
		kept.batch, err = fence(rows[0], state)
	}
	return err
}

// fence returns the transaction after which the ledger writes nothing more.
func fence(row table.Row, state State) (*batch, error) {
	state.Fenced = true
	write, err := EncodeRow(row.Key, state)
	if err != nil {
		return nil, err
	}
	return &batch{transaction: table.Transaction{
		Checks: []table.Check{{Key: row.Key, Revision: row.Revision}}, Writes: []table.Write{write},
	}}, nil
}

// orphans returns the transaction that makes records durable, each at most once.
func (c *RecordBuffer) orphans(kept *copied, sequences []Sequence, sealed Sealed, revision table.Revision) (*batch, error) {
	now := c.config.Now()
	next := new(batch)
	next.transaction.Checks = []table.Check{{Key: KeySealed, Revision: revision}}
	totals := make(map[account]Usage)
	for _, sequence := range sequences {
		record := kept.records[sequence]
		if next.holds(orphanKey(record)) {
			continue
		}
		write, err := EncodeRow(orphanKey(record), record.Tag)
		if err != nil {
			return nil, err
		}
		next.sequences = append(next.sequences, sequence)
		next.transaction.Checks = append(next.transaction.Checks, table.Check{Key: write.Key})
		next.transaction.Writes = append(next.transaction.Writes, write)
		key := account{window: record.Tag.Window, partner: record.Tag.Partner, customer: record.Customer}
		key = key.place(sealed.Through, nextWindow(now, sealed.Through, record.Tag.WindowLength))
		totals[key] = totals[key].Plus(record.Usage)
	}
	c.batches++
	writes, err := encodeTotals(totals, fmt.Sprintf("%s.orphans.%d", c.config.Incarnation, c.batches))
	next.transaction.Writes = append(next.transaction.Writes, writes...)
	return next, err
}

// holds reports whether another attempt of the request is in the batch.
func (b *batch) holds(key table.Key) bool {
	return slices.ContainsFunc(b.transaction.Writes, func(write table.Write) bool { return write.Key == key })
}

// commit sends a transaction; after any failure the rows tell what is left to do.
func (c *RecordBuffer) commit(ctx context.Context, kept *copied, next *batch) error {
	if err := c.config.Table.Commit(ctx, next.transaction); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sequence := range next.sequences {
		c.drop(kept, sequence)
	}
	c.forget(kept)
	return nil
}

func orphanKey(record Record) table.Key {
	return PrefixOrphan + table.Key(record.Request)
}
