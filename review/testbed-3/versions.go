package main

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillapond/platform/platformtest"
)

func init() { testCases["software-versions"] = softwareVersions }

// Streams of the case with several software versions.
const (
	streamEvents     = 92
	longStreamEvents = 118
	eventInterval    = 120 * time.Millisecond
)

// softwareVersions replaces the software of the servers in place, one after the other and the idle ones first, while the store is away, and counts the streams that hold events
// of both versions.
func softwareVersions(ctx context.Context, b *bed, trouble bool) (verdict, error) {
	const (
		clients    = 12
		allowed    = 2
		deadline   = 15 * time.Second
		calm       = time.Second
		restarting = 2 * time.Second
		between    = 2500 * time.Millisecond
		away       = 8 * time.Second
	)
	b.configure(map[string]any{
		"Routes": []any{map[string]any{
			"Name": "r-draft", "Hostname": hostName, "PathPrefix": "/draft/", "RouteType": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 500,
			"Priority": 1, "Service": "pond-llm", "MaxAttempts": 3, "AuthExempt": true, "Sticky": true, "Resumable": true, "GapTargetMs": 250,
		}},
		"Services": []any{map[string]any{
			"Name": "pond-llm", "HealthPath": "/healthz", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 64, "KvTokens": 251543, "Stride": 3, "Models": []any{map[string]any{"Name": "m"}}},
		}},
	})
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if err := b.addServer(id, "pond-llm", 64, answerStream); err != nil {
			return verdict{}, err
		}
	}
	if err := b.startRouters(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactBound)
	streams := &streamLog{}
	var reading sync.WaitGroup
	for index := range clients {
		reading.Go(func() {
			one := &streamReader{}
			one.read(ctx, b, b.routers[index%len(b.routers)], call{
				method: http.MethodPost, path: "/draft/1", deadline: deadline, body: "{}",
				header: map[string]string{"X-Model": "m", "X-Token-Counts": "400,276", "X-Prompt-Prefix": sprintf("5c1e07a2:300,%x:100", index+1)},
			})
			streams.add(b, one)
		})
	}
	if trouble {
		time.Sleep(calm)
		b.record.line("store: away, all calls get 503")
		b.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Refuse })
		back := time.AfterFunc(away, func() {
			b.store.ClearFaults()
			b.record.line("store: back")
			for _, each := range b.servers {
				each.register()
			}
		})
		defer back.Stop()
		time.Sleep(calm / 2)
		for _, each := range idleFirst(b.servers) {
			each.crash()
			time.Sleep(restarting)
			if err := each.restart("v2"); err != nil {
				return verdict{}, err
			}
			time.Sleep(between - restarting)
		}
	}
	reading.Wait()
	if !trouble && streams.whole < streams.count {
		return verdict{}, errorf("%d of %d streams are whole without a disruption", streams.whole, streams.count)
	}
	text := sprintf("%d of %d streams hold events of two software versions, %d are allowed", streams.joined, streams.count, allowed)
	return verdict{broken: streams.joined > allowed, text: text}, nil
}

// streamLog counts streams.
type streamLog struct {
	mu sync.Mutex
	// count counts all streams, whole those with all events, and joined those with events of several software versions; guarded by mu.
	count, whole, joined int
}

func (l *streamLog) add(b *bed, s *streamReader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if s.events == streamEvents {
		l.whole++
	}
	if len(s.versions) > 1 {
		l.joined++
	}
	b.record.line("client: stream %s held %d events of software %s, end: %v", s.id, s.events, strings.Join(s.versions, " then "), s.end)
}

// idleFirst returns the servers, those that have run fewer requests first.
func idleFirst(servers []*server) []*server {
	return slices.SortedStableFunc(slices.Values(servers), func(x, y *server) int { return cmp.Compare(x.runCount(), y.runCount()) })
}

// streamReader is what a client has of a stream.
type streamReader struct {
	id     string
	events int
	// versions are the software versions of the events, in order, each once in a row.
	versions []string
	end      error
	// retryAfter is what a refusal asks for.
	retryAfter time.Duration
}

// read makes a call and reads its events until the end of the answer.
func (s *streamReader) read(ctx context.Context, b *bed, r *router, c call) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	request, err := newRequest(ctx, r, &c)
	s.id = c.id
	if err != nil {
		s.end = err
		return
	}
	response, err := newClient().Do(request)
	if err != nil {
		s.end = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	b.record.line("client: stream %s through %s: status %d", c.id, r.name, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		s.retryAfter = time.Duration(seconds * float64(time.Second))
		s.end = errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(content)))
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		s.events++
		version, _, _ := strings.Cut(data, " ")
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
			s.versions = append(s.versions, version)
		}
	}
	s.end = lines.Err()
}

// answerLongStream is like answerStream, for longer streams.
func answerLongStream(s *server, w http.ResponseWriter, request *http.Request) {
	writeStream(s, w, request, longStreamEvents)
}

// answerStream answers with the events behind the one that the request names as the last one. Each event holds the version of the software that made it.
func answerStream(s *server, w http.ResponseWriter, request *http.Request) {
	writeStream(s, w, request, streamEvents)
}

func writeStream(s *server, w http.ResponseWriter, request *http.Request, events int) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Load", "6,0,64")
	version := s.softwareVersion()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for event := last + 1; event <= events; event++ {
		if _, err := io.WriteString(w, sprintf("id: %d\ndata: %s piece %d\n\n", event, version, event)); err != nil || controller.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}
