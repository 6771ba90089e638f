package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/stub/rawstub"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// uploadBytes is the size of a request's body that does not fit into the buffers of the sockets.
const uploadBytes = 3 << 20

// newUploadHarness returns a harness that accepts large bodies, with a server at each address.
func newUploadHarness(t *testing.T, addresses ...string) *harness {
	t.Helper()
	h := newHarness(t, 1<<20)
	large := configuration(2)
	large.Limits.BodyBytes = uploadBytes
	h.current.Advance(large)
	h.current.Confirm(h.now, 2)
	h.registerAt(1, addresses...)
	return h
}

// registerAt registers servers that have a new id for each generation, so that none is known to have failed.
func (h *harness) registerAt(generation int, addresses ...string) {
	var registered []platform.Server
	for index, address := range addresses {
		registered = append(registered, platform.Server{
			ID: ident.Endpoint("i" + strconv.Itoa(generation) + "-" + strconv.Itoa(index)), Service: "plain", Address: address,
			State: platform.ServerReady, Slots: 4,
		})
	}
	h.servers.Update(registered, nil, true)
}

func (h *harness) upload(t *testing.T, path string) (responseHead, string, error) {
	t.Helper()
	return h.send(t, path, func(r *http.Request) {
		body := strings.Repeat("x", uploadBytes)
		r.ContentLength, r.Body = int64(len(body)), io.NopCloser(strings.NewReader(body))
	})
}

// signedHead is the head of a signed response, up to its further fields.
func signedHead(status string) string {
	return "HTTP/1.1 " + status + "\r\n" + platform.HeaderRequestID + ": id-1\r\n" + platform.HeaderSignature + ": seal\r\n"
}

// TestPartOfEarlyResponse guards against parts of responses that reach callers as whole: a server responds to a long upload at once, without a length, sends
// part of its body and resets the connection while the upload is still written. Nothing is sent to the caller then, or the connection to it is broken.
func TestPartOfEarlyResponse(t *testing.T) {
	t.Parallel()
	const tries = 16
	for _, path := range []string{"/once/", "/get/", "/stream/", "/resume/"} {
		for name, response := range map[string]string{
			"text":   signedHead("200 OK") + "Content-Type: text/plain\r\n\r\npart",
			"json":   signedHead("200 OK") + "Content-Type: application/json\r\n\r\n{}",
			"stream": signedHead("200 OK") + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
			"empty":  signedHead("200 OK") + "\r\n",
			"long":   signedHead("200 OK") + "\r\n" + strings.Repeat("part\n\n", 20<<10),
			"error":  signedHead("500 Internal Server Error") + "\r\npart",
			"denial": signedHead("404 Not Found") + "\r\npart",
		} {
			for _, end := range []rawstub.Ending{rawstub.Closes, rawstub.Resets, rawstub.HalfCloses} {
				t.Run(path+name+"/"+string(end), func(t *testing.T) {
					t.Parallel()
					address := rawstub.StartScript(t, rawstub.Script{Response: response, Early: true, Ending: end})
					h := newUploadHarness(t, address, address)
					for try := range tries {
						h.registerAt(try+2, address, address)
						got, body, err := h.upload(t, path)
						if err == nil && got.Header.Get(platform.HeaderSignature) != "" {
							t.Fatalf("try %d: status %d and %d bytes were passed on as whole", try, got.StatusCode, len(body))
						}
					}
				})
			}
		}
	}
}

// TestPartOfEarlyResponseIsRetried checks that a request which may run twice is retried after such a response, and that another is not.
func TestPartOfEarlyResponseIsRetried(t *testing.T) {
	t.Parallel()
	for path, want := range map[string]int{"/get/": http.StatusOK, "/once/": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			broken := rawstub.Script{Response: signedHead("200 OK") + "\r\npart", Early: true, Ending: rawstub.Closes}
			sound := rawstub.Script{Response: signedHead("200 OK") + "Content-Length: 5\r\n\r\nwhole"}
			var served atomic.Int64
			address := rawstub.Start(t, func(conn *net.TCPConn) {
				if served.Add(1) == 1 {
					broken.Serve(conn)
				} else {
					sound.Serve(conn)
				}
			})
			h := newUploadHarness(t, address, address)
			got, body, err := h.upload(t, path)
			is.NoErr(err)
			is.Equal(got.StatusCode, want)
			is.Equal(got.Header.Get(platform.HeaderNotExecuted), "") // The server may have run the request.
			if want == http.StatusOK {
				is.Equal(body, "whole")
			}
		})
	}
}

// TestSoundEarlyResponse guards against sound servers that are taken for broken ones: refusals with a length that come before the upload was read, and a
// response that ends with the connection of a server which has read it.
func TestSoundEarlyResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		status int
		script rawstub.Script
	}{
		{"413", 413, rawstub.Script{Response: signedHead("413 Content Too Large") + "Content-Length: 5\r\n\r\nhello", Early: true, Ending: rawstub.Closes}},
		{"503", 503, rawstub.Script{Response: signedHead("503 Service Unavailable") + platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n", Early: true, Ending: rawstub.Closes}},
		{"200", 200, rawstub.Script{Response: signedHead("200 OK") + "Content-Length: 5\r\n\r\nhello", Early: true, Ending: rawstub.Closes}},
		{"HTTP/1.0", 200, rawstub.Script{Response: strings.Replace(signedHead("200 OK"), "1.1", "1.0", 1) + "\r\nhello", Ending: rawstub.Closes}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newUploadHarness(t, rawstub.StartScript(t, c.script))
			got, body, err := h.upload(t, "/once/")
			is.NoErr(err)
			is.Equal(got.StatusCode, c.status)
			if c.status != http.StatusServiceUnavailable {
				is.Equal(body, "hello")
			}
		})
	}
}
