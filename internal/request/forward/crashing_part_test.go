package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// crashingPart is the id of the prompt part that crashes the servers of a crashFleet.
const crashingPart = 0xbad0

// crashFleet is a set of servers of which each crashes when it begins to answer a request with crashingPart; another server takes its
// place at once.
type crashFleet struct {
	t *testing.T
	h *harness
	// mu guards the other fields.
	mu sync.Mutex
	// started counts the servers that were started, crashes those that crashed.
	started, crashes int
	// arrivals holds, for each request with crashingPart that reached a server, how many servers had crashed before.
	arrivals []int
}

// start starts and registers a server.
func (f *crashFleet) start() {
	f.mu.Lock()
	id := ident.Endpoint("e" + strconv.Itoa(f.started))
	f.started++
	f.mu.Unlock()
	var once sync.Once
	var server *httptest.Server
	crash := func() {
		once.Do(func() {
			f.mu.Lock()
			f.crashes++
			f.mu.Unlock()
			_ = server.Listener.Close()
			server.CloseClientConnections()
			go func() {
				f.h.servers.Update(nil, []ident.Endpoint{id}, false)
				f.start()
			}()
		})
	}
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !slices.Contains(platform.SharedParts(r.Header), crashingPart) {
			streamEvents(1, 3, true)(w, r)
			return
		}
		f.mu.Lock()
		f.arrivals = append(f.arrivals, f.crashes)
		f.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		crash()
		panic(http.ErrAbortHandler)
	}))
	f.t.Cleanup(server.CloseClientConnections)
	f.h.servers.Update([]platform.Server{{
		ID: id, Service: "engine", Address: server.Listener.Addr().String(), State: platform.ServerReady, Slots: 8,
	}}, nil, false)
}

// arrivalsAfter counts the requests with crashingPart that reached a server after the given number of crashes.
func (f *crashFleet) arrivalsAfter(crashes int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, before := range f.arrivals {
		if before >= crashes {
			count++
		}
	}
	return count
}

func newCrashFleet(t *testing.T, size int) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, h: newHarness(t, 1000)}
	for range size {
		f.start()
	}
	return f
}

// send sends a request with these shared parts and a part of its own, and reports whether it was served.
func (f *crashFleet) send(number int, shared ...uint64) bool {
	prompt := platform.Prompt{Tokens: 800, MaxOutput: 40}
	for _, part := range append(shared, uint64(1_000_000+number)) {
		prompt.Parts = append(prompt.Parts, platform.PromptPart{ID: part, Tokens: 200})
	}
	response, _, err := f.h.send(f.t, "/engine/"+strconv.Itoa(number), func(r *http.Request) {
		r.Header.Set(platform.HeaderRequestID, strconv.Itoa(number))
		platformtest.SetPrompt(r.Header, prompt)
	})
	return err == nil && response.StatusCode == http.StatusOK
}

// TestPromptPartThatCrashesServers verifies that requests which share nothing but one part of their prompts, under which servers crash,
// no longer reach servers, while sound requests with the same key and the same other parts are served.
func TestPromptPartThatCrashesServers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		shared []uint64
	}{
		{name: "first", shared: []uint64{crashingPart, 0x5ca1e, 0xd0c1}},
		{name: "middle", shared: []uint64{0x5ca1e, crashingPart, 0xd0c1}},
		{name: "last shared", shared: []uint64{0x5ca1e, 0xd0c1, crashingPart}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newCrashFleet(t, 12)
			const sent = 60
			served, soundAfter := 0, 0
			for number := range sent {
				var group sync.WaitGroup
				group.Go(func() { f.send(2*number, c.shared...) })
				group.Go(func() {
					f.mu.Lock()
					after := f.crashes >= 5
					f.mu.Unlock()
					ok := f.send(2*number+1, 0x5ca1e, uint64(0xd0c0+number%3))
					f.mu.Lock()
					defer f.mu.Unlock()
					if after || number > sent/2 {
						soundAfter++
						if ok {
							served++
						}
					}
				})
				group.Wait()
			}
			is.True(f.arrivalsAfter(5) <= 3)
			is.True(soundAfter >= 20)
			is.True(2*served >= soundAfter)
		})
	}
}
