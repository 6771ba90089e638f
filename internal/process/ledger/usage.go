// Package ledger counts usage for billing and makes it durable exactly once.
//
// The entry holds totals, the sidecar holds a copy of each record until the entry says that it is durable.
package ledger

import (
	"time"

	"vanillapond/pkg/ident"
)

// Sequence numbers the attempts of one ledger incarnation, from 1 upwards.
type Sequence uint64

// Usage is what is billed.
type Usage struct {
	Requests   int64        `cbor:"1,keyasint" json:"requests"`
	Prompt     ident.Tokens `cbor:"2,keyasint" json:"prompt"`
	Completion ident.Tokens `cbor:"3,keyasint" json:"completion"`
}

// AttemptTag names one attempt to the billing.
type AttemptTag struct {
	// Ledger is the incarnation of the entry's ledger.
	Ledger   ident.Incarnation `cbor:"1,keyasint"`
	Sequence Sequence          `cbor:"2,keyasint"`
	// Window is the one in which the attempt began.
	Window  ident.Window  `cbor:"3,keyasint"`
	Partner ident.Partner `cbor:"4,keyasint"`
	// WindowLength is the length of the window, in seconds.
	WindowLength int64 `cbor:"5,keyasint"`
}

// Record is the usage of one served request.
type Record struct {
	Tag      AttemptTag
	Request  ident.Request
	Customer ident.Customer
	Usage    Usage
}

// Plus returns the sum of both.
func (u Usage) Plus(other Usage) Usage {
	return Usage{
		Requests: u.Requests + other.Requests, Prompt: u.Prompt + other.Prompt, Completion: u.Completion + other.Completion,
	}
}

// account names one running total.
type account struct {
	window   ident.Window
	partner  ident.Partner
	customer ident.Customer
	// from is the window that the usage was too late for, 0 for usage in time.
	from ident.Window
}

// place returns the account for usage of a window, where next is the first window that is not sealed.
func (a account) place(sealed, next ident.Window) account {
	if a.window > sealed {
		return a
	}
	if a.from == 0 {
		a.from = a.window
	}
	a.window = next
	return a
}

// nextWindow returns the window at a time, or the first one after the sealed ones.
func nextWindow(now time.Time, sealed ident.Window, length int64) ident.Window {
	length = max(length, 1)
	window := ident.Window(now.Unix() / length * length)
	if window > sealed {
		return window
	}
	return ident.Window((int64(sealed)/length + 1) * length)
}
