package configuration

import (
	"cmp"
	"slices"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Patch is a change of the configuration that is applied completely or not at all.
type Patch struct {
	// ID makes the patch idempotent: a patch with the same id is not applied again.
	ID ident.Patch `json:"id" yaml:"id"`
	// Base is the version that the patch was made for.
	Base ident.Version `json:"base" yaml:"base"`
	// Billing replaces the billing rules unless it is nil.
	Billing *Billing `json:"billing,omitempty" yaml:"billing,omitempty"`
	Set     Entities `json:"set"               yaml:"set"`
	Remove  Removals `json:"remove"            yaml:"remove"`
}

// Entities are the entities that a patch adds, or replaces if the id exists.
type Entities struct {
	Partners  []Partner  `json:"partners,omitempty"  yaml:"partners,omitempty"`
	Customers []Customer `json:"customers,omitempty" yaml:"customers,omitempty"`
	Keys      []Key      `json:"keys,omitempty"      yaml:"keys,omitempty"`
	Classes   []Class    `json:"classes,omitempty"   yaml:"classes,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"     yaml:"pools,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty" yaml:"endpoints,omitempty"`
}

// Removals are the ids of the entities that a patch removes. An id that does not exist is an error.
type Removals struct {
	Partners  []ident.Partner   `json:"partners,omitempty"  yaml:"partners,omitempty"`
	Customers []ident.Customer  `json:"customers,omitempty" yaml:"customers,omitempty"`
	Keys      []ident.KeyDigest `json:"keys,omitempty"      yaml:"keys,omitempty"`
	Classes   []ident.Class     `json:"classes,omitempty"   yaml:"classes,omitempty"`
	Pools     []ident.Pool      `json:"pools,omitempty"     yaml:"pools,omitempty"`
	Endpoints []ident.Endpoint  `json:"endpoints,omitempty" yaml:"endpoints,omitempty"`
}

// Apply returns the version that results from the patch; c is not modified.
//
// It returns a StaleError if the base of the patch is not the version of c, and an error if Validate fails for the result.
func (c Configuration) Apply(patch Patch) (Configuration, error) {
	if patch.Base != c.Version {
		return Configuration{}, &StaleError{Base: patch.Base, Current: c.Version}
	}
	next, err := c.Replay(patch)
	if err != nil {
		return Configuration{}, err
	}
	if err := next.Validate(); err != nil {
		return Configuration{}, err
	}
	return next, nil
}

// Replay returns the version that results from a patch which was accepted earlier; c is not modified.
//
// It does not validate the result: the patch was validated when it was accepted, possibly by a build with other rules.
func (c Configuration) Replay(patch Patch) (Configuration, error) {
	next := c
	next.Version = c.Version + 1
	if patch.Billing != nil {
		next.Billing = *patch.Billing
	}
	err := cmp.Or(
		merge(&next.Partners, "partners", patch.Set.Partners, patch.Remove.Partners, partnerID),
		merge(&next.Customers, "customers", patch.Set.Customers, patch.Remove.Customers, customerID),
		merge(&next.Keys, "keys", patch.Set.Keys, patch.Remove.Keys, keyID),
		merge(&next.Classes, "classes", patch.Set.Classes, patch.Remove.Classes, classID),
		merge(&next.Pools, "pools", patch.Set.Pools, patch.Remove.Pools, poolID),
		merge(&next.Endpoints, "endpoints", patch.Set.Endpoints, patch.Remove.Endpoints, endpointID),
	)
	return next, err
}

func partnerID(p Partner) ident.Partner    { return p.ID }
func customerID(c Customer) ident.Customer { return c.ID }
func keyID(k Key) ident.KeyDigest          { return k.Digest }
func classID(c Class) ident.Class          { return c.ID }
func poolID(p Pool) ident.Pool             { return p.ID }
func endpointID(e Endpoint) ident.Endpoint { return e.ID }

// merge replaces list by a copy without the items in remove and with the items in set.
func merge[T any, K cmp.Ordered](list *[]T, field string, set []T, remove []K, id func(T) K) error {
	if len(set) == 0 && len(remove) == 0 {
		return nil
	}
	next := slices.Clone(*list)
	compare := func(item T, key K) int { return cmp.Compare(id(item), key) }
	for _, key := range remove {
		index, found := slices.BinarySearchFunc(next, key, compare)
		if !found {
			return oops.Errorf("remove.%s: found %v, want an id that exists", field, key)
		}
		next = slices.Delete(next, index, index+1)
	}
	for _, item := range set {
		index, found := slices.BinarySearchFunc(next, id(item), compare)
		if found {
			next[index] = item
			continue
		}
		next = slices.Insert(next, index, item)
	}
	*list = next
	return nil
}
