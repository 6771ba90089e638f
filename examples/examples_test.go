// Package examples checks that the sample deployments are valid and consistent.
package examples

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/settings"
	"vanillapond/internal/role/entry"
	"vanillapond/internal/role/sidecar"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// sample is the expected content of a sample deployment.
type sample struct {
	folder string
	// domains is the number of failure domains, endpoints that of endpoints per pool.
	domains   int
	endpoints map[ident.Pool]int
	classes   []ident.Class
	sidecars  []string
}

var samples = []sample{
	{
		folder: "vzorovna", domains: 4, endpoints: map[ident.Pool]int{"pond-llm": 12, "issuance-api": 4},
		classes:  []ident.Class{"chat", "checking", "drafting", "issuance"},
		sidecars: []string{"sidecar-llm.yaml", "sidecar-issuance.yaml"},
	},
	{
		folder: "sveti-zapis", domains: 4, endpoints: map[ident.Pool]int{"pond-writers": 20, "prijave-app": 4},
		classes:  []ident.Class{"chat", "drafting", "reservations", "summaries"},
		sidecars: []string{"sidecar-writer.yaml", "sidecar-prijave.yaml"},
	},
}

func TestConfigurations(t *testing.T) {
	t.Parallel()
	for _, s := range samples {
		t.Run(s.folder, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			patch, err := settings.Read[configuration.Patch](filepath.Join(s.folder, "configuration.yaml"))
			is.NoErr(err)
			applied, err := configuration.Configuration{}.Apply(patch)
			is.NoErr(err)
			domains := make(map[ident.FailureDomain]bool)
			endpoints := make(map[ident.Pool]int)
			for _, endpoint := range applied.Endpoints {
				domains[endpoint.Domain] = true
				endpoints[endpoint.Pool]++
			}
			is.Equal(len(domains), s.domains)
			is.Equal(endpoints, s.endpoints)
			var classes []ident.Class
			for _, class := range applied.Classes {
				classes = append(classes, class.ID)
			}
			is.Equal(classes, s.classes)
			is.Equal(len(applied.Customers), 10)
			weights := make(map[int]bool)
			for _, customer := range applied.Customers {
				weights[customer.Weight] = true
			}
			is.True(len(weights) >= 4) // The sample covers customers of different sizes.
		})
	}
}

func TestSettings(t *testing.T) {
	t.Parallel()
	for _, s := range samples {
		t.Run(s.folder, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := settings.Load[entry.Settings](filepath.Join(s.folder, "entry.yaml"))
			is.NoErr(err)
			patch, err := settings.Read[configuration.Patch](filepath.Join(s.folder, "configuration.yaml"))
			is.NoErr(err)
			for _, name := range s.sidecars {
				loaded, err := settings.Load[sidecar.Settings](filepath.Join(s.folder, name))
				is.NoErr(err)
				is.True(matches(patch, loaded)) // The configuration lists the endpoint with the sidecar's address.
			}
		})
	}
}

func matches(patch configuration.Patch, loaded sidecar.Settings) bool {
	for _, endpoint := range patch.Set.Endpoints {
		if endpoint.ID == loaded.Endpoint {
			return endpoint.Sidecar == loaded.Listen && endpoint.Domain == loaded.Domain
		}
	}
	return false
}
