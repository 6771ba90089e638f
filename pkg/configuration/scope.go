package configuration

import (
	"slices"
	"strings"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// VisibleTo returns what a partner's operators may see: their customers and keys, the classes and the billing rules.
func (c Configuration) VisibleTo(partner ident.Partner) Configuration {
	part := Configuration{Version: c.Version, Billing: c.Billing, Classes: c.Classes}
	own := c.customersOf(partner)
	for _, listed := range c.Partners {
		if listed.ID == partner {
			part.Partners = append(part.Partners, listed)
		}
	}
	for _, customer := range c.Customers {
		if own[customer.ID] {
			part.Customers = append(part.Customers, customer)
		}
	}
	for _, key := range c.Keys {
		if own[key.Customer] {
			part.Keys = append(part.Keys, key)
		}
	}
	return part
}

func (c Configuration) customersOf(partner ident.Partner) map[ident.Customer]bool {
	own := make(map[ident.Customer]bool)
	for _, customer := range c.Customers {
		if customer.Partner == partner {
			own[customer.ID] = true
		}
	}
	return own
}

// Authorize returns an error unless a partner's operators may change c by the patch: only their own customers and keys.
func (c Configuration) Authorize(partner ident.Partner, patch Patch) error {
	if field := patch.shared(); field != "" {
		return oops.Errorf("%s: found a change, want none without the root credential", field)
	}
	own := c.customersOf(partner)
	foreign := func(id ident.Customer) bool {
		_, found := slices.BinarySearchFunc(c.Customers, id, func(item Customer, id ident.Customer) int {
			return strings.Compare(string(item.ID), string(id))
		})
		return found && !own[id]
	}
	for _, customer := range patch.Set.Customers {
		if customer.Partner != partner || foreign(customer.ID) {
			return oops.Errorf("set.customers: found %s of another partner, want customers of %s", customer.ID, partner)
		}
	}
	for _, id := range patch.Remove.Customers {
		if !own[id] {
			return oops.Errorf("remove.customers: found %s, want customers of %s", id, partner)
		}
	}
	for _, customer := range patch.Set.Customers {
		own[customer.ID] = true
	}
	return c.permitKeys(partner, own, patch)
}

func (c Configuration) permitKeys(partner ident.Partner, own map[ident.Customer]bool, patch Patch) error {
	holder := make(map[ident.KeyDigest]ident.Customer, len(c.Keys))
	for _, key := range c.Keys {
		holder[key.Digest] = key.Customer
	}
	for _, key := range patch.Set.Keys {
		customer, found := holder[key.Digest]
		if !own[key.Customer] || (found && !own[customer]) {
			return oops.Errorf("set.keys: found a key of customer %s, want keys of customers of %s", key.Customer, partner)
		}
	}
	for _, digest := range patch.Remove.Keys {
		if customer := holder[digest]; !own[customer] {
			return oops.Errorf("remove.keys: found %s, want keys of customers of %s", digest, partner)
		}
	}
	return nil
}

// shared returns the first field of the patch that concerns more than one partner, or nothing.
func (p Patch) shared() string {
	for _, part := range []struct {
		field   string
		changes int
	}{
		{"set.partners", len(p.Set.Partners)},
		{"set.classes", len(p.Set.Classes)},
		{"set.pools", len(p.Set.Pools)},
		{"set.endpoints", len(p.Set.Endpoints)},
		{"remove.partners", len(p.Remove.Partners)},
		{"remove.classes", len(p.Remove.Classes)},
		{"remove.pools", len(p.Remove.Pools)},
		{"remove.endpoints", len(p.Remove.Endpoints)},
	} {
		if part.changes > 0 {
			return part.field
		}
	}
	if p.Billing != nil {
		return "billing"
	}
	return ""
}

// VisibleIn returns the change as a part's operators may see it.
//
// What others changed is cut down to the part's own customers, keys and classes.
func (c Change) VisibleIn(part Configuration) Change {
	for _, partner := range part.Partners {
		if slices.Contains(partner.Operators, c.Operator) {
			return c
		}
	}
	whole := Patch{Set: Entities{Customers: part.Customers, Keys: part.Keys, Classes: part.Classes}}
	own := whole.Touched()
	visible := Change{Version: c.Version, Patch: c.Patch}
	for _, name := range c.Touched {
		if slices.Contains(own, name) {
			visible.Touched = append(visible.Touched, name)
		}
	}
	return visible
}
