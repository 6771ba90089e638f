package routes_test

import (
	"encoding/json"
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
		name, fields string
		needsKey     bool
	}{
		{"no field", ``, false},
		{"null", `,"Tenants":null`, true},
		{"null after a list", `,"Tenants":[{"Name":"c","ApiKeys":["k"]}],"Tenants":null`, true},
		{"no customer", `,"Tenants":[]`, true},
		{"customer without a list of keys", `,"Tenants":[{"Name":"c"}]`, true},
		{"customer with null for keys", `,"Tenants":[{"Name":"c","ApiKeys":null}]`, true},
		{"last key withdrawn", `,"Tenants":[{"Name":"c","ApiKeys":[]}]`, true},
		{"empty key", `,"Tenants":[{"Name":"c","ApiKeys":[""]}]`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			decoded, err := platform.DecodeConfiguration([]byte(`{"Version":1,"Routes":[]` + c.fields + `}`))
			is.NoErr(err)
			// The stub of the store and tools write what they have read.
			encoded, err := json.Marshal(decoded)
			is.NoErr(err)
			again, err := platform.DecodeConfiguration(encoded)
			is.NoErr(err)
			for _, configuration := range []platform.Configuration{decoded, again} {
				table := routes.New(configuration)
				is.Equal(table.NeedsKey(&platform.Route{}), c.needsKey)
				is.True(!table.NeedsKey(&platform.Route{AuthExempt: true}))
				is.Equal(table.Customer(""), nil)
			}
		})
	}
}
