package httpresponse

import (
	"net/http"

	"github.com/samber/oops"

	"vanillapond/internal/statusline"
)

// Range of valid statuses, from RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns ErrBroken for the head of a response, also an interim one, that is not valid. It holds a further status line if the server broke off one
// response and wrote another.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return oops.Wrapf(ErrBroken, "found status %.40q, want %d to %d", response.Status, minStatus, maxStatus)
	}
	if statusline.InHead(response) {
		return oops.Wrapf(ErrBroken, "another response begins inside the head")
	}
	return nil
}
