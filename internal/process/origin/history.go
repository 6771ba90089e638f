package origin

import (
	"maps"
	"slices"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// History is what is known of the software versions of a service's servers.
type History struct {
	// AsOf is the latest time as of which the history is known to be complete.
	AsOf clock.Reading
	// Since is since when Present and Gone hold all versions.
	Since clock.Reading
	// Present are the versions that serve, and Gone holds when each of the others last did.
	Present []ident.Software
	Gone    map[ident.Software]clock.Reading
}

// Histories returns the history of each service, without versions whose streams can't be taken up any more. It is empty before the first list
// of servers.
func (r *Registry) Histories() map[ident.Pool]History {
	r.mu.Lock()
	defer r.mu.Unlock()
	histories := make(map[ident.Pool]History)
	if r.watchedSince == 0 {
		return histories
	}
	now := r.config.Now()
	for service := range r.versions {
		history := History{Since: r.since(service), Present: slices.Sorted(slices.Values(r.present[service]))}
		history.Gone = make(map[ident.Software]clock.Reading)
		for _, version := range r.recent(now, service) {
			if !slices.Contains(history.Present, version) {
				history.Gone[version] = r.versions[service][version]
			}
		}
		histories[service] = history
	}
	return histories
}

// SetStored records the versions of a service that the store has, those that are gone included.
func (r *Registry) SetStored(service ident.Pool, versions []ident.Software) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored[service] = versions
}

// ForgetStored records that the store may have lost versions.
func (r *Registry) ForgetStored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.stored)
}

// Unstored returns the versions of a service's servers that the store is not known to have. If all instances ended, those that start again
// would not know that a stream may have begun there.
func (r *Registry) Unstored(service ident.Pool) []ident.Software {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unstored []ident.Software
	for _, version := range r.present[service] {
		if !slices.Contains(r.stored[service], version) {
			unstored = append(unstored, version)
		}
	}
	return unstored
}

// MergeHistory adds the history of a service that instances have kept in the store. They write a new version there before long, so that the
// history was complete until the last of them ended; versions that served then may have done so until now.
func (r *Registry) MergeHistory(service ident.Pool, history History) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	if earlier, found := r.completeSince[service]; history.AsOf >= r.gapEnd && (!found || history.Since < earlier) {
		r.completeSince[service] = history.Since
	}
	seen := r.versions[service]
	if seen == nil {
		seen = make(map[ident.Software]clock.Reading)
		r.versions[service] = seen
	}
	gone := maps.Clone(history.Gone)
	if gone == nil {
		gone = make(map[ident.Software]clock.Reading)
	}
	for _, version := range history.Present {
		gone[version] = now
	}
	for version, at := range gone {
		seen[version] = max(seen[version], at)
	}
}
