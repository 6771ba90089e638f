package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// TestSplitWithoutWeight guards against requests of a split route that go to a service outside the split once all weight is taken from it.
func TestSplitWithoutWeight(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, respondOK("a"))
	emptied := configuration(2)
	emptied.Routes[0].Split = []platform.WeightedService{{Service: "plain", Weight: 0}}
	h.current.Advance(emptied)
	response, _, err := h.send(t, "/get/x", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}
