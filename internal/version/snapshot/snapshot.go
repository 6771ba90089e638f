// Package snapshot indexes a configuration version for lookups on the request path.
package snapshot

import (
	"slices"
	"strings"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Snapshot is one configuration version, indexed for lookups; it is immutable.
type Snapshot struct {
	// Configuration is the indexed configuration.
	Configuration configuration.Configuration
	keys          map[ident.KeyDigest]configuration.Key
	customers     map[ident.Customer]configuration.Customer
	classes       map[ident.Class]configuration.Class
	pools         map[ident.Pool]configuration.Pool
	endpoints     map[ident.Endpoint]configuration.Endpoint
	operators     map[ident.KeyDigest]ident.Partner
	// routes are sorted with the longest prefix first.
	routes []route
}

type route struct {
	prefix string
	class  ident.Class
}

// New indexes a valid configuration.
func New(c configuration.Configuration) *Snapshot {
	s := &Snapshot{
		Configuration: c,
		keys:          index(c.Keys, func(k configuration.Key) ident.KeyDigest { return k.Digest }),
		customers:     index(c.Customers, func(c configuration.Customer) ident.Customer { return c.ID }),
		classes:       index(c.Classes, func(c configuration.Class) ident.Class { return c.ID }),
		pools:         index(c.Pools, func(p configuration.Pool) ident.Pool { return p.ID }),
		endpoints:     index(c.Endpoints, func(e configuration.Endpoint) ident.Endpoint { return e.ID }),
		operators:     make(map[ident.KeyDigest]ident.Partner),
	}
	for _, partner := range c.Partners {
		for _, digest := range partner.Operators {
			s.operators[digest] = partner.ID
		}
	}
	for _, class := range c.Classes {
		for _, prefix := range class.Routes {
			s.routes = append(s.routes, route{prefix: prefix, class: class.ID})
		}
	}
	slices.SortStableFunc(s.routes, func(a, b route) int { return len(b.prefix) - len(a.prefix) })
	return s
}

func index[K comparable, T any](list []T, id func(T) K) map[K]T {
	indexed := make(map[K]T, len(list))
	for _, item := range list {
		indexed[id(item)] = item
	}
	return indexed
}

// Version returns the version number of the configuration.
func (s *Snapshot) Version() ident.Version { return s.Configuration.Version }

// Key returns the key with the digest.
func (s *Snapshot) Key(digest ident.KeyDigest) (configuration.Key, bool) {
	key, found := s.keys[digest]
	return key, found
}

// Customer returns the customer with the id.
func (s *Snapshot) Customer(id ident.Customer) (configuration.Customer, bool) {
	customer, found := s.customers[id]
	return customer, found
}

// Class returns the class with the id.
func (s *Snapshot) Class(id ident.Class) (configuration.Class, bool) {
	class, found := s.classes[id]
	return class, found
}

// Pool returns the pool with the id.
func (s *Snapshot) Pool(id ident.Pool) (configuration.Pool, bool) {
	pool, found := s.pools[id]
	return pool, found
}

// Endpoint returns the endpoint with the id.
func (s *Snapshot) Endpoint(id ident.Endpoint) (configuration.Endpoint, bool) {
	endpoint, found := s.endpoints[id]
	return endpoint, found
}

// Operator returns the partner of the operator whose credential has the digest.
func (s *Snapshot) Operator(digest ident.KeyDigest) (ident.Partner, bool) {
	partner, found := s.operators[digest]
	return partner, found
}

// Routes returns the classes that have a route matching the path, those with the longest prefix first.
func (s *Snapshot) Routes(path string) []ident.Class {
	var classes []ident.Class
	for _, route := range s.routes {
		if matches(path, route.prefix) {
			classes = append(classes, route.class)
		}
	}
	return classes
}

// matches reports whether prefix matches path up to the end of a path segment.
func matches(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
