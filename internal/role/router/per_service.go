package router

import (
	"maps"
	"sync"

	"vanillapond/pkg/ident"
)

// perService holds one value per service, created on first use.
type perService[T any] struct {
	create func(ident.Pool) T
	mu     sync.Mutex
	// values holds the values created so far; guarded by mu.
	values map[ident.Pool]T
}

func newPerService[T any](create func(ident.Pool) T) *perService[T] {
	return &perService[T]{create: create, values: make(map[ident.Pool]T)}
}

// get returns the value of a service, which it creates if necessary.
func (s *perService[T]) get(service ident.Pool) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.values[service]
	if !found {
		value = s.create(service)
		s.values[service] = value
	}
	return value
}

// all returns a copy of the map of values.
func (s *perService[T]) all() map[ident.Pool]T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}
