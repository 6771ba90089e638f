package comparison

import (
	"fmt"
	"testing"
	"time"

	"vanillapond/internal/request/choice"
	"vanillapond/internal/request/order"
	"vanillapond/pkg/ident"
)

// BenchmarkDecision measures the queueing and placement decisions on one request. It is run by the command
// go test -bench Decision ./internal/request/comparison.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{43, 430, 4300} {
		for _, endpoints := range []int{50, 500} {
			b.Run(fmt.Sprintf("customers=%d/endpoints=%d", customers, endpoints), func(b *testing.B) {
				benchmarkDecision(b, customers, endpoints)
			})
		}
	}
}

// benchmarkDecision keeps one request of each customer waiting, the worst case for the queue.
func benchmarkDecision(b *testing.B, customers, endpoints int) {
	now := time.Unix(0, 0)
	queue := order.New(order.Config{Slots: 1, SharedCapacity: customers + 1})
	names := make([]ident.Customer, customers)
	item := func(number int) *order.Item {
		return &order.Item{
			Customer: names[number%customers], Class: "chat", Tier: 2, Weight: 1, FloorPercent: 10, StartBy: now.Add(1000 * time.Hour), Cost: 100,
		}
	}
	for number := range customers {
		names[number] = ident.Customer(fmt.Sprintf("c%d", number))
		queue.Enqueue(now, item(number))
	}
	var running *order.Item
	for _, decision := range queue.Schedule(now) {
		running = decision.Item
	}
	var members []choice.Member
	for number := range endpoints {
		members = append(members, choice.Member{
			ID: ident.Endpoint(fmt.Sprintf("llm-%d", number)), Domain: ident.FailureDomain(fmt.Sprintf("d%d", number%14)),
		})
	}
	picker := choice.New(choice.Config{Entry: "entry-1", Seed: 1})
	picker.Update(members)
	sequence := uint64(0)
	view := func(ident.Endpoint) (choice.LoadReport, bool) {
		return choice.LoadReport{Sequence: sequence, Busy: 3, Capacity: 8}, true
	}
	number := 0
	for b.Loop() {
		number++
		sequence++
		now = now.Add(time.Millisecond)
		attempt := picker.Pick(now, choice.Query{Class: "chat", Prefix: uint64(number), Streamed: true}, view)
		picker.Accepted(now, attempt)
		queue.Enqueue(now, item(number))
		queue.Finish(now, running, 120)
		for _, decision := range queue.Schedule(now) {
			running = decision.Item
		}
		picker.ResponseStarted(now, attempt)
		picker.End(now, attempt, choice.Succeeded)
	}
}
