package router

import (
	"maps"
	"sync"

	"vanillapond/pkg/ident"
)

// perService keeps one value for each service, made when it is first asked for.
type perService[T any] struct {
	create func() T
	mu     sync.Mutex
	// values holds those that were asked for; guarded by mu.
	values map[ident.Pool]T
}

func newPerService[T any](create func() T) *perService[T] {
	return &perService[T]{create: create, values: make(map[ident.Pool]T)}
}

// get returns a service's value.
func (s *perService[T]) get(service ident.Pool) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.values[service]
	if !found {
		value = s.create()
		s.values[service] = value
	}
	return value
}

// all returns a copy of what is kept.
func (s *perService[T]) all() map[ident.Pool]T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}
