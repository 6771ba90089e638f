package configuration

import (
	"net"
	"strings"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// TierCount is the number of service tiers.
const TierCount = 5

// maxPercent is the maximum sum of the floors in a pool, in percent.
const maxPercent = 100

// Validate returns an error that names the first invalid field, or nil.
func (c Configuration) Validate() error {
	v := validator{configuration: c}
	for _, step := range []func() error{
		v.billing, v.partners, v.customers, v.pools, v.classes, v.keys, v.endpoints,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// validator holds the ids seen so far, against which references in later lists are checked.
type validator struct {
	configuration Configuration
	partnerSeen   map[ident.Partner]bool
	customerSeen  map[ident.Customer]bool
	poolSeen      map[ident.Pool]Pool
	classSeen     map[ident.Class]bool
}

func (c *validator) billing() error {
	if c.configuration.Billing.WindowSeconds < 1 {
		return oops.Errorf("billing.window_seconds: found %d, want at least 1", c.configuration.Billing.WindowSeconds)
	}
	return nil
}

func (c *validator) partners() error {
	c.partnerSeen = make(map[ident.Partner]bool)
	operators := make(map[ident.KeyDigest]bool)
	for _, partner := range c.configuration.Partners {
		field := "partners/" + string(partner.ID)
		if err := unique(field, partner.ID, c.partnerSeen); err != nil {
			return err
		}
		for _, digest := range partner.Operators {
			if err := digest.Check(); err != nil {
				return oops.Wrapf(err, "%s.operators", field)
			}
			if operators[digest] {
				return oops.Errorf("%s.operators: found one digest twice, want each at one partner", field)
			}
			operators[digest] = true
		}
	}
	return nil
}

func (c *validator) customers() error {
	c.customerSeen = make(map[ident.Customer]bool)
	for _, customer := range c.configuration.Customers {
		field := "customers/" + string(customer.ID)
		if err := unique(field, customer.ID, c.customerSeen); err != nil {
			return err
		}
		if !c.partnerSeen[customer.Partner] {
			return oops.Errorf("%s.partner: found %q, want a listed partner", field, customer.Partner)
		}
		if customer.Weight < 1 {
			return oops.Errorf("%s.weight: found %d, want at least 1", field, customer.Weight)
		}
		limits := customer.Limits
		if limits.Concurrency < 0 || limits.RequestsPerSecond < 0 || limits.TokensPerWindow < 0 {
			return oops.Errorf("%s.limits: found a negative limit, want 0 or more", field)
		}
	}
	return nil
}

func (c *validator) pools() error {
	c.poolSeen = make(map[ident.Pool]Pool)
	for _, pool := range c.configuration.Pools {
		field := "pools/" + string(pool.ID)
		if err := ident.Check(field+".id", pool.ID); err != nil {
			return err
		}
		if _, found := c.poolSeen[pool.ID]; found {
			return oops.Errorf("%s.id: found %q twice, want each id once", field, pool.ID)
		}
		c.poolSeen[pool.ID] = pool
		if pool.Kind != KindEngine && pool.Kind != KindService {
			return oops.Errorf("%s.kind: found %q, want %q or %q", field, pool.Kind, KindEngine, KindService)
		}
		if pool.Concurrency < 1 {
			return oops.Errorf("%s.concurrency: found %d, want at least 1", field, pool.Concurrency)
		}
		if pool.MinPerDomain < 0 || pool.MaxPerDomain < pool.MinPerDomain {
			return oops.Errorf("%s.max_per_domain: found %d, want at least min_per_domain %d", field, pool.MaxPerDomain, pool.MinPerDomain)
		}
	}
	return nil
}

func (c *validator) classes() error {
	c.classSeen = make(map[ident.Class]bool)
	floors := make(map[ident.Pool]int)
	for _, class := range c.configuration.Classes {
		field := "classes/" + string(class.ID)
		if err := unique(field, class.ID, c.classSeen); err != nil {
			return err
		}
		if err := c.class(field, class); err != nil {
			return err
		}
		floors[class.Pool] += class.FloorPercent
		if floors[class.Pool] > maxPercent {
			return oops.Errorf("%s.floor_percent: found a sum of %d in pool %q, want at most %d", field, floors[class.Pool], class.Pool, maxPercent)
		}
	}
	return nil
}

func (c *validator) class(field string, class Class) error {
	pool, found := c.poolSeen[class.Pool]
	if !found {
		return oops.Errorf("%s.pool: found %q, want a listed pool", field, class.Pool)
	}
	if class.Tier < 0 || class.Tier >= TierCount {
		return oops.Errorf("%s.tier: found %d, want 0 to %d", field, class.Tier, TierCount-1)
	}
	if class.FirstTokenMS < 1 {
		return oops.Errorf("%s.first_token_ms: found %d, want at least 1", field, class.FirstTokenMS)
	}
	if class.DeadlineMS < class.FirstTokenMS {
		return oops.Errorf("%s.deadline_ms: found %d, want at least first_token_ms %d", field, class.DeadlineMS, class.FirstTokenMS)
	}
	if class.BetweenTokensMS < 0 {
		return oops.Errorf("%s.between_tokens_ms: found %d, want 0 or more", field, class.BetweenTokensMS)
	}
	if class.FloorPercent < 0 || class.FloorPercent > maxPercent {
		return oops.Errorf("%s.floor_percent: found %d, want 0 to %d", field, class.FloorPercent, maxPercent)
	}
	if pool.Kind == KindService && len(class.Routes) == 0 {
		return oops.Errorf("%s.routes: found none, want at least one for a service pool", field)
	}
	for _, route := range class.Routes {
		if !strings.HasPrefix(route, "/") {
			return oops.Errorf("%s.routes: found %q, want a path that starts with '/'", field, route)
		}
	}
	return nil
}

func (c *validator) keys() error {
	seen := make(map[ident.KeyDigest]bool)
	for _, key := range c.configuration.Keys {
		field := "keys/" + string(key.Digest)
		if err := key.Digest.Check(); err != nil {
			return oops.Wrapf(err, "%s", field)
		}
		if seen[key.Digest] {
			return oops.Errorf("%s.digest: found one digest twice, want each once", field)
		}
		seen[key.Digest] = true
		if !c.customerSeen[key.Customer] {
			return oops.Errorf("%s.customer: found %q, want a listed customer", field, key.Customer)
		}
		if len(key.Classes) == 0 {
			return oops.Errorf("%s.classes: found none, want at least one", field)
		}
		for _, class := range key.Classes {
			if !c.classSeen[class] {
				return oops.Errorf("%s.classes: found %q, want a listed class", field, class)
			}
		}
	}
	return nil
}

func (c *validator) endpoints() error {
	seen := make(map[ident.Endpoint]bool)
	for _, endpoint := range c.configuration.Endpoints {
		field := "endpoints/" + string(endpoint.ID)
		if err := unique(field, endpoint.ID, seen); err != nil {
			return err
		}
		if _, found := c.poolSeen[endpoint.Pool]; !found {
			return oops.Errorf("%s.pool: found %q, want a listed pool", field, endpoint.Pool)
		}
		if err := ident.Check(field+".domain", endpoint.Domain); err != nil {
			return err
		}
		if _, _, err := net.SplitHostPort(endpoint.Sidecar); err != nil {
			return oops.Errorf("%s.sidecar: found %q, want host:port", field, endpoint.Sidecar)
		}
	}
	return nil
}

// unique returns an error if an id is malformed or was seen before, and records it otherwise.
func unique[T ~string](field string, id T, seen map[T]bool) error {
	if err := ident.Check(field+".id", id); err != nil {
		return err
	}
	if seen[id] {
		return oops.Errorf("%s.id: found %q twice, want each id once", field, string(id))
	}
	seen[id] = true
	return nil
}
