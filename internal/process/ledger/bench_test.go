package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// letterCustomers is the number of customers at the letter's size.
const letterCustomers = 4300

// BenchmarkFlush measures a flush of all customers and the size of its rows.
func BenchmarkFlush(b *testing.B) {
	var rows *table.Memory
	for b.Loop() {
		rows = table.NewMemory()
		flushAll(b, rows)
	}
	written, _ := rows.Scan(b.Context(), "usage/", "", 1000)
	var size int
	for _, row := range written {
		size += len(row.Value)
	}
	b.ReportMetric(float64(size)/letterCustomers, "bytes/customer")
}

func flushAll(b *testing.B, rows table.Table) {
	ledger := New(Config{Table: rows, Incarnation: "01m8z1ttves82dm930phmzp7gz", WindowLength: func() int64 { return 3600 }})
	for number := range letterCustomers {
		ledger.BeginAttempt("vzorovna").RecordUsage(
			ident.Customer(fmt.Sprintf("customer-%d", number)), Usage{Requests: 1, Prompt: 1000, Completion: 400})
	}
	for more := true; more; {
		more, _ = ledger.Step(b.Context())
	}
}

// BenchmarkRecordBuffer measures the memory of a sidecar's copies.
func BenchmarkRecordBuffer(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	copies := NewRecordBuffer(RecordBufferConfig{OrphanTimeout: time.Minute})
	count := 0
	for b.Loop() {
		count++
		copies.Add("e", Record{
			Tag:     AttemptTag{Ledger: "01m8z1ttves82dm930phmzp7gz.1", Sequence: Sequence(count), Partner: "vzorovna"},
			Request: ident.Request(fmt.Sprintf("01m8z1ttves82dm930ph%06d", count)), Customer: "customer", Usage: Usage{Requests: 1},
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(copies.Len()), "bytes/record")
}
