package fleet_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// idle is a sidecar that gets no request.
type idle struct{}

// ServeStream implements link.Handler.
func (idle) ServeStream(*link.Incoming) {}

func hello() link.Hello {
	return link.Hello{MinVersion: link.VersionMin, MaxVersion: link.VersionMax, Process: "p", Incarnation: "i"}
}

// sidecar returns the address of a sidecar.
func sidecar(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(link.NewServer(link.ServerConfig{Hello: hello, Handler: idle{}}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// linked returns the ids of the pool's endpoints that take work.
func linked(f *fleet.Fleet) string {
	var ids []string
	for _, endpoint := range f.Candidates("pool") {
		ids = append(ids, string(endpoint.Configuration.ID))
	}
	return strings.Join(ids, " ")
}

// TestFailedEndpointsAreReplaced holds that an entry keeps its number of links when the first endpoints don't run.
func TestFailedEndpointsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const live = 4
	var all configuration.Configuration
	all.Version = 1
	addresses := []string{"127.0.0.1:1", "127.0.0.1:1"}
	for range live {
		addresses = append(addresses, sidecar(t))
	}
	for index, address := range addresses {
		all.Endpoints = append(all.Endpoints, configuration.Endpoint{
			ID: ident.Endpoint(fmt.Sprintf("e%d", index)), Pool: "pool", Domain: "d", Sidecar: address,
		})
	}
	f := fleet.New(fleet.Config{
		Hello: hello(), Events: event.New(event.Config{}), Scheme: "ws", LinksPerPool: func(int) int { return 2 },
	})
	defer f.Close()
	f.Update(snapshot.New(all))
	for deadline := time.Now().Add(20 * time.Second); linked(f) != "e2 e3" && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(linked(f), "e2 e3")
}

// TestDrainingEndpointKeepsLink holds that a leaving endpoint gets no work and stays linked.
func TestDrainingEndpointKeepsLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server := link.NewServer(link.ServerConfig{Hello: hello, Handler: idle{}})
	listening := httptest.NewServer(server)
	defer listening.Close()
	events := event.New(event.Config{})
	f := fleet.New(fleet.Config{Hello: hello(), Events: events, Scheme: "ws"})
	defer f.Close()
	ups := func() int {
		count := 0
		for _, recorded := range events.Events() {
			if recorded.Name == "link_up" {
				count++
			}
		}
		return count
	}
	all := configuration.Configuration{Version: 1, Endpoints: []configuration.Endpoint{
		{ID: "e", Pool: "pool", Domain: "d", Sidecar: strings.TrimPrefix(listening.URL, "http://")},
	}}
	for want := 1; want <= 2; want++ {
		f.Update(snapshot.New(all))
		for deadline := time.Now().Add(20 * time.Second); ups() < want && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(ups(), want)
		all.Version++
		all.Endpoints = []configuration.Endpoint{all.Endpoints[0]}
		all.Endpoints[0].Draining = true
	}
	is.Equal(linked(f), "")
}
