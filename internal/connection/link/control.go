package link

import (
	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/pkg/ident"
)

// Cancel asks the sidecar to end a stream; it responds with Deny or End.
type Cancel struct {
	Stream StreamID `cbor:"1,keyasint"`
	Reason string   `cbor:"2,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Cancel) Kind() Kind { return KindCancel }

// Check implements Frame.
func (*Cancel) Check() error { return nil }

// Credit allows the sidecar to send more bytes of a response.
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

// Acknowledgment tells a sidecar which of its usage records are durable, so that it need not keep them.
type Acknowledgment struct {
	Ledger ident.Incarnation `cbor:"1,keyasint"`
	// Through is the sequence number of the attempt up to which all attempts are durable.
	Through ledger.Sequence `cbor:"2,keyasint"`
	// Fenced means that this ledger incarnation can write no more records.
	Fenced bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Acknowledgment) Kind() Kind { return KindAcknowledgment }

// Check implements Frame.
func (a *Acknowledgment) Check() error {
	if a.Ledger == "" {
		return oops.Errorf("settled.ledger: found nothing, want an incarnation")
	}
	return nil
}

// Timestamp carries the sender's hybrid logical clock; it precedes the frames that it applies to.
type Timestamp struct {
	Time event.Time `cbor:"1,keyasint"`
}

// Kind implements Frame.
func (*Timestamp) Kind() Kind { return KindTimestamp }

// Check implements Frame.
func (t *Timestamp) Check() error { return t.Time.Check() }

// OutcomeQuery asks whether a request of an earlier link was started; the sidecar responds with Deny.
type OutcomeQuery struct {
	Stream  StreamID      `cbor:"1,keyasint"`
	Request ident.Request `cbor:"2,keyasint"`
	// SentAgoMS is how long ago the request was sent, in milliseconds.
	SentAgoMS int64 `cbor:"3,keyasint"`
}

// Kind implements Frame.
func (*OutcomeQuery) Kind() Kind { return KindOutcomeQuery }

// Check implements Frame.
func (q *OutcomeQuery) Check() error {
	if q.Stream == 0 || q.Request == "" || q.SentAgoMS < 0 {
		return oops.Errorf("outcome query: stream or request id is missing, or the time is negative")
	}
	return nil
}
