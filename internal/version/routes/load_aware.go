package routes

import (
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// maxReservedPause is the longest pause between events up to which a stream can't share an engine with long prompts: a single prompt that takes
// several steps to prefill makes it late.
const maxReservedPause = 220 * time.Millisecond

// loadAwareness says which services use load-aware routing.
type loadAwareness struct {
	// shortestPause is the shortest pause between events that a streaming route of the service allows; services without such routes are left out.
	shortestPause map[ident.Pool]time.Duration
	// hasEngines is set if an engine service is load-aware.
	hasEngines bool
}

func newLoadAwareness(configuration platform.Configuration) loadAwareness {
	awareness := loadAwareness{shortestPause: make(map[ident.Pool]time.Duration)}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		pause := route.MaxPause.Duration()
		if route.Kind != platform.Streaming || pause <= 0 {
			continue
		}
		awareness.observe(route.Service, pause)
		for _, share := range route.Split {
			awareness.observe(share.Service, pause)
		}
	}
	for index := range configuration.Services {
		service := &configuration.Services[index]
		if service.Engine != nil && awareness.shortestPause[service.Name] > maxReservedPause {
			awareness.hasEngines = true
		}
	}
	return awareness
}

func (l *loadAwareness) observe(service ident.Pool, pause time.Duration) {
	if shortest, found := l.shortestPause[service]; service != "" && (!found || pause < shortest) {
		l.shortestPause[service] = pause
	}
}

// LoadAware reports whether a service uses load-aware routing: an engine service whose streams all allow pauses above maxReservedPause, and a plain
// service beside such an engine service. Other services are served by the reservation of engines alone.
func (t *Table) LoadAware(name ident.Pool) bool {
	service := t.services[name]
	switch {
	case service == nil:
		return false
	case service.Engine == nil:
		return t.loadAwareness.hasEngines
	default:
		return t.loadAwareness.shortestPause[name] > maxReservedPause
	}
}

// ShortestPause returns the shortest pause between events that a streaming route of the service allows, 0 if there is none.
func (t *Table) ShortestPause(name ident.Pool) time.Duration {
	return t.loadAwareness.shortestPause[name]
}
