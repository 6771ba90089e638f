package servers

import (
	"slices"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// refusal is when an incarnation of a server last refused a connection.
type refusal struct {
	start ident.ServerStart
	at    clock.Reading
}

// MarkRefused records that a server refused a connection. Its process had ended, and the next one may have another software version under the same id
// before its registration is read.
func (r *Registry) MarkRefused(of ident.ServerStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.servers[of.ID]; current == nil || current.Start() != of {
		return
	}
	r.refused[of.ID] = refusal{start: of, at: r.config.Now()}
}

// WithUncertainSoftware returns the servers whose software version is not certain: they have refused a connection, and the list of registrations is not
// yet current as of a time at which a server that has not come back, or came back as another one, would not be in it as before.
func (r *Registry) WithUncertainSoftware() []ident.Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.refused) == 0 {
		return nil
	}
	asOf := r.config.ListAsOf()
	var uncertain []ident.Endpoint
	for id, refused := range r.refused {
		current := r.servers[id]
		if current != nil && current.Start() == refused.start && asOf < refused.at.Add(r.config.RegistrationTimeout) {
			uncertain = append(uncertain, id)
		}
	}
	slices.Sort(uncertain)
	return uncertain
}

// sweepRefused forgets refusals after which the registration has changed or was confirmed; the caller holds mu.
func (r *Registry) sweepRefused() {
	asOf := r.config.ListAsOf()
	for id, refused := range r.refused {
		current := r.servers[id]
		if current == nil || current.Start() != refused.start || asOf >= refused.at.Add(r.config.RegistrationTimeout) {
			delete(r.refused, id)
		}
	}
}

// defaultRegistrationTimeout is how long a registration stays unchanged after its server has ended, at most, if the interval of heartbeats is not known.
const defaultRegistrationTimeout = 5 * time.Second
