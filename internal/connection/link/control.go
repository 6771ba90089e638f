package link

import (
	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/pkg/ident"
)

// Cancel asks to end a stream; the sidecar answers with Deny or End.
type Cancel struct {
	Stream StreamID `cbor:"1,keyasint"`
	Reason string   `cbor:"2,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Cancel) Kind() Kind { return KindCancel }

// Check implements Frame.
func (*Cancel) Check() error { return nil }

// Credit lets the sender of an answer send more bytes on a stream.
type Credit struct {
	Stream StreamID `cbor:"1,keyasint"`
	Bytes  int64    `cbor:"2,keyasint"`
}

// Kind implements Frame.
func (*Credit) Kind() Kind { return KindCredit }

// Check implements Frame.
func (c *Credit) Check() error {
	if c.Bytes < 1 {
		return oops.Errorf("credit.bytes: found %d, want 1 or more", c.Bytes)
	}
	return nil
}

// Acknowledgment tells a sidecar which of its usage records are durable.
type Acknowledgment struct {
	Ledger ident.Incarnation `cbor:"1,keyasint"`
	// Through is the attempt up to which all are durable.
	Through ledger.Sequence `cbor:"2,keyasint"`
	// Fenced says that the ledger writes nothing more.
	Fenced bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Acknowledgment) Kind() Kind { return KindAcknowledgment }

// Check implements Frame.
func (s *Acknowledgment) Check() error {
	if s.Ledger == "" {
		return oops.Errorf("settled.ledger: found nothing, want an incarnation")
	}
	return nil
}

// Timestamp carries the sender's hybrid logical clock, ahead of what it sends with it.
type Timestamp struct {
	Time event.Time `cbor:"1,keyasint"`
}

// Kind implements Frame.
func (*Timestamp) Kind() Kind { return KindTimestamp }

// Check implements Frame.
func (s *Timestamp) Check() error { return s.Time.Check() }

// OutcomeQuery asks whether a request of an earlier link was started; the sidecar answers with Deny.
type OutcomeQuery struct {
	Stream  StreamID      `cbor:"1,keyasint"`
	Request ident.Request `cbor:"2,keyasint"`
	// SentAgoMS is how long ago the request was sent, in milliseconds.
	SentAgoMS int64 `cbor:"3,keyasint"`
}

// Kind implements Frame.
func (*OutcomeQuery) Kind() Kind { return KindOutcomeQuery }

// Check implements Frame.
func (a *OutcomeQuery) Check() error {
	if a.Stream == 0 || a.Request == "" || a.SentAgoMS < 0 {
		return oops.Errorf("ask: found no stream, no request id or a negative time, want all three")
	}
	return nil
}
