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
	// evictionBatch is how many go at once.
	evictionBatch = maxRecords / 16
	// maxOrphanBatch is how many records one transaction makes durable.
	maxOrphanBatch = 64
	// recheckFactor is after how many times OrphanAfter the rows are read although the link is up.
	recheckFactor = 4
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

	// linkCounts counts the links to an entry; lost says when the last one ended.
	linkCounts     map[ident.Incarnation]int
	disconnectedAt map[ident.Incarnation]time.Time
	// ledgers holds the ledgers with records.
	ledgers map[ident.Incarnation]*ledgerRecords
	// count is the number of records in all ledgers.
	count int
	// closing makes every lost entry count as gone.
	closing bool
	// batchCount numbers the transactions with orphans, so that no row is written twice.
	batchCount uint64
}

// ledgerRecords is what is kept for one ledger.
type ledgerRecords struct {
	ledger ident.Incarnation
	// entry is the process incarnation that the records came from.
	entry   ident.Incarnation
	records map[Sequence]Record
	// fenced says that the ledger writes nothing more.
	fenced bool
	// checkedAt is when the rows were last read, or the first record came.
	checkedAt time.Time
	// nextBatch is the next thing to commit; nil means that the rows have to be read first.
	nextBatch *batch
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
		config:         config,
		linkCounts:     make(map[ident.Incarnation]int),
		disconnectedAt: make(map[ident.Incarnation]time.Time),
		ledgers:        make(map[ident.Incarnation]*ledgerRecords),
	}
}

// LinkUp notes a link to an entry's process.
func (b *RecordBuffer) LinkUp(entry ident.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.linkCounts[entry]++
	delete(b.disconnectedAt, entry)
}

// LinkDown notes the end of a link.
func (b *RecordBuffer) LinkDown(entry ident.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.linkCounts[entry]--
	if b.linkCounts[entry] > 0 {
		return
	}
	delete(b.linkCounts, entry)
	if b.hasRecords(entry) {
		b.disconnectedAt[entry] = b.config.Now()
	}
}

// hasRecords reports whether there are records of an entry.
func (b *RecordBuffer) hasRecords(entry ident.Incarnation) bool {
	for _, buffered := range b.ledgers {
		if buffered.entry == entry {
			return true
		}
	}
	return false
}

