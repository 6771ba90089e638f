package link

import (
	"sync/atomic"

	"github.com/samber/oops"

	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// Header is one header field of a request or an answer.
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
	// BudgetMS is the time left to the first byte of the answer, in milliseconds.
	BudgetMS int64 `cbor:"12,keyasint"`
	// DeadlineMS is the time left to the end of the answer, in milliseconds.
	DeadlineMS int64 `cbor:"13,keyasint"`
	// Digest is the same for equal requests of one customer; it names suspects of a crash.
	Digest suspect.Digest `cbor:"14,keyasint,omitempty"`
	// Weight is the customer's share against others of the class.
	Weight int `cbor:"16,keyasint,omitempty"`
	// FloorPercent is the class's least share of service.
	FloorPercent int `cbor:"17,keyasint,omitempty"`
	// Version is the configuration that the entry decided by.
	Version ident.Version `cbor:"18,keyasint,omitempty"`
	// Attempt counts from 1; later attempts follow proven refusals.
	Attempt int `cbor:"19,keyasint,omitempty"`
	// Tag names the attempt to the billing.
	Tag ledger.AttemptTag `cbor:"15,keyasint"`

	// SentMS is the entry's boot clock at the sending, in milliseconds; 0 where the entry does not say.
	SentMS int64 `cbor:"20,keyasint,omitempty"`
	// Suspect says that the request may have crashed an endpoint and runs beside no other suspect.
	Suspect bool `cbor:"21,keyasint,omitempty"`

	// sending moves once, from queued to taken or withdrawn.
	sending atomic.Int32
}

// Values of Open.sending.
const (
	sendingQueued int32 = iota
	// sendingTaken says that the frame may reach the socket.
	sendingTaken
	// sendingWithdrawn says that the frame never reaches the socket.
	sendingWithdrawn
)

// take reports whether the writer may send the frame, and stamps it.
func (o *Open) take() bool {
	if !o.sending.CompareAndSwap(sendingQueued, sendingTaken) {
		return false
	}
	o.SentMS = stamp()
	return true
}

// withdraw reports whether the frame never reaches the socket.
func (o *Open) withdraw() bool {
	return o.sending.CompareAndSwap(sendingQueued, sendingWithdrawn) || o.sending.Load() == sendingWithdrawn
}

// Kind implements Frame.
func (*Open) Kind() Kind { return KindOpen }

// Check implements Frame.
func (o *Open) Check() error {
	if o.Stream == 0 {
		return oops.Errorf("open.stream: found 0, want 1 or more")
	}
	if o.Request == "" || o.Method == "" || o.Path == "" {
		return oops.Errorf("open: found no request id, method or path, want all three")
	}
	if o.BudgetMS < 0 || o.DeadlineMS < 0 {
		return oops.Errorf("open: found a negative time, want 0 or more")
	}
	return nil
}
