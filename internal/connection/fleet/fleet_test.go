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

// idleHandler handles the streams of a sidecar that receives no request.
type idleHandler struct{}

// ServeStream implements link.Handler.
func (idleHandler) ServeStream(*link.Incoming) {}

func hello() link.Hello {
	return link.Hello{MinVersion: link.VersionMin, MaxVersion: link.VersionMax, Process: "p", Incarnation: "i"}
}

// startSidecar starts a sidecar and returns its address.
func startSidecar(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(link.NewServer(link.ServerConfig{Hello: hello, Handler: idleHandler{}}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// candidateIDs returns the ids of the pool's endpoints that accept requests, separated by spaces.
func candidateIDs(f *fleet.Fleet) string {
	var ids []string
	for _, endpoint := range f.Candidates("pool") {
		ids = append(ids, string(endpoint.Configuration.ID))
	}
	return strings.Join(ids, " ")
}

// TestFailedEndpointsAreReplaced checks that an entry keeps its number of links per pool by linking further endpoints if
// the first ones are unreachable.
func TestFailedEndpointsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const running = 4
	var config configuration.Configuration
	config.Version = 1
	addresses := []string{"127.0.0.1:1", "127.0.0.1:1"}
	for range running {
		addresses = append(addresses, startSidecar(t))
	}
	for index, address := range addresses {
		config.Endpoints = append(config.Endpoints, configuration.Endpoint{
			ID: ident.Endpoint(fmt.Sprintf("e%d", index)), Pool: "pool", Domain: "d", Sidecar: address,
		})
	}
	f := fleet.New(fleet.Config{
		Hello: hello(), Events: event.New(event.Config{}), Scheme: "ws", LinksPerPool: func(int) int { return 2 },
	})
	defer f.Close()
	f.Update(snapshot.New(config))
	for deadline := time.Now().Add(20 * time.Second); candidateIDs(f) != "e2 e3" && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(candidateIDs(f), "e2 e3")
}

// TestDrainingEndpointKeepsLink checks that a draining endpoint gets no requests but stays linked.
func TestDrainingEndpointKeepsLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	handler := link.NewServer(link.ServerConfig{Hello: hello, Handler: idleHandler{}})
	server := httptest.NewServer(handler)
	defer server.Close()
	events := event.New(event.Config{})
	f := fleet.New(fleet.Config{Hello: hello(), Events: events, Scheme: "ws"})
	defer f.Close()
	linkCount := func() int {
		count := 0
		for _, recorded := range events.Events() {
			if recorded.Name == "link_up" {
				count++
			}
		}
		return count
	}
	config := configuration.Configuration{Version: 1, Endpoints: []configuration.Endpoint{
		{ID: "e", Pool: "pool", Domain: "d", Sidecar: strings.TrimPrefix(server.URL, "http://")},
	}}
	for want := 1; want <= 2; want++ {
		f.Update(snapshot.New(config))
		for deadline := time.Now().Add(20 * time.Second); linkCount() < want && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(linkCount(), want)
		config.Version++
		config.Endpoints = []configuration.Endpoint{config.Endpoints[0]}
		config.Endpoints[0].Draining = true
	}
	is.Equal(candidateIDs(f), "")
}
