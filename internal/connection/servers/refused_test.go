package servers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// TestUncertainSoftware guards against a server that is taken for one of its earlier software version, because it started again while its registration
// could not be read.
func TestUncertainSoftware(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now, asOf := clock.Reading(time.Hour), clock.Reading(time.Hour)
	registry := servers.New(servers.Config{
		NewPool: func(server platform.Server) *direct.Pool { return direct.New(direct.Config{Address: server.Address}) },
		Now:     func() clock.Reading { return now }, ListAsOf: func() clock.Reading { return asOf }, RegistrationTimeout: 4 * time.Second,
	})
	registered := platform.Server{ID: "i-1", Service: "s", Address: "a:1", State: platform.ServerReady, StartedUnixMS: 1, Software: "v1"}
	other := registered
	other.ID = "i-2"
	registry.Update([]platform.Server{registered, other}, nil, true)
	is.Equal(len(registry.WithUncertainSoftware()), 0)

	incarnation := ident.ServerStart{ID: "i-1", StartedUnixMS: 1}
	registry.MarkRefused(ident.ServerStart{ID: "i-1", StartedUnixMS: 0})
	is.Equal(len(registry.WithUncertainSoftware()), 0) // an earlier start
	registry.MarkRefused(incarnation)
	is.Equal(registry.WithUncertainSoftware(), []ident.Endpoint{"i-1"})
	now = now.Add(time.Minute)
	registry.Sweep()
	is.Equal(registry.WithUncertainSoftware(), []ident.Endpoint{"i-1"}) // the list is as old as before
	asOf = asOf.Add(5 * time.Second)
	is.Equal(len(registry.WithUncertainSoftware()), 0)

	registry.MarkRefused(incarnation)
	is.Equal(len(registry.WithUncertainSoftware()), 1)
	registered.StartedUnixMS, registered.Software = 2, "v2"
	registry.Update([]platform.Server{registered}, nil, false)
	is.Equal(len(registry.WithUncertainSoftware()), 0)
}
