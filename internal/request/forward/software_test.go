package forward_test

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// softwareLog records at which software versions the events of each stream were made.
type softwareLog struct {
	mu sync.Mutex
	// versions holds the versions of the servers that got each request, in order; guarded by mu.
	versions map[string][]ident.Software
}

// interrupting returns a handler of a server with a software version, which interrupts new streams after the third event and completes
// those that are resumed.
func (l *softwareLog) interrupting(software ident.Software) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		id := r.Header.Get(platform.HeaderRequestID)
		l.versions[id] = append(l.versions[id], software)
		l.mu.Unlock()
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			streamEvents(1, 3, false)(w, r)
			return
		}
		streamEvents(4, 5, true)(w, r)
	}
}

// newSoftwareHarness starts a forwarder and servers with these software versions.
func newSoftwareHarness(t *testing.T, versions ...ident.Software) (*harness, *softwareLog) {
	t.Helper()
	log := &softwareLog{versions: make(map[string][]ident.Software)}
	var handlers []http.HandlerFunc
	for _, software := range versions {
		handlers = append(handlers, log.interrupting(software))
	}
	h := newHarness(t, 100, handlers...)
	for index, software := range versions {
		h.registered[index].Software = software
	}
	h.servers.Update(h.registered, nil, true)
	return h, log
}

// TestStreamStaysAtItsSoftwareVersion checks that a stream that is interrupted goes on within one response only at a server with the software
// version that began it, and does so while there is one.
func TestStreamStaysAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	h, log := newSoftwareHarness(t, "v1", "v2", "v1", "v2", "v3", "v3")
	for index := range 30 {
		is := is.New(t)
		id := "id-" + strconv.Itoa(index)
		_, body, err := h.send(t, "/resume/", func(r *http.Request) { r.Header.Set(platform.HeaderRequestID, id) })
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2 3 4 5")
		is.Equal(len(log.versions[id]), 2)
		is.Equal(log.versions[id][0], log.versions[id][1])
	}
}

// TestStreamWithoutServerOfItsVersion checks that an interrupted stream ends as incomplete if no other server has the version that began it.
func TestStreamWithoutServerOfItsVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, log := newSoftwareHarness(t, "v1", "v2")
	_, body, err := h.send(t, "/resume/", nil)
	is.True(err != nil)
	is.Equal(eventIDs(body), "1 2 3")
	is.Equal(len(log.versions["id-1"]), 1)
}

// TestStreamTakenUpStaysAtItsService checks that a stream that its caller takes up goes on at the service that began it while the route, which is
// split between two services, leads there, and at the other one once it does not.
func TestStreamTakenUpStaysAtItsService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, streamEvents(4, 5, true), streamEvents(6, 7, true))
	split := func(revision table.Revision, plain, other float64) {
		changed := configuration(ident.Version(revision))
		changed.Services = append(changed.Services, platform.Service{Name: "other", MaxConnections: 100})
		for index := range changed.Routes {
			changed.Routes[index].Split = []platform.WeightedService{{Service: "plain", Weight: plain}, {Service: "other", Weight: other}}
		}
		h.current.Advance(changed)
		h.current.Confirm(h.clockReading(), revision)
	}
	h.registered[1].Service = "other"
	h.servers.Update(h.registered, nil, true)
	h.origin.Service = "other"
	takeUp := func(r *http.Request) {
		r.Header.Set(platform.HeaderResumes, "first")
		r.Header.Set(platform.HeaderLastEventID, "3")
	}
	split(2, 1, 1)
	for range 20 {
		_, body, err := h.send(t, "/resume/", takeUp)
		is.NoErr(err)
		is.Equal(eventIDs(body), "6 7")
	}
	is.Equal(h.records[0].Service, ident.Pool("other"))
	split(3, 1, 0)
	_, body, err := h.send(t, "/resume/", takeUp)
	is.NoErr(err)
	is.Equal(eventIDs(body), "4 5")
}

// TestStreamsBeginAtStoredVersions checks that a stream that may be taken up begins at a version that the store does not know only if no server has
// another one; other requests may go there.
func TestStreamsBeginAtStoredVersions(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path     string
		versions []ident.Software
		unstored []ident.Software
		used     []ident.Software
	}{
		{"/resume/", []ident.Software{"v1", "v2", "v2"}, []ident.Software{"v2"}, []ident.Software{"v1"}},
		{"/resume/", []ident.Software{"v2", "v3", "v2"}, []ident.Software{"v2", "v3"}, []ident.Software{"v2", "v3"}},
		{"/stream/", []ident.Software{"v1", "v2", "v2"}, []ident.Software{"v2"}, []ident.Software{"v1", "v2"}},
	} {
		is := is.New(t)
		h, log := newSoftwareHarness(t, c.versions...)
		h.origin.unstored = c.unstored
		used := make(map[ident.Software]bool)
		for index := range 20 {
			id := "id-" + strconv.Itoa(index)
			_, _, _ = h.send(t, c.path, func(r *http.Request) { r.Header.Set(platform.HeaderRequestID, id) })
			used[log.versions[id][0]] = true
		}
		is.Equal(slices.Sorted(maps.Keys(used)), c.used)
	}
}
