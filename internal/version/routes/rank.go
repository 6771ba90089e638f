package routes

import (
	"cmp"
	"slices"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Priority orders requests at a service: 0 is first.
type Priority int

// rank is a customer's tier, which goes first, and a route's.
type rank struct{ customer, route ident.Tier }

// ranks are all that occur in a version, in order.
type ranks struct {
	order []rank
	// unranked is the tier of customers that have none: that of no other customer's goes before it.
	unranked ident.Tier
}

func newRanks(configuration platform.Configuration) ranks {
	var r ranks
	for _, customer := range configuration.Customers {
		if customer.Tier != nil {
			r.unranked = max(r.unranked, *customer.Tier)
		}
	}
	for _, route := range configuration.Routes {
		r.order = append(r.order, rank{r.unranked, route.Tier})
		for _, customer := range configuration.Customers {
			r.order = append(r.order, rank{r.tier(&customer), route.Tier})
		}
	}
	compare := func(a, b rank) int { return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route)) }
	slices.SortFunc(r.order, compare)
	r.order = slices.Compact(r.order)
	return r
}

func (r ranks) tier(customer *platform.Customer) ident.Tier {
	if customer == nil || customer.Tier == nil {
		return r.unranked
	}
	return *customer.Tier
}

// Priority returns the place of a request among all that the version tells apart; a customer's tier goes before the route's.
func (t *Table) Priority(route *platform.Route, customer *platform.Customer) Priority {
	return Priority(max(slices.Index(t.ranks.order, rank{t.ranks.tier(customer), route.Tier}), 0))
}
