package routes_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

func tier(t ident.Tier) *ident.Tier { return &t }

// TestMatch checks that the route with the longest matching prefix of the host is selected.
func TestMatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	table := routes.New(platform.Configuration{Version: 1, Routes: []platform.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}})
	for _, c := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/", ""},
		{"b.example", "/x/", "other"},
		{"c.example", "/x/", ""},
	} {
		name := ""
		if route := table.Match(c.host, c.path); route != nil {
			name = route.Name
		}
		is.Equal(name, c.route)
	}
}

// TestPriority checks that customers' tiers take precedence over routes' tiers: a request of the first route and a
// lower-priority customer comes after all requests of a higher-priority customer.
func TestPriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	configuration := platform.Configuration{
		Version: 1,
		Routes:  []platform.Route{{Name: "live", Tier: 0}, {Name: "draft", Tier: 1}, {Name: "review", Tier: 2}},
		Customers: []platform.Customer{
			{Name: "first", Tier: tier(0)}, {Name: "second", Tier: tier(1)}, {Name: "unranked"},
		},
	}
	table := routes.New(configuration)
	var got []routes.Priority
	for customer := range configuration.Customers {
		for route := range configuration.Routes {
			got = append(got, table.Priority(&configuration.Routes[route], &configuration.Customers[customer]))
		}
	}
	is.Equal(got, []routes.Priority{0, 1, 2, 3, 4, 5, 3, 4, 5})
}

// TestPick checks that the requests of a split route are distributed by weight.
func TestPick(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	split := &platform.Route{Split: []platform.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	drawn := map[ident.Pool]int{}
	for range 2000 {
		drawn[routes.Pick(split)]++
	}
	is.True(drawn["a"] > 1600 && drawn["b"] > 50 && drawn["c"] == 0)
	is.Equal(routes.Pick(&platform.Route{Service: "d"}), ident.Pool("d"))
	// A split from which all weight is taken does not send requests to a service that it does not name.
	is.Equal(routes.Pick(&platform.Route{Service: "d", Split: []platform.WeightedService{{Service: "a"}, {Service: "b"}}}), ident.Pool(""))
}

// TestCurrent checks that the version never decreases, and that a state of the store confirms it only if it is not older
// than the last one.
func TestCurrent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var current routes.Current
	is.True(current.Age(0) > time.Hour)
	current.Confirm(clock.Reading(time.Second), 5) // No version to confirm yet.
	is.True(current.Age(0) > time.Hour)
	is.True(current.Advance(platform.Configuration{Version: 7}))
	is.True(!current.Advance(platform.Configuration{Version: 7}))
	is.True(!current.Advance(platform.Configuration{Version: 6}))
	is.Equal(current.Version(), ident.Version(7))
	current.Confirm(clock.Reading(10*time.Second), 5)
	is.Equal(current.Age(clock.Reading(12*time.Second)), 2*time.Second)
	current.Confirm(clock.Reading(11*time.Second), 4) // An older state of the store.
	current.Confirm(clock.Reading(9*time.Second), 6)  // Confirms an earlier time than the last one.
	is.Equal(current.Age(clock.Reading(12*time.Second)), 2*time.Second)
}
