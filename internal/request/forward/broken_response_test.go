package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/request/forward"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// framing is how a response shows where its body ends.
type framing string

const (
	withLength   framing = "length"
	oneChunk     framing = "one chunk"
	smallChunks  framing = "small chunks"
	byConnection framing = "end of connection"
)

// ending is what a server does in the middle of a response.
type ending string

const (
	closes ending = "closes"
	resets ending = "resets"
	// switches means that it writes an error response in place of the rest.
	switches ending = "switches"
)

// problem is the body of error responses, and wholeBody that of responses that are not streams.
const (
	problem   = "database is unavailable"
	wholeBody = "certificate 4711 of course 12"
)

// encodeResponse returns the bytes of a response.
func encodeResponse(status int, contentType, body string, form framing) (head, content string) {
	head = fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal\r\nContent-Type: %s\r\n", status, http.StatusText(status),
		platform.HeaderRequestID, "id-1", platform.HeaderSignature, contentType)
	switch form {
	case withLength:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n", body
	case byConnection:
		return head + "\r\n", body
	default:
		size := len(body)
		if form == smallChunks {
			size = 7
		}
		for rest := body; len(rest) > 0; {
			chunk := rest[:min(size, len(rest))]
			content += strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n"
			rest = rest[len(chunk):]
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n", content + "0\r\n\r\n"
	}
}

// rawServer serves each request with bytes of a script's choice.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	// respond returns the bytes of the response to a request, and how the connection ends; guarded by mu.
	respond func(request *http.Request, earlier int) (response string, end ending)
	// requests counts the requests since respond was set; guarded by mu.
	requests int
}

func startRawServer(t *testing.T) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &rawServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (s *rawServer) script(respond func(request *http.Request, earlier int) (string, ending)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond, s.requests = respond, 0
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	respond, earlier := s.respond, s.requests
	s.requests++
	s.mu.Unlock()
	response, end := respond(request, earlier)
	_, _ = io.WriteString(conn, response)
	if tcp, ok := conn.(*net.TCPConn); ok && end == resets {
		_ = tcp.SetLinger(0)
	}
}

// brokenResponseHarness sends requests to servers that are new each time, so that none is known to have failed.
type brokenResponseHarness struct {
	*harness
	server *rawServer
	count  int
}

func newBrokenResponseHarness(t *testing.T) *brokenResponseHarness {
	t.Helper()
	const retries = 1 << 20
	return &brokenResponseHarness{harness: newHarness(t, retries), server: startRawServer(t)}
}

func (h *brokenResponseHarness) send(t *testing.T, path string) (status int, body string, err error) {
	t.Helper()
	h.count++
	var fresh []platform.Server
	for index := range 2 {
		fresh = append(fresh, platform.Server{
			ID: ident.Endpoint(fmt.Sprintf("i-%d-%d", h.count, index)), Service: "plain", Address: h.server.listener.Addr().String(),
			State: platform.ServerReady, Slots: 4,
		})
	}
	h.servers.Update(fresh, nil, true)
	response, body, err := h.harness.send(t, path, nil)
	return response.StatusCode, body, err
}

// lastRecord returns the record of the last request.
func (h *brokenResponseHarness) lastRecord() forward.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[len(h.records)-1]
}

const streamEnd = 4

// respondedWhole reports whether what a caller got is a success, and complete.
func respondedWhole(status int, err error) bool { return err == nil && status == http.StatusOK }

// isEventPrefix reports whether a body consists of the first events of a stream, each whole.
func isEventPrefix(body string) bool {
	for last := range streamEnd + 1 {
		if body == events(1, last) {
			return true
		}
	}
	return false
}

