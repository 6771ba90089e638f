// Package routes finds the route of a request and the customer of a key in one version of the operator's configuration.
package routes

import (
	"math/rand/v2"
	"slices"
	"strings"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Table is one version, ready for look-ups; it is never changed.
type Table struct {
	version ident.Version
	limits  platform.Limits
	// hosts holds the routes of each host in lower case, the longest prefix first.
	hosts map[string][]*platform.Route
	// customers is empty where no request needs a key.
	customers map[string]*platform.Customer
	services  map[ident.Pool]*platform.Service
	ranks     ranks
}

// New returns the table of a version.
func New(configuration platform.Configuration) *Table {
	t := &Table{
		version: configuration.Version, limits: configuration.Limits,
		hosts:     make(map[string][]*platform.Route),
		customers: make(map[string]*platform.Customer),
		services:  make(map[ident.Pool]*platform.Service, len(configuration.Services)),
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
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
			t.customers[key] = customer
		}
	}
	t.ranks = newRanks(configuration)
	return t
}

// Version returns the number of the version.
func (t *Table) Version() ident.Version { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() platform.Limits { return t.limits }

// Service returns what the version says of a service, or nil.
func (t *Table) Service(name ident.Pool) *platform.Service { return t.services[name] }

// Services returns the names of all services.
func (t *Table) Services() []ident.Pool {
	names := make([]ident.Pool, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Match returns the route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *platform.Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// NeedsKey reports whether the route's requests must carry a key.
func (t *Table) NeedsKey(route *platform.Route) bool {
	return len(t.customers) > 0 && !route.AuthExempt
}

// Customer returns the holder of a key, or nil.
func (t *Table) Customer(key string) *platform.Customer { return t.customers[key] }

// Pick returns the service for one request of a route, by weight where the route is split.
func Pick(route *platform.Route) ident.Pool {
	total := 0.0
	for _, share := range route.Split {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return route.Service
	}
	drawn := rand.Float64() * total //nolint:gosec // Spreads load only.
	for _, share := range route.Split {
		if drawn -= max(share.Weight, 0); drawn < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}
