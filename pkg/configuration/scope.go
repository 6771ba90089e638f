package configuration

import (
	"slices"
	"strings"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// VisibleTo returns the view of a partner's operators: the partner with its customers and keys, the classes and the billing rules.
func (c Configuration) VisibleTo(partner ident.Partner) Configuration {
	view := Configuration{Version: c.Version, Billing: c.Billing, Classes: c.Classes}
	owned := c.customersOf(partner)
	for _, listed := range c.Partners {
		if listed.ID == partner {
			view.Partners = append(view.Partners, listed)
		}
	}
	for _, customer := range c.Customers {
		if owned[customer.ID] {
			view.Customers = append(view.Customers, customer)
		}
	}
	for _, key := range c.Keys {
		if owned[key.Customer] {
			view.Keys = append(view.Keys, key)
		}
	}
	return view
}

func (c Configuration) customersOf(partner ident.Partner) map[ident.Customer]bool {
	owned := make(map[ident.Customer]bool)
	for _, customer := range c.Customers {
		if customer.Partner == partner {
			owned[customer.ID] = true
		}
	}
	return owned
}

// Authorize returns an error unless a partner's operators may apply the patch to c. They may change only customers and keys of
// the partner.
func (c Configuration) Authorize(partner ident.Partner, patch Patch) error {
	if field := patch.sharedField(); field != "" {
		return oops.Errorf("%s: found a change, want none without the root credential", field)
	}
	owned := c.customersOf(partner)
	belongsToOther := func(id ident.Customer) bool {
		_, found := slices.BinarySearchFunc(c.Customers, id, func(item Customer, id ident.Customer) int {
			return strings.Compare(string(item.ID), string(id))
		})
		return found && !owned[id]
	}
	for _, customer := range patch.Set.Customers {
		if customer.Partner != partner || belongsToOther(customer.ID) {
			return oops.Errorf("set.customers: found %s of another partner, want customers of %s", customer.ID, partner)
		}
	}
	for _, id := range patch.Remove.Customers {
		if !owned[id] {
			return oops.Errorf("remove.customers: found %s, want customers of %s", id, partner)
		}
	}
	for _, customer := range patch.Set.Customers {
		owned[customer.ID] = true
	}
	return c.authorizeKeys(partner, owned, patch)
}

func (c Configuration) authorizeKeys(partner ident.Partner, owned map[ident.Customer]bool, patch Patch) error {
	customerOf := make(map[ident.KeyDigest]ident.Customer, len(c.Keys))
	for _, key := range c.Keys {
		customerOf[key.Digest] = key.Customer
	}
	for _, key := range patch.Set.Keys {
		customer, found := customerOf[key.Digest]
		if !owned[key.Customer] || (found && !owned[customer]) {
			return oops.Errorf("set.keys: found a key of customer %s, want keys of customers of %s", key.Customer, partner)
		}
	}
	for _, digest := range patch.Remove.Keys {
		if customer := customerOf[digest]; !owned[customer] {
			return oops.Errorf("remove.keys: found %s, want keys of customers of %s", digest, partner)
		}
	}
	return nil
}

// sharedField returns the first field of the patch that affects more than one partner, or an empty string.
func (p Patch) sharedField() string {
	for _, section := range []struct {
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
		if section.changes > 0 {
			return section.field
		}
	}
	if p.Billing != nil {
		return "billing"
	}
	return ""
}

// VisibleIn returns the change as the operators with this view may see it.
//
// A change by the view's own operators is returned in full. A change by others is restricted to customers, keys and classes in the
// view.
func (c Change) VisibleIn(view Configuration) Change {
	for _, partner := range view.Partners {
		if slices.Contains(partner.Operators, c.Operator) {
			return c
		}
	}
	viewPatch := Patch{Set: Entities{Customers: view.Customers, Keys: view.Keys, Classes: view.Classes}}
	visibleNames := viewPatch.Touched()
	visible := Change{Version: c.Version, Patch: c.Patch}
	for _, name := range c.Touched {
		if slices.Contains(visibleNames, name) {
			visible.Touched = append(visible.Touched, name)
		}
	}
	return visible
}
