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

// Limits of a RecordBuffer.
const (
	// maxRecords is the greatest number of buffered records. When it is reached, the oldest records of a ledger are evicted,
	// which the entry still holds itself.
	maxRecords = 65536
	// evictionBatch is the number of records evicted at once.
	evictionBatch = maxRecords / 16
	// maxOrphanBatch is the greatest number of records that one transaction makes durable.
	maxOrphanBatch = 64
	// recheckFactor is the time, in multiples of OrphanTimeout, after which a ledger's row is read although the link is up.
	recheckFactor = 4
)

// RecordBufferConfig holds the dependencies and settings of a RecordBuffer.
type RecordBufferConfig struct {
	Table       table.Table
	Incarnation ident.Incarnation
	// Interval is the time between two checks for orphaned records.
	Interval time.Duration
	// OrphanTimeout is the time that an entry's links may be down before its records are orphaned, so that the sidecar writes
	// them.
	OrphanTimeout time.Duration
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
}

// RecordBuffer holds the usage records of a sidecar's requests until they are durable.
//
// The entry normally writes the usage. When an entry has been disconnected for OrphanTimeout, the buffer fences the entry's
// ledger, so that only the buffer writes from then on, and writes the records that the ledger had not made durable.
type RecordBuffer struct {
	config RecordBufferConfig
	mu     sync.Mutex
	// The fields below are guarded by mu.

	// linkCounts is the number of links to each entry; disconnectedAt is when the last one ended.
	linkCounts     map[ident.Incarnation]int
	disconnectedAt map[ident.Incarnation]time.Time
	// ledgers holds the records by ledger; ledgers without records are removed.
	ledgers map[ident.Incarnation]*ledgerRecords
	// count is the number of records in all ledgers.
	count int
	// closing makes the records of every disconnected entry count as orphaned at once.
	closing bool
	// batchCount is the number of orphan transactions so far. It is part of their row keys, so that no row is written twice.
	batchCount uint64
}

// ledgerRecords holds the buffered records of one ledger incarnation.
type ledgerRecords struct {
	ledger ident.Incarnation
	// entry is the incarnation of the entry process whose requests the records are for.
	entry   ident.Incarnation
	records map[Sequence]Record
	// fenced is true if the ledger can write nothing more.
	fenced bool
	// checkedAt is when the rows were last read or, before that, when the first record was added.
	checkedAt time.Time
	// nextBatch is the next transaction to commit; nil means that the rows must be read first.
	nextBatch *batch
}

// batch is one transaction that fences a ledger or makes orphaned records durable.
type batch struct {
	sequences   []Sequence
	transaction table.Transaction
}

// NewRecordBuffer returns an empty buffer.
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

// LinkUp records that a link to an entry's process has been established.
func (b *RecordBuffer) LinkUp(entry ident.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.linkCounts[entry]++
	delete(b.disconnectedAt, entry)
}

// LinkDown records that a link to an entry's process has ended.
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

// hasRecords reports whether there are buffered records of an entry.
func (b *RecordBuffer) hasRecords(entry ident.Incarnation) bool {
	for _, buffered := range b.ledgers {
		if buffered.entry == entry {
			return true
		}
	}
	return false
}

// Add buffers a record. It must be called before the end of the response is sent to the entry.
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

// Drop removes the record of a request if the end of its response was never sent to the entry.
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

// evictOldest removes the oldest records of a ledger to make room for new ones.
func (b *RecordBuffer) evictOldest(buffered *ledgerRecords) {
	sequences := slices.Sorted(maps.Keys(buffered.records))
	for _, sequence := range sequences[:min(len(sequences), evictionBatch)] {
		b.remove(buffered, sequence)
	}
}

// Acknowledge removes the records that an entry acknowledged as durable, and notes whether the ledger is fenced.
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

// removeIfEmpty removes a ledger that has no more records.
func (b *RecordBuffer) removeIfEmpty(buffered *ledgerRecords) {
	if len(buffered.records) > 0 {
		return
	}
	delete(b.ledgers, buffered.ledger)
	if !b.hasRecords(buffered.entry) {
		delete(b.disconnectedAt, buffered.entry)
	}
}

// Len returns the number of buffered records.
func (b *RecordBuffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Close makes the records of all disconnected entries durable; it is called at a planned stop.
func (b *RecordBuffer) Close(ctx context.Context) {
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	_ = loop.Drive(ctx, b)
	b.mu.Lock()
	b.closing = false
	b.mu.Unlock()
}

// Run checks for orphaned records and makes them durable until the context is done.
func (b *RecordBuffer) Run(ctx context.Context) { loop.Run(ctx, b, b.config.Interval) }

// Step makes at most one call to the table, for the first ledger that is due; it reports whether one was due.
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

// isOrphaned reports whether an entry has been disconnected for OrphanTimeout, or is disconnected while the buffer closes.
func (b *RecordBuffer) isOrphaned(entry ident.Incarnation, now time.Time) bool {
	since, found := b.disconnectedAt[entry]
	return found && (b.closing || now.Sub(since) >= b.config.OrphanTimeout)
}

// oldestBatch returns the numbers of the oldest records, at most as many as fit into one batch.
func (r *ledgerRecords) oldestBatch() []Sequence {
	sequences := slices.Sorted(maps.Keys(r.records))
	return sequences[:min(len(sequences), maxOrphanBatch)]
}

// applyRows removes the records that the rows show to be durable, and prepares the next transaction if one is needed.
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

// fenceBatch returns the transaction that fences the ledger, after which the ledger can write nothing more.
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

// prepareOrphans returns the transaction that makes orphaned records durable. A row per request ensures that the usage of a
// request is written at most once.
func (b *RecordBuffer) prepareOrphans(
	buffered *ledgerRecords, sequences []Sequence, sealed Sealed, revision table.Revision,
) (*batch, error) {
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

// contains reports whether the batch writes the row, which is so if it contains another attempt of the same request.
func (b *batch) contains(key table.Key) bool {
	return slices.ContainsFunc(b.transaction.Writes, func(write table.Write) bool { return write.Key == key })
}

// commit sends a transaction and removes its records. After a failure the next step reads the rows to see what remains to be
// done.
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
