package link

import (
	"sync/atomic"

	"github.com/samber/oops"

	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// Header is one header field of a request or a response.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Open asks the sidecar to run a request.
type Open struct {
	Stream     StreamID       `cbor:"1,keyasint"`
	Request    ident.Request  `cbor:"2,keyasint"`
	Customer   ident.Customer `cbor:"3,keyasint"`
	Class      ident.Class    `cbor:"4,keyasint"`
	Tier       ident.Tier     `cbor:"5,keyasint"`
	Method     string         `cbor:"6,keyasint"`
	Path       string         `cbor:"7,keyasint"`
	Query      string         `cbor:"8,keyasint,omitempty"`
	Header     []Header       `cbor:"9,keyasint,omitempty"`
	Body       []byte         `cbor:"10,keyasint,omitempty"`
	Idempotent bool           `cbor:"11,keyasint,omitempty"`
	// BudgetMS is the time remaining until the first byte of the response is due, in milliseconds.
	BudgetMS int64 `cbor:"12,keyasint"`
	// DeadlineMS is the time remaining until the end of the response is due, in milliseconds.
	DeadlineMS int64 `cbor:"13,keyasint"`
	// Digest is the same for equal requests of one customer; it identifies a request that is suspected of crashing endpoints.
	Digest suspect.Digest `cbor:"14,keyasint,omitempty"`
	// Weight is the customer's weight relative to the other customers of the class.
	Weight int `cbor:"16,keyasint,omitempty"`
	// FloorPercent is the minimum share of service that is guaranteed to the class, in percent.
	FloorPercent int `cbor:"17,keyasint,omitempty"`
	// Version is the configuration version that the entry used for its decisions.
	Version ident.Version `cbor:"18,keyasint,omitempty"`
	// Attempt counts from 1; a later attempt is only made after the earlier ones are known not to have run.
	Attempt int `cbor:"19,keyasint,omitempty"`
	// Tag identifies the attempt in the usage ledger.
	Tag ledger.AttemptTag `cbor:"15,keyasint"`

	// SentMS is the entry's boot clock at sending, in milliseconds; 0 if not given.
	SentMS int64 `cbor:"20,keyasint,omitempty"`
	// Suspect means that the request may have crashed an endpoint; a sidecar runs no other suspect at the same time.
	Suspect bool `cbor:"21,keyasint,omitempty"`

	// sendState changes once, from sendQueued to sendStarted or sendWithdrawn.
	sendState atomic.Int32
}

// Values of Open.sendState.
const (
	sendQueued int32 = iota
	// sendStarted means that the frame may reach the socket.
	sendStarted
	// sendWithdrawn means that the frame never reaches the socket.
	sendWithdrawn
)

// beginSend reports whether the writer may send the frame, and sets its sending time.
func (o *Open) beginSend() bool {
	if !o.sendState.CompareAndSwap(sendQueued, sendStarted) {
		return false
	}
	o.SentMS = bootMillis()
	return true
}

// withdraw reports whether the frame never reaches the socket, which it ensures if the frame is still queued.
func (o *Open) withdraw() bool {
	return o.sendState.CompareAndSwap(sendQueued, sendWithdrawn) || o.sendState.Load() == sendWithdrawn
}

// Kind implements Frame.
func (*Open) Kind() Kind { return KindOpen }

// Check implements Frame.
func (o *Open) Check() error {
	if o.Stream == 0 {
		return oops.Errorf("open.stream: found 0, want 1 or more")
	}
	if o.Request == "" || o.Method == "" || o.Path == "" {
		return oops.Errorf("open: request id, method or path is missing")
	}
	if o.BudgetMS < 0 || o.DeadlineMS < 0 {
		return oops.Errorf("open: found a negative time, want 0 or more")
	}
	return nil
}
