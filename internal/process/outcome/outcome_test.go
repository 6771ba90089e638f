package outcome_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/outcome"
)

// TestStatus guards against responses that state that a request did not run when it may have: only those of requests that did not run keep such a status.
func TestStatus(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for status := http.StatusOK; status < 600; status++ {
		statesNotRun := status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest ||
			status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		is.Equal(outcome.NotRun.Status(status), status)
		for _, known := range []outcome.Outcome{outcome.Unknown, outcome.Ran} {
			if statesNotRun {
				is.Equal(known.Status(status), http.StatusBadGateway)
			} else {
				is.Equal(known.Status(status), status)
			}
		}
	}
}
