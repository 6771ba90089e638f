package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestMisdirectedArrivalsDrawOnBudget verifies that a request which reached a server that is not the expected one is sent to another only
// within the retry budget: the servers count each arrival.
func TestMisdirectedArrivalsDrawOnBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const budget = 1
	var arrivals atomic.Int64
	misdirected := func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		respondMisdirected(w, r)
	}
	h := newHarness(t, budget, misdirected, misdirected, misdirected, misdirected)
	response, _, err := h.send(t, "/get/", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(arrivals.Load() <= 1+budget)
}
