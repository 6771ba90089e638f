package load_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/load"
	"vanillapond/pkg/api"
)

func TestArrivals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load.Plan{
		Seconds: 60, Model: "m",
		Classes: []load.Class{
			{ID: "chat", PerSecond: 10, MeanOutputTokens: 50, FirstTokenMS: 100},
			{ID: "drafting", PerSecond: 5, BurstPerSecond: 50, BurstFrom: 20, BurstTo: 40, MeanOutputTokens: 300, FirstTokenMS: 100},
		},
		Customers: []load.Customer{{Name: "large", Weight: 9}, {Name: "small", Weight: 1}},
	}
	is.NoErr(plan.Check())
	first, second := plan.Arrivals(3), plan.Arrivals(3)
	is.Equal(first, second)
	burst, large := 0, 0
	for _, arrival := range first {
		if arrival.Class.ID == "drafting" && arrival.At >= 20*time.Second && arrival.At < 40*time.Second {
			burst++
		}
		if arrival.Customer.Name == "large" {
			large++
		}
	}
	is.True(burst > 900 && burst < 1100)
	is.True(float64(large) > 0.85*float64(len(first)))
}

func TestSummarize(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	arrival := func(customer string) load.Arrival {
		return load.Arrival{Class: load.Class{ID: "chat", FirstTokenMS: 100}, Customer: load.Customer{Name: customer}}
	}
	report := load.Summarize([]load.Sample{
		{Arrival: arrival("a"), TimeToFirstToken: 50 * time.Millisecond, TimeToCompletion: time.Second, Tokens: 30},
		{Arrival: arrival("a"), TimeToFirstToken: 200 * time.Millisecond, TimeToCompletion: time.Second, Tokens: 10},
		{Arrival: arrival("b"), TimeToFirstToken: 50 * time.Millisecond, TimeToCompletion: time.Second, Tokens: 20},
		{Arrival: arrival("b"), RefusalCode: api.CodeOverloaded, NotRun: true},
		{Arrival: arrival("c")},
	}, 1, 10)
	is.Equal(len(report.Classes), 1)
	class := report.Classes[0]
	is.Equal(class.Sent, 5)
	is.Equal(class.MetTarget, 2)
	is.Equal(class.Refused[api.CodeOverloaded], 1)
	is.Equal(class.Incomplete, 1)
	is.Equal(report.Goodput, 5.0)
	is.Equal(report.WorstCustomer, "c")
	is.True(report.WastedFraction > 0.16 && report.WastedFraction < 0.17)
}
