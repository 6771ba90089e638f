// Package routes looks up the route of a request and the customer of a key in one version of the operator's
// configuration.
package routes

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Table is one configuration version, indexed for lookups; it is immutable.
type Table struct {
	version ident.Version
	limits  platform.Limits
	// hosts holds the routes by lower-case host, those with the longest path prefix first.
	hosts map[string][]*platform.Route
	// customers holds the customers by valid key. It says nothing of whether requests need one: the last key may have been withdrawn.
	customers map[string]*platform.Customer
	// needsKeys is set if requests need a key, but those of routes that are exempt.
	needsKeys bool
	// withdrawn holds keys that earlier versions had and this one has not, at most maxWithdrawals.
	withdrawn  map[KeyDigest]Withdrawal
	services   map[ident.Pool]*platform.Service
	priorities priorities
	// longestTimeout is the longest timeout of a route.
	longestTimeout time.Duration
	loadAwareness  loadAwareness
}

// New returns the table of a configuration version.
func New(configuration platform.Configuration) *Table {
	t := &Table{
		version: configuration.Version, limits: configuration.Limits, needsKeys: configuration.Customers != nil,
		hosts:     make(map[string][]*platform.Route),
		customers: make(map[string]*platform.Customer),
		services:  make(map[ident.Pool]*platform.Service, len(configuration.Services)),
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
		t.longestTimeout = max(t.longestTimeout, route.Timeout.Duration())
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *platform.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for index := range configuration.Services {
		t.services[configuration.Services[index].Name] = &configuration.Services[index]
	}
	for index := range configuration.Customers {
		customer := &configuration.Customers[index]
		for _, key := range customer.Keys {
			// A request without a key has the empty one.
			if key != "" {
				t.customers[key] = customer
			}
		}
	}
	t.priorities = newPriorities(configuration)
	t.loadAwareness = newLoadAwareness(configuration)
	return t
}

// Version returns the version number.
func (t *Table) Version() ident.Version { return t.version }

// LongestTimeout returns the longest timeout of a route.
func (t *Table) LongestTimeout() time.Duration { return t.longestTimeout }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() platform.Limits { return t.limits }

// Service returns the configuration of a service, or nil.
func (t *Table) Service(name ident.Pool) *platform.Service { return t.services[name] }

// Services returns the names of all services, sorted.
func (t *Table) Services() []ident.Pool {
	names := make([]ident.Pool, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Match returns the route of the host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *platform.Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(route *platform.Route) bool {
	return t.needsKeys && !route.AuthExempt
}

// Customer returns the customer that a key belongs to, or nil.
func (t *Table) Customer(key string) *platform.Customer { return t.customers[key] }

// Pick returns the service for one request of a route, at random by weight if the route is split; it is empty if no service has a weight.
func Pick(route *platform.Route) ident.Pool {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, weighted := range route.Split {
		total += max(weighted.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	drawn := rand.Float64() * total //nolint:gosec // Only distributes load.
	for _, weighted := range route.Split {
		if drawn -= max(weighted.Weight, 0); drawn < 0 {
			return weighted.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}
