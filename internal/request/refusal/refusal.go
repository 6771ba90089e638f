// Package refusal holds the final answers to requests that got no answer from an endpoint.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Error is a typed, final answer.
type Error struct {
	Status  int
	Code    api.Code
	Message string
	// NotRun is true only if the request did not run and never will.
	NotRun bool
	// RetryAfter is when coming back may help; 0 means that it does not.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Error) Error() string { return string(r.Code) + ": " + r.Message }

// New returns a refusal of a request that did not run.
func New(status int, code api.Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, NotRun: true}
}

// Retryable returns a refusal of a request that did not run and may come back.
func Retryable(status int, code api.Code, message string, after time.Duration) *Error {
	return &Error{Status: status, Code: code, Message: message, NotRun: true, RetryAfter: after}
}

// OutcomeUnknown returns a failure of a request that may have run.
func OutcomeUnknown(code api.Code, message string) *Error {
	return &Error{Status: http.StatusBadGateway, Code: code, Message: message}
}

// Body returns the refusal's JSON form.
func (r *Error) Body(request ident.Request) []byte {
	body, err := json.Marshal(api.Error{Error: api.ErrorDetail{
		Code:         r.Code,
		Message:      r.Message,
		NotRun:       r.NotRun,
		RequestID:    request,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return append(body, '\n')
}

// Write answers a request with the refusal.
func (r *Error) Write(w http.ResponseWriter, request ident.Request) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderRequestID, string(request))
	if r.RetryAfter > 0 {
		header.Set(api.HeaderRetryAfter, strconv.FormatInt(wholeSeconds(r.RetryAfter), 10))
	}
	if r.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", `Bearer realm="vanillapond"`)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body(request))
}

// wholeSeconds rounds up, because the header field has no fractions.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
