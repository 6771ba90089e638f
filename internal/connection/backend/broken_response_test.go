package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/pkg/configuration"
)

// errorResponse is what a server writes in place of the rest of a response that it breaks off.
const errorResponse = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 23\r\n\r\ndatabase is unavailable"

// brokenServer writes the bytes of response to each request, and then closes the connection, by a reset if resets is set.
type brokenServer struct {
	address  string
	response atomic.Pointer[string]
	resets   bool
}

func startBrokenServer(t *testing.T, resets bool) *brokenServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &brokenServer{address: listener.Addr().String(), resets: resets}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *brokenServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, *s.response.Load())
	if tcp, ok := conn.(*net.TCPConn); ok && s.resets {
		_ = tcp.SetLinger(0)
	}
}

// capturedHead keeps the status and body of a response.
type capturedHead struct {
	status int
	body   strings.Builder
}

func (c *capturedHead) Head(status int, _ []link.Header) error { c.status = status; return nil }
func (c *capturedHead) Write(content []byte) (int, error)      { return c.body.Write(content) }
func (c *capturedHead) wholeEvents(content string) bool {
	return strings.HasPrefix(content, c.body.String()) && (c.body.Len() == 0 || strings.HasSuffix(c.body.String(), "\n\n"))
}

// TestResponseBrokenAtEachByte guards against responses that are broken off and reach callers as complete ones, or with bytes that are no part of them: a
// server ends its response at each byte of its head and body, for each framing, in each way.
func TestResponseBrokenAtEachByte(t *testing.T) {
	t.Parallel()
	const events = "data: {\"choices\":[]}\n\ndata: {\"choices\":[1]}\n\ndata: [DONE]\n\n"
	for _, c := range []struct {
		name, request, contentType, content string
		kind                                configuration.Kind
	}{
		{"engine stream", `{"stream":true}`, "text/event-stream", events, configuration.KindEngine},
		{"engine completion", `{}`, "application/json", `{"choices":[{"text":"hello"}],"usage":{"prompt_tokens":1}}`, configuration.KindEngine},
		{"service stream", `{}`, "text/event-stream", events, configuration.KindService},
		{"service", `{}`, "text/plain", "certificate 4711", configuration.KindService},
	} {
		isStream := c.contentType == "text/event-stream"
		for _, framing := range []string{"length", "chunks", "end of connection"} {
			for _, ending := range []string{"closes", "resets", "switches"} {
				if ending == "switches" && !isStream && framing != "chunks" {
					// Nothing tells an error response in a body of unknown content from the body.
					continue
				}
				t.Run(c.name+"/"+framing+"/"+ending, func(t *testing.T) {
					t.Parallel()
					head := "HTTP/1.1 200 OK\r\nContent-Type: " + c.contentType + "\r\nX-Build: 7\r\n"
					body := c.content
					switch framing {
					case "length":
						head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
					case "chunks":
						head += "Transfer-Encoding: chunked\r\n\r\n"
						var chunks strings.Builder
						for rest := body; len(rest) > 0; rest = rest[min(9, len(rest)):] {
							chunk := rest[:min(9, len(rest))]
							chunks.WriteString(strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n")
						}
						body = chunks.String() + "0\r\n\r\n"
					default:
						head += "\r\n"
					}
					whole := head + body
					server := startBrokenServer(t, ending == "resets")
					open := &link.Open{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(c.request), Request: "r1"}
					for length := range len(whole) + 1 {
						response := whole[:length]
						if ending == "switches" {
							response += errorResponse
						}
						server.response.Store(&response)
						var got capturedHead
						_, err := backend.New(backend.Config{BaseURL: "http://" + server.address, Kind: c.kind}).Run(t.Context(), open, &got)
						text := got.body.String()
						endsInOrder := framing == "end of connection" && ending == "closes" && length >= len(head) && c.kind == configuration.KindService
						isWhole := text == c.content || endsInOrder && strings.HasPrefix(c.content, text) && (!isStream || got.wholeEvents(c.content))
						switch {
						case got.status == http.StatusOK && (isStream || err == nil) && (strings.Contains(text, "HTTP/1.") || strings.Contains(text, "database")):
							t.Errorf("%d bytes: got a part of an error response: %q", length, text)
						case got.status == http.StatusOK && err == nil && !isWhole:
							t.Errorf("%d bytes: got as complete: %q", length, text)
						case isStream && got.status == http.StatusOK && !got.wholeEvents(c.content):
							t.Errorf("%d bytes: got a part of an event: %q", length, text)
						case length == len(whole) && ending == "closes" && (err != nil || text != c.content):
							t.Errorf("whole response: got %q, %v", text, err)
						}
					}
				})
			}
		}
	}
}
