package link

import (
	"github.com/samber/oops"

	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// Accept says that the request was handed to the back end: from now on it may have run.
type Accept struct {
	Stream StreamID `cbor:"1,keyasint"`
	Load   Load     `cbor:"2,keyasint"`
}

// Kind implements Frame.
func (*Accept) Kind() Kind { return KindAccept }

// Check implements Frame.
func (a *Accept) Check() error { return a.Load.Check() }

// DenyCode says why a request was not run, or how it was lost.
type DenyCode string

// Kinds of frames.
const (
	KindHello Kind = iota + 1
	KindOpen
	KindAccept
	KindDeny
	KindHead
	KindData
	KindEnd
	KindCancel
	KindCredit
	KindLoad
	KindAcknowledgment
	KindOutcomeQuery
	KindTimestamp
)

// Reasons of a denial.
const (
	DenyBusy      DenyCode = "busy"
	DenyDraining  DenyCode = "draining"
	DenyLate      DenyCode = "late"
	DenyCancelled DenyCode = "cancelled"
	DenyDown      DenyCode = "endpoint_down"
	DenyFailed    DenyCode = "endpoint_failed"
	DenyCrashed   DenyCode = "endpoint_crashed"
)

// Deny ends a stream without a whole answer.
type Deny struct {
	Stream StreamID `cbor:"1,keyasint"`
	Code   DenyCode `cbor:"2,keyasint"`
	// NotRun is true only where the sidecar knows that the back end never got the request and never will.
	NotRun bool   `cbor:"3,keyasint"`
	Reason string `cbor:"4,keyasint,omitempty"`
	// RetryAfterMS is when coming back may help, in milliseconds.
	RetryAfterMS int64 `cbor:"5,keyasint,omitempty"`
	Load         Load  `cbor:"6,keyasint"`
	// Loss names the crash, set with DenyCrashed alone.
	Loss suspect.Loss `cbor:"7,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Deny) Kind() Kind { return KindDeny }

// Check implements Frame.
func (d *Deny) Check() error {
	if d.Code == "" {
		return oops.Errorf("deny.code: found nothing, want a code")
	}
	return d.Load.Check()
}

// Head carries the status and header of an answer.
type Head struct {
	Stream StreamID `cbor:"1,keyasint"`
	Status int      `cbor:"2,keyasint"`
	Header []Header `cbor:"3,keyasint,omitempty"`
}

// Kind implements Frame.
func (*Head) Kind() Kind { return KindHead }

// Check implements Frame.
func (h *Head) Check() error {
	if h.Status < 200 || h.Status > 599 {
		return oops.Errorf("head.status: found %d, want 200 to 599", h.Status)
	}
	return nil
}

// Data carries a part of an answer's body.
type Data struct {
	Stream StreamID `cbor:"1,keyasint"`
	// Sequence counts from 0 without a gap.
	Sequence uint64 `cbor:"2,keyasint"`
	Bytes    []byte `cbor:"3,keyasint"`
}

// Kind implements Frame.
func (*Data) Kind() Kind { return KindData }

// Check implements Frame.
func (*Data) Check() error { return nil }

// Usage is what a request is billed for.
type Usage struct {
	Prompt     ident.Tokens `cbor:"1,keyasint" json:"prompt"`
	Completion ident.Tokens `cbor:"2,keyasint" json:"completion"`
	Requests   int64        `cbor:"3,keyasint" json:"requests"`
}

// End proves that an answer is whole.
type End struct {
	Stream StreamID `cbor:"1,keyasint"`
	// Frames, Length and Digest cover all data frames of the stream.
	Frames uint64 `cbor:"2,keyasint"`
	Length uint64 `cbor:"3,keyasint"`
	Digest uint64 `cbor:"4,keyasint"`
	Usage  Usage  `cbor:"5,keyasint"`
	Load   Load   `cbor:"6,keyasint"`
}

// Kind implements Frame.
func (*End) Kind() Kind { return KindEnd }

// Check implements Frame.
func (e *End) Check() error {
	if e.Usage.Prompt < 0 || e.Usage.Completion < 0 || e.Usage.Requests < 0 {
		return oops.Errorf("end.usage: found a negative count, want 0 or more")
	}
	return e.Load.Check()
}
