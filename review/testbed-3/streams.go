package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vanillapond/platform"
)

// Streams that servers answer with.
const (
	longStreamEvents = 118
	eventInterval    = 120 * time.Millisecond
)

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

// answerLongStream answers with the events behind the one that the request names as the last one. Each event holds the version of the software that made it.
func answerLongStream(s *server, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(platform.HeaderServerLoad, "6,0,64")
	last, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID))
	controller := http.NewResponseController(w)
	for event := last + 1; event <= longStreamEvents; event++ {
		if _, err := io.WriteString(w, sprintf("id: %d\ndata: %s piece %d\n\n", event, s.version, event)); err != nil || controller.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}