// Add keeps a record; it must be called before the entry can hear of the answer's end.
func (b *RecordBuffer) Add(entry ident.Incarnation, record Record) {
	if record.Usage == (Usage{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	buffered := b.ledgers[record.Tag.Ledger]
	if buffered == nil {
		buffered = &ledgerRecords{ledger: record.Tag.Ledger, entry: entry, records: make(map[Sequence]Record), checkedAt: b.config.Now()}
		b.ledgers[record.Tag.Ledger] = buffered
	}
	if b.count >= maxRecords {
		b.evictOldest(buffered)
	}
	buffered.records[record.Tag.Sequence] = record
	b.count++
	if _, disconnected := b.disconnectedAt[entry]; b.linkCounts[entry] == 0 && !disconnected {
		b.disconnectedAt[entry] = b.config.Now()
	}
}

// Drop forgets a record whose answer's end was never sent.
func (b *RecordBuffer) Drop(tag AttemptTag) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buffered := b.ledgers[tag.Ledger]; buffered != nil {
		b.remove(buffered, tag.Sequence)
		b.removeIfEmpty(buffered)
	}
}

func (b *RecordBuffer) remove(buffered *ledgerRecords, sequence Sequence) {
	if _, found := buffered.records[sequence]; found {
		delete(buffered.records, sequence)
		b.count--
	}
}

// evictOldest makes room by forgetting the oldest records of a ledger.
func (b *RecordBuffer) evictOldest(buffered *ledgerRecords) {
	sequences := slices.Sorted(maps.Keys(buffered.records))
	for _, sequence := range sequences[:min(len(sequences), evictionBatch)] {
		b.remove(buffered, sequence)
	}
}

// Acknowledge takes an entry's word on what is durable.
func (b *RecordBuffer) Acknowledge(acknowledgment Acknowledgment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffered := b.ledgers[acknowledgment.Ledger]
	if buffered == nil {
		return
	}
	buffered.fenced = buffered.fenced || acknowledgment.Fenced
	for sequence := range buffered.records {
		if sequence <= acknowledgment.Through {
			b.remove(buffered, sequence)
		}
	}
	b.removeIfEmpty(buffered)
}

// removeIfEmpty drops a ledger without records.
func (b *RecordBuffer) removeIfEmpty(buffered *ledgerRecords) {
	if len(buffered.records) > 0 {
		return
	}
	delete(b.ledgers, buffered.ledger)
	if !b.hasRecords(buffered.entry) {
		delete(b.disconnectedAt, buffered.entry)
	}
}

// Len returns how many records are kept.
func (b *RecordBuffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Close makes the records durable whose entries were lost before a planned stop.
func (b *RecordBuffer) Close(ctx context.Context) {
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	_ = loop.Drive(ctx, b)
	b.mu.Lock()
	b.closing = false
	b.mu.Unlock()
}

// Run looks for orphans until the context is done.
func (b *RecordBuffer) Run(ctx context.Context) { loop.Run(ctx, b, b.config.Interval) }

// Step makes at most one call of the table for the first ledger that is due; it reports whether one was.
func (b *RecordBuffer) Step(ctx context.Context) (bool, error) {
	b.mu.Lock()
	buffered := b.nextDue()
	if buffered == nil {
		b.mu.Unlock()
		return false, nil
	}
	next := buffered.nextBatch
	buffered.nextBatch = nil
	sequences := buffered.oldestBatch()
	keys := []table.Key{PrefixLedger + table.Key(buffered.ledger), KeySealed}
	for _, sequence := range sequences {
		keys = append(keys, orphanKey(buffered.records[sequence]))
	}
	b.mu.Unlock()
	if next != nil {
		return true, b.commit(ctx, buffered, next)
	}
	rows, err := b.config.Table.Read(ctx, keys...)
	if err != nil {
		return true, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return true, b.applyRows(buffered, sequences, rows)
}

func (b *RecordBuffer) nextDue() *ledgerRecords {
	now := b.config.Now()
	var first *ledgerRecords
	for _, buffered := range b.ledgers {
		if !buffered.fenced && !b.isOrphaned(buffered.entry, now) && now.Sub(buffered.checkedAt) < recheckFactor*b.config.OrphanTimeout {
			continue
		}
		if first == nil || buffered.ledger < first.ledger {
			first = buffered
		}
	}
	return first
}

// isOrphaned reports whether an entry's links have been down for long enough.
func (b *RecordBuffer) isOrphaned(entry ident.Incarnation, now time.Time) bool {
	since, found := b.disconnectedAt[entry]
	return found && (b.closing || now.Sub(since) >= b.config.OrphanTimeout)
}

// oldestBatch returns the oldest records of one batch.
func (r *ledgerRecords) oldestBatch() []Sequence {
	sequences := slices.Sorted(maps.Keys(r.records))
	return sequences[:min(len(sequences), maxOrphanBatch)]
}

// applyRows drops what the rows show as durable and prepares the next transaction.
func (b *RecordBuffer) applyRows(buffered *ledgerRecords, sequences []Sequence, rows []table.Row) error {
	state, sealed, err := decodeState(rows[0], rows[1])
	if err != nil {
		return err
	}
	var remaining []Sequence
	for index, sequence := range sequences {
		if _, found := buffered.records[sequence]; !found {
			continue
		}
		if state.Covered.Covers(sequence) || rows[index+2].Revision != 0 {
			b.remove(buffered, sequence)
			continue
		}
		remaining = append(remaining, sequence)
	}
	if len(remaining) == 0 {
		b.removeIfEmpty(buffered)
		return nil
	}
	buffered.checkedAt = b.config.Now()
	buffered.fenced = state.Fenced
	if buffered.fenced {
		buffered.nextBatch, err = b.prepareOrphans(buffered, remaining, sealed, rows[1].Revision)
		return err
	}
	if b.isOrphaned(buffered.entry, buffered.checkedAt) {
		buffered.nextBatch, err = fenceBatch(rows[0], state)
	}
	return err
}

// fenceBatch returns the transaction after which the ledger writes nothing more.
func fenceBatch(row table.Row, state State) (*batch, error) {
	state.Fenced = true
	write, err := EncodeRow(row.Key, state)
	if err != nil {
		return nil, err
	}
	return &batch{transaction: table.Transaction{
		Checks: []table.Check{{Key: row.Key, Revision: row.Revision}}, Writes: []table.Write{write},
	}}, nil
}

// prepareOrphans returns the transaction that makes records durable, each at most once.
func (b *RecordBuffer) prepareOrphans(buffered *ledgerRecords, sequences []Sequence, sealed Sealed, revision table.Revision) (*batch, error) {
	now := b.config.Now()
	next := new(batch)
	next.transaction.Checks = []table.Check{{Key: KeySealed, Revision: revision}}
	totals := make(map[account]Usage)
	for _, sequence := range sequences {
		record := buffered.records[sequence]
		if next.contains(orphanKey(record)) {
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
		key = key.assignWindow(sealed.Through, openWindow(now, sealed.Through, record.Tag.WindowLength))
		totals[key] = totals[key].Plus(record.Usage)
	}
	b.batchCount++
	writes, err := encodeTotals(totals, fmt.Sprintf("%s.orphans.%d", b.config.Incarnation, b.batchCount))
	next.transaction.Writes = append(next.transaction.Writes, writes...)
	return next, err
}

// contains reports whether another attempt of the request is in the batch.
func (b *batch) contains(key table.Key) bool {
	return slices.ContainsFunc(b.transaction.Writes, func(write table.Write) bool { return write.Key == key })
}

// commit sends a transaction; after any failure the rows tell what is left to do.
func (b *RecordBuffer) commit(ctx context.Context, buffered *ledgerRecords, next *batch) error {
	if err := b.config.Table.Commit(ctx, next.transaction); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sequence := range next.sequences {
		b.remove(buffered, sequence)
	}
	b.removeIfEmpty(buffered)
	return nil
}

func orphanKey(record Record) table.Key {
	return PrefixOrphan + table.Key(record.Request)
}
