package router_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
	"vanillapond/platform/storewire"
)

// startStreamServer starts and registers a server with a software version. It sends the first three events of a stream and waits for the
// caller to leave, and completes a stream that is taken up; each event holds the software version.
func (h *harness) startStreamServer(t *testing.T, id ident.Endpoint, software ident.Software) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		first, last := 1, 3
		if request.Header.Get(platform.HeaderLastEventID) != "" {
			first, last = 4, 5
		}
		for event := first; event <= last; event++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, software)
		}
		_ = http.NewResponseController(w).Flush()
		if last == 3 {
			<-request.Context().Done()
		}
	}))
	t.Cleanup(backend.Close)
	h.store.Put(platform.ServersTable, string(id), platform.Server{
		Service: "s", Address: backend.Listener.Addr().String(), Domain: "a", State: platform.ServerReady, Slots: 4, StartedUnixMS: 1,
		Software: software,
	})
}

// stream sends a stream request to a router, and returns the status, the software versions of the events until limit of them have come or the
// stream ends, and the Retry-After of a refusal. It then leaves.
func (h *harness) stream(t *testing.T, index int, id, resumes string, limit int) (status int, versions []string, retryAfter string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.callerURLs[index]+"/stream/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "4000")
	request.Header.Set("Authorization", platform.KeyScheme+"right")
	if resumes != "" {
		request.Header.Set(platform.HeaderResumes, resumes)
	}
	if strings.HasPrefix(id, "second") || strings.HasPrefix(id, "third") {
		request.Header.Set(platform.HeaderLastEventID, "3")
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for len(versions) < limit && lines.Scan() {
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
			versions = append(versions, version)
		}
	}
	return response.StatusCode, versions, response.Header.Get("Retry-After")
}

// startSoftwareRouters starts routers and two servers of each of two software versions.
func startSoftwareRouters(t *testing.T, count int) *harness {
	t.Helper()
	h := startRouters(t, count)
	h.store.Delete(platform.ServersTable, "i-1")
	for index, software := range []ident.Software{"v1", "v2", "v1", "v2"} {
		h.startStreamServer(t, ident.Endpoint("i-1"+strconv.Itoa(index)), software)
	}
	for index := range count {
		eventually(t, "servers known", func() bool { return len(h.state(t, index).Servers) == 4 })
		eventually(t, "peers known", func() bool { return len(h.state(t, index).Peers) == count-1 })
	}
	return h
}

// TestStreamTakenUpStaysAtItsSoftwareVersion checks that a stream that its caller takes up again at any router goes on at a server with the
// software version that began it, also if the router that relayed its beginning has stopped; a router that cannot learn the version refuses
// at once and says when to come back.
func TestStreamTakenUpStaysAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const routers, streams = 3, 16
	h := startSoftwareRouters(t, routers)
	begun := make([]string, streams)
	takeUp := func(index, at int) {
		is := is.New(t)
		status, versions, _ := h.stream(t, at, fmt.Sprintf("second-%d-%d", index, at), "first-"+strconv.Itoa(index), 2)
		is.Equal(status, http.StatusOK)
		is.Equal(versions, []string{begun[index], begun[index]})
	}
	for index := range streams {
		status, versions, _ := h.stream(t, 0, "first-"+strconv.Itoa(index), "", 3)
		is.Equal(status, http.StatusOK)
		is.Equal(len(versions), 3)
		begun[index] = versions[0]
		takeUp(index, index%routers)
	}
	h.routers[0].Stop(context.Background())
	for index := range streams {
		takeUp(index, 1+index%2)
	}
	status, _, retryAfter := h.stream(t, 1, "second-unknown", "first-unknown", 2)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(retryAfter != "")
	for _, each := range h.routers[1:] {
		each.Stop(context.Background())
	}
}

// TestStreamTakenUpAtOnce checks that a stream goes on whose caller takes it up before the holders of its origin were told of it, in a fleet
// so large that the router that began it is not asked itself.
func TestStreamTakenUpAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const routers, streams = 20, 20
	h := startSoftwareRouters(t, routers)
	refused := 0
	for index := range streams {
		id := "first-" + strconv.Itoa(index)
		status, begun, _ := h.stream(t, index%routers, id, "", 1)
		is.Equal(status, http.StatusOK)
		is.Equal(len(begun), 1)
		status, versions, _ := h.stream(t, (index+1)%routers, "second-"+strconv.Itoa(index), id, 2)
		if status != http.StatusOK {
			refused++
			continue
		}
		is.Equal(versions, []string{begun[0], begun[0]})
	}
	is.Equal(refused, 0)
	h.stop()
}

