package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// TestLastKeyWithdrawn guards against requests that run for anybody after the last key of the last customer is withdrawn, with that key, another one or
// none.
func TestLastKeyWithdrawn(t *testing.T) {
	t.Parallel()
	for name, customers := range map[string]platform.Customers{
		"customer without keys": {{Name: "school", Keys: []string{}}},
		"no customer left":      {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 0, respondOK("a"))
			withdrawn := configuration(2)
			withdrawn.Customers = customers
			h.current.Advance(withdrawn)
			for _, key := range []string{"right", "other", ""} {
				for _, path := range []string{"/get/x", "/once/x", "/stream/x"} {
					is.Equal(h.statusWithKey(t, path, key), http.StatusUnauthorized)
				}
				is.Equal(h.statusWithKey(t, "/open/x", key), http.StatusOK)
			}
			is.Equal(h.startCount("school"), 0)
		})
	}
}

// statusWithKey returns the status of the response to a request with a key; an empty key is not sent.
func (h *harness) statusWithKey(t *testing.T, path, key string) int {
	t.Helper()
	response, _, err := h.send(t, path, func(r *http.Request) {
		r.Header.Del("Authorization")
		if key != "" {
			r.Header.Set("Authorization", platform.KeyScheme+key)
		}
	})
	is.New(t).NoErr(err)
	return response.StatusCode
}
