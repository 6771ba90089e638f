package forward

import (
	"sync/atomic"

	"vanillapond/internal/process/holdings"
)

// keptResponse is what is kept of the response to an attempt before it is passed on.
type keptResponse struct {
	*holdings.ResponseHolding
	// dismissed is set once the response had to go for others.
	dismissed atomic.Bool
}

// openKept opens the holding of an attempt, which cancel ends.
func (f *Forwarder) openKept(server string, cancel func()) *keptResponse {
	kept := &keptResponse{}
	kept.ResponseHolding = f.config.Responses.OpenResponse(server, func() {
		kept.dismissed.Store(true)
		cancel()
	})
	return kept
}