// TestStreamTakenUpAfterAllRestarted checks that a stream that its caller takes up after all routers have ended and started again goes on if its
// service has had one software version only, and is refused if another has served before.
func TestStreamTakenUpAfterAllRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	h.store.Delete(platform.ServersTable, "i-1")
	for _, id := range []ident.Endpoint{"i-10", "i-11"} {
		h.startStreamServer(t, id, "")
	}
	for index := range 2 {
		eventually(t, "servers known", func() bool { return len(h.state(t, index).Servers) == 2 })
	}
	_, versions, _ := h.stream(t, 0, "first", "", 3)
	is.Equal(len(versions), 3)
	eventually(t, "versions stored", func() bool { return strings.Contains(h.logs[0].String()+h.logs[1].String(), "event=software_versions") })

	h.restartAll(t)
	for index := range 2 {
		eventually(t, "peers known", func() bool { return len(h.state(t, index).Peers) == 1 })
	}
	for index, resumes := range []string{"first", ""} {
		eventually(t, "stream goes on", func() bool {
			_, versions, _ := h.stream(t, index, "second-"+resumes, resumes, 2)
			return len(versions) == 2
		})
	}
	for _, log := range h.logs {
		eventually(t, "question logged", func() bool { return strings.Contains(log.String(), "event=stream_origin") })
		is.True(!strings.Contains(log.String(), "event=peer_report_refused"))
	}

	for _, id := range []string{"i-10", "i-11"} {
		h.store.Delete(platform.ServersTable, id)
	}
	for _, id := range []ident.Endpoint{"i-12", "i-13"} {
		h.startStreamServer(t, id, "v2")
	}
	eventually(t, "versions stored", func() bool { return strings.Contains(h.logs[0].String()+h.logs[1].String(), "present=[v2]") })
	h.restartAll(t)
	for range 10 {
		for index := range 2 {
			status, _, retryAfter := h.stream(t, index, "third", "first", 2)
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(retryAfter != "")
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.stop()
}

// TestNewVersionIsStoredBeforeItsStreamsBegin guards against streams that are joined from two software versions: a new version began streams while the
// store accepted no writes, its servers ended together with all routers, and the routers that started again took the old version for the only one.
func TestNewVersionIsStoredBeforeItsStreamsBegin(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	h.store.Delete(platform.ServersTable, "i-1")
	h.startStreamServer(t, "i-10", "")
	for index := range 2 {
		eventually(t, "servers known", func() bool { return len(h.state(t, index).Servers) == 1 })
	}
	eventually(t, "versions stored", func() bool { return len(h.store.Rows("software")) > 0 })
	h.store.InjectFaults(func(path string, _ int) platformtest.Fault {
		if path == storewire.PathCommit {
			return platformtest.Refuse
		}
		return 0
	})
	h.startStreamServer(t, "i-20", "v2")
	for index := range 2 {
		eventually(t, "servers known", func() bool { return len(h.state(t, index).Servers) == 2 })
	}
	const streams = 20
	begun := make([]string, streams)
	for index := range streams {
		status, versions, _ := h.stream(t, index%2, "first-"+strconv.Itoa(index), "", 3)
		is.Equal(status, http.StatusOK)
		begun[index] = versions[0]
	}
	h.store.Delete(platform.ServersTable, "i-20")
	h.restartAll(t)
	h.store.ClearFaults()
	goesOn := 0
	for index := range streams {
		id := "first-" + strconv.Itoa(index)
		eventually(t, "stream taken up", func() bool {
			status, versions, _ := h.stream(t, index%2, "second-"+strconv.Itoa(index), id, 2)
			if status != http.StatusOK {
				return begun[index] != ""
			}
			goesOn++
			is.Equal(versions, []string{begun[index], begun[index]})
			return true
		})
	}
	is.True(goesOn > 0)
	h.stop()
}
