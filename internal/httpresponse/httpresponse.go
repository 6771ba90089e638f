// Package httpresponse has the rules by which everything that reads HTTP/1 responses tells whole ones from broken ones.
package httpresponse

import (
	"errors"
	"fmt"
)

// Errors of responses. ErrTooLong is an ErrBroken.
var (
	// ErrBroken is returned for a response that is not valid HTTP, or whose end is not certain.
	ErrBroken = errors.New("broken HTTP response")
	// ErrTooLong is returned for a response of which a head, or what has to be read before any of it can be passed on, goes on beyond its limit.
	ErrTooLong = fmt.Errorf("%w: goes on without end", ErrBroken)
)
