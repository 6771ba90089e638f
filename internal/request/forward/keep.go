package forward

import (
	"sync/atomic"

	"vanillapond/internal/process/holdings"
)

// keptResponse is what is kept of the response to an attempt before it is passed on.
type keptResponse struct {
	*holdings.ResponseHolding
	// head is the memory of the head, if it takes more than usual.
	head holdings.Bytes
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

func (k *keptResponse) keepHead(bytes int) error {
	k.head = holdings.Bytes(bytes)
	return k.Keep(k.head)
}

// keepBody records that so many bytes of the body are kept.
func (k *keptResponse) keepBody(bytes int) error { return k.Keep(k.head + holdings.Bytes(bytes)) }

// tryKeepBody is like keepBody, but reports false if there is no room.
func (k *keptResponse) tryKeepBody(bytes int) bool {
	return k.TryKeep(k.head + holdings.Bytes(bytes))
}
