// Package httpresponse has the rules by which everything that reads HTTP/1 responses tells whole ones from broken ones.
package httpresponse

import "github.com/samber/oops"

// ErrBroken is returned for a response that is not valid HTTP, or whose end is not certain.
var ErrBroken = oops.Errorf("broken HTTP response")
