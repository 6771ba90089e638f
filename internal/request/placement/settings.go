package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Settings are the properties of a service that its configuration decides.
type Settings struct {
	// LoadAware turns on load-aware routing, which the other settings are for.
	LoadAware bool
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	// ShortestPause is the shortest pause between events that a stream of the service allows; streams that allow no more are latency-sensitive.
	ShortestPause time.Duration
	// SharedHealth turns on the health of servers by the results of all instances, for plain services.
	SharedHealth bool
	// Process is this instance, for the choice of the one that tries an ejected server.
	Process ident.Process
}

// Configure sets the service's settings. Those of a service that is not load-aware have no effect.
func (b *Balancer) Configure(settings Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if settings == b.settings {
		return
	}
	b.settings = settings
	b.speed.configure(settings)
	b.configureModel()
	b.configureHealth(settings)
}

// LoadAware reports whether the service uses load-aware routing.
func (b *Balancer) LoadAware() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settings.LoadAware
}
