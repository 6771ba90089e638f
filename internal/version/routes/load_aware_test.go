package routes_test

import (
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// TestLoadAware guards against load-aware routing in deployments whose streams allow only short pauses, which the reservation of engines serves.
func TestLoadAware(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		pauses        []platform.Milliseconds
		engine, plain bool
	}{
		{pauses: []platform.Milliseconds{1200, 300}, engine: true, plain: true},
		{pauses: []platform.Milliseconds{600, 220}},
		{pauses: []platform.Milliseconds{600, 0}, engine: true, plain: true},
		{},
	} {
		is := is.New(t)
		configuration := platform.Configuration{Services: []platform.Service{{Name: "engines", Engine: &platform.Engine{}}, {Name: "plain"}}}
		for _, pause := range c.pauses {
			configuration.Routes = append(configuration.Routes, platform.Route{
				Kind: platform.Streaming, MaxPause: pause,
				Split: []platform.WeightedService{{Service: "engines", Weight: 1}, {Service: "other", Weight: 1}},
			})
		}
		table := routes.New(configuration)
		is.Equal(table.LoadAware("engines"), c.engine)
		is.Equal(table.LoadAware("plain"), c.plain)
		is.True(!table.LoadAware(ident.Pool("unknown")))
	}
}
