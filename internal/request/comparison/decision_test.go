package comparison

import (
	"fmt"
	"testing"
	"time"

	"vanillapond/internal/request/choice"
	"vanillapond/internal/request/order"
	"vanillapond/pkg/ident"
)

// BenchmarkDecision times admission, order and choice of one request: go test -bench Decision ./internal/request/comparison.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{43, 430, 4300} {
		for _, endpoints := range []int{50, 500} {
			b.Run(fmt.Sprintf("customers=%d/endpoints=%d", customers, endpoints), func(b *testing.B) { decide(b, customers, endpoints) })
		}
	}
}

// decide keeps one request of each customer waiting, the worst case for the order.
func decide(b *testing.B, customers, endpoints int) {
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
	for _, verdict := range queue.Schedule(now) {
		running = verdict.Item
	}
	var members []choice.Member
	for number := range endpoints {
		members = append(members, choice.Member{
			ID: ident.Endpoint(fmt.Sprintf("llm-%d", number)), Domain: ident.FailureDomain(fmt.Sprintf("d%d", number%14)),
		})
	}
	chooser := choice.New(choice.Config{Entry: "entry-1", Seed: 1})
	chooser.Update(members)
	sequence := uint64(0)
	view := func(ident.Endpoint) (choice.LoadReport, bool) {
		return choice.LoadReport{Sequence: sequence, Busy: 3, Capacity: 8}, true
	}
	number := 0
	for b.Loop() {
		number++
		sequence++
		now = now.Add(time.Millisecond)
		attempt := chooser.Pick(now, choice.Query{Class: "chat", Prefix: uint64(number), Streamed: true}, view)
		chooser.Accepted(now, attempt)
		queue.Enqueue(now, item(number))
		queue.Finish(now, running, 120)
		for _, verdict := range queue.Schedule(now) {
			running = verdict.Item
		}
		chooser.ResponseStarted(now, attempt)
		chooser.End(now, attempt, choice.Succeeded)
	}
}
