// Package ledger counts usage for billing and makes it durable exactly once.
//
// An entry adds up the usage of its attempts and writes the totals to the table in flushes. The sidecar that ran an attempt
// buffers a copy of the usage record until the entry acknowledges that it is durable. If the entry is lost, the sidecar fences
// the entry's ledger, after which the ledger can write nothing more, and writes the remaining records itself.
package ledger

import (
	"time"

	"vanillapond/pkg/ident"
)

// Sequence is the number of an attempt within one ledger incarnation, from 1 upwards.
type Sequence uint64

// Usage is the usage that is billed: the number of requests, and the tokens of prompts and completions.
type Usage struct {
	Requests   int64        `cbor:"1,keyasint" json:"requests"`
	Prompt     ident.Tokens `cbor:"2,keyasint" json:"prompt"`
	Completion ident.Tokens `cbor:"3,keyasint" json:"completion"`
}

// AttemptTag identifies an attempt for billing. The entry sends it to the sidecar with the request.
type AttemptTag struct {
	// Ledger is the incarnation of the entry's ledger.
	Ledger   ident.Incarnation `cbor:"1,keyasint"`
	Sequence Sequence          `cbor:"2,keyasint"`
	// Window is the window in which the attempt began.
	Window  ident.Window  `cbor:"3,keyasint"`
	Partner ident.Partner `cbor:"4,keyasint"`
	// WindowLength is the length of the window, in seconds.
	WindowLength int64 `cbor:"5,keyasint"`
}

// Record is the usage of one request that was served.
type Record struct {
	Tag      AttemptTag
	Request  ident.Request
	Customer ident.Customer
	Usage    Usage
}

// Plus returns the sum of u and other.
func (u Usage) Plus(other Usage) Usage {
	return Usage{
		Requests: u.Requests + other.Requests, Prompt: u.Prompt + other.Prompt, Completion: u.Completion + other.Completion,
	}
}

// account is the key of one running total.
type account struct {
	window   ident.Window
	partner  ident.Partner
	customer ident.Customer
	// originWindow is the window in which late usage arose, or 0 for usage that was in time.
	originWindow ident.Window
}

// assignWindow returns the account itself if its window is not sealed, else the account for late usage in the window next.
func (a account) assignWindow(sealed, next ident.Window) account {
	if a.window > sealed {
		return a
	}
	if a.originWindow == 0 {
		a.originWindow = a.window
	}
	a.window = next
	return a
}

// openWindow returns the window that contains a time, or the first window that is not sealed if that one is sealed.
func openWindow(now time.Time, sealed ident.Window, length int64) ident.Window {
	length = max(length, 1)
	window := ident.Window(now.Unix() / length * length)
	if window > sealed {
		return window
	}
	return ident.Window((int64(sealed)/length + 1) * length)
}
