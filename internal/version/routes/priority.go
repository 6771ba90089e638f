package routes

import (
	"cmp"
	"slices"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Priority is the priority of a request at its service: 0 is first.
type Priority int

// tierPair holds the tiers that determine a priority: the customer's takes precedence over the route's.
type tierPair struct{ customer, route ident.Tier }

// priorities holds all pairs of tiers that occur in a version, sorted by priority.
type priorities struct {
	order []tierPair
	// defaultTier is the tier of customers without one: the lowest-priority (numerically greatest) tier of any customer.
	defaultTier ident.Tier
}

func newPriorities(configuration platform.Configuration) priorities {
	var p priorities
	for _, customer := range configuration.Customers {
		if customer.Tier != nil {
			p.defaultTier = max(p.defaultTier, *customer.Tier)
		}
	}
	for _, route := range configuration.Routes {
		p.order = append(p.order, tierPair{p.defaultTier, route.Tier})
		for _, customer := range configuration.Customers {
			p.order = append(p.order, tierPair{p.tier(&customer), route.Tier})
		}
	}
	compare := func(a, b tierPair) int {
		return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
	}
	slices.SortFunc(p.order, compare)
	p.order = slices.Compact(p.order)
	return p
}

func (p priorities) tier(customer *platform.Customer) ident.Tier {
	if customer == nil || customer.Tier == nil {
		return p.defaultTier
	}
	return *customer.Tier
}

// Priorities returns the number of priorities that occur in the version.
func (t *Table) Priorities() int { return len(t.priorities.order) }

// Priority returns the index of a request's tiers among all that occur in the version. The customer's tier takes
// precedence over the route's.
func (t *Table) Priority(route *platform.Route, customer *platform.Customer) Priority {
	return Priority(max(slices.Index(t.priorities.order, tierPair{t.priorities.tier(customer), route.Tier}), 0))
}
