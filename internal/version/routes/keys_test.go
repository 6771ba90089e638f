package routes_test

import (
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/version/routes"
	"vanillapond/platform"
)

// TestEmptyKeysNeverOpen guards against a configuration that opens its routes to everybody once its last key is withdrawn: only one without any list of
// customers needs no keys.
func TestEmptyKeysNeverOpen(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		customers platform.Customers
		needsKey  bool
	}{
		{"no list", nil, false},
		{"no customer", platform.Customers{}, true},
		{"customer without a list of keys", platform.Customers{{Name: "c"}}, true},
		{"last key withdrawn", platform.Customers{{Name: "c", Keys: []string{}}}, true},
		{"empty key", platform.Customers{{Name: "c", Keys: []string{""}}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			table := routes.New(platform.Configuration{Version: 1, Customers: c.customers})
			is.Equal(table.NeedsKey(&platform.Route{}), c.needsKey)
			is.True(!table.NeedsKey(&platform.Route{AuthExempt: true}))
			is.Equal(table.Customer(""), nil)
		})
	}
}
