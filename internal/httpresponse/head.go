package httpresponse

import (
	"net/http"

	"github.com/samber/oops"
	"golang.org/x/net/http/httpguts"

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
	return CheckFields(response.Header)
}

// CheckFields returns ErrBroken for the fields of a head or a trailer if a name or a value is not valid.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		for _, value := range values {
			if err := CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckField returns ErrBroken for a field whose name or value is not valid.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return oops.Wrapf(ErrBroken, "name of a field is not valid: %.40q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return oops.Wrapf(ErrBroken, "value of field %.40q is not valid: %.40q", name, value)
	}
	return nil
}
