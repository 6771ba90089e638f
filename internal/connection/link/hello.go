package link

import (
	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Hello opens a link in both directions.
type Hello struct {
	MinVersion int `cbor:"1,keyasint"`
	MaxVersion int `cbor:"2,keyasint"`
	// Process and Incarnation name the sender.
	Process     ident.Process     `cbor:"3,keyasint"`
	Incarnation ident.Incarnation `cbor:"4,keyasint"`
	// Endpoint is set by sidecars alone.
	Endpoint ident.Endpoint `cbor:"5,keyasint,omitempty"`
	// Secret proves that the sender belongs to the system.
	Secret string `cbor:"6,keyasint,omitempty"`
	Load   Load   `cbor:"7,keyasint"`
	// SentMS is the sender's boot clock, in milliseconds; 0 where it does not say.
	SentMS int64 `cbor:"8,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Hello) Kind() Kind { return KindHello }

// Check implements Frame.
func (h *Hello) Check() error {
	if h.MinVersion < 1 || h.MaxVersion < h.MinVersion {
		return oops.Errorf("hello: found versions %d to %d, want 1 or more, rising", h.MinVersion, h.MaxVersion)
	}
	return h.Load.Check()
}
