package servers

import (
	"time"

	"vanillapond/platform"
)

// restoreMemory is how long a removed server is remembered, longer than the age of a copy that the store may come back from.
const restoreMemory = time.Minute

// ObserveRestore records that the store came back from an older copy of its data. It may list servers as ready whose leaving was
// known, and lack servers that registered since.
//
// A server that was draining stays so. One that had gone gets requests again only once its registration changes, which shows that it
// lives. A missing registration is tolerated as after an outage.
func (r *Registry) ObserveRestore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweepDeparted()
	for _, server := range r.servers {
		if server.State == platform.ServerDraining {
			r.announcementOf(server.Start()).leaving = true
		}
	}
	for departed := range r.departed {
		if known := r.announcementOf(departed); known != nil {
			known.unconfirmed = true
		}
	}
	r.storeOutage.excusedUntil = max(r.storeOutage.excusedUntil, r.config.Now().Add(r.config.ReregistrationTimeout))
}

// sweepDeparted forgets servers that were removed more than restoreMemory ago; the caller holds mu.
func (r *Registry) sweepDeparted() {
	now := r.config.Now()
	for departed, at := range r.departed {
		if now.Sub(at) > restoreMemory {
			delete(r.departed, departed)
		}
	}
}