// TestResponseBrokenAtEachByte guards against responses that are broken off and reach callers as complete ones, or with bytes that are no part of them: a
// server ends its response at each byte of its head and body, for each framing, in each way.
func TestResponseBrokenAtEachByte(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/get/", "/stream/", "/resume/"} {
		isStream := path == "/stream/" || path == "/resume/"
		contentType, content := "text/plain", wholeBody
		if isStream {
			contentType, content = "text/event-stream", events(1, streamEnd)
		}
		for _, form := range []framing{withLength, oneChunk, smallChunks, byConnection} {
			for _, end := range []ending{closes, resets, switches} {
				if end == switches && !isStream && form != smallChunks {
					// Nothing tells an error response in a body of unknown content from the body.
					continue
				}
				t.Run(path+string(form)+"/"+string(end), func(t *testing.T) {
					t.Parallel()
					h := newBrokenResponseHarness(t)
					head, body := encodeResponse(http.StatusOK, contentType, content, form)
					whole := head + body
					errorHead, errorBody := encodeResponse(http.StatusInternalServerError, "text/plain", problem, withLength)
					for length := range len(whole) + 1 {
						h.server.script(func(request *http.Request, earlier int) (string, ending) {
							if earlier > 0 {
								return continueStream(request, contentType, content, form), closes
							}
							if end == switches {
								return whole[:length] + errorHead + errorBody, end
							}
							return whole[:length], end
						})
						status, got, err := h.send(t, path)
						// What ends in order with its connection can't be told from what is whole, unless it ends inside an event.
						endsInOrder := form == byConnection && end == closes && length >= len(head)
						isWhole := got == content
						if endsInOrder && !isWhole {
							isWhole = strings.HasPrefix(content, got) && (!isStream || got != "" && isEventPrefix(got))
						}
						switch {
						case status == http.StatusOK && (strings.Contains(got, "HTTP/1.") || strings.Contains(got, problem)):
							t.Errorf("%d bytes of %q: got a part of an error response: %q", length, whole, got)
						case respondedWhole(status, err) && !isWhole:
							t.Errorf("%d bytes of %q: got as complete: %q", length, whole, got)
						case status == http.StatusOK && isStream && !isEventPrefix(got):
							t.Errorf("%d bytes of %q: got no events: %q", length, whole, got)
						case length == len(whole) && end == closes && (!respondedWhole(status, err) || got != content):
							t.Errorf("whole response %q: got status %d, %q, %v, %+v", whole, status, got, err, h.lastRecord())
						}
					}
				})
			}
		}
	}
}

// continueStream returns the bytes of a whole response: of the events behind those that the caller has, if the request names one.
func continueStream(request *http.Request, contentType, content string, form framing) string {
	if last, err := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID)); err == nil {
		content = events(last+1, streamEnd)
	}
	head, body := encodeResponse(http.StatusOK, contentType, content, form)
	return head + body
}

// TestErrorAfterBrokenStream guards against the text of an error response in a stream, and against its end that looks like that of the stream: a stream
// breaks at each byte, and the server that should resume it responds with an error, which may break at any byte as well.
func TestErrorAfterBrokenStream(t *testing.T) {
	t.Parallel()
	for _, form := range []framing{withLength, oneChunk, smallChunks, byConnection} {
		for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusOK} {
			t.Run(string(form)+"/"+strconv.Itoa(status), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newBrokenResponseHarness(t)
				head, body := encodeResponse(http.StatusOK, "text/event-stream", events(1, streamEnd), form)
				broken := head + body
				errorHead, errorBody := encodeResponse(status, "text/plain", problem, form)
				failure := errorHead + errorBody
				for length := len(head); length < len(broken); length++ {
					kept := failure[:len(failure)-length%len(failure)]
					h.server.script(func(_ *http.Request, earlier int) (string, ending) {
						if earlier == 0 {
							return broken[:length], resets
						}
						return kept, closes
					})
					got, text, err := h.send(t, "/resume/")
					if got != http.StatusOK {
						continue
					}
					is.True(!strings.Contains(text, "HTTP/1.") && !strings.Contains(text, problem))
					is.True(isEventPrefix(text))
					is.True(err != nil || text == events(1, streamEnd))
				}
			})
		}
	}
}
