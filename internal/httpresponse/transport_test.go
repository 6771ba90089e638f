package httpresponse_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/httpresponse"
	"vanillapond/internal/stub/rawstub"
)

// uploadBytes is the size of a request's body that does not fit into the buffers of the sockets.
const uploadBytes = 3 << 20

// get sends a request with a body of a size and returns the body of the response.
func get(t *testing.T, client *http.Client, address string, size int) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	client := httpresponse.NewClient(&http.Transport{})
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// TestUnframedResponseDuringUpload guards against parts of responses that are taken for whole: a server responds without a length while the request is
// still being written, and its connection ends.
func TestUnframedResponseDuringUpload(t *testing.T) {
	t.Parallel()
	const tries = 16
	for name, response := range map[string]string{"part": "HTTP/1.1 200 OK\r\n\r\npart", "empty": "HTTP/1.1 200 OK\r\n\r\n", "HTTP 1.0": "HTTP/1.0 200 OK\r\n\r\n{}"} {
		for _, ending := range []rawstub.Ending{rawstub.Closes, rawstub.Resets, rawstub.HalfCloses} {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(name+"/"+string(ending)+"/"+delay.String(), func(t *testing.T) {
					t.Parallel()
					client := newClient(t)
					address := rawstub.StartScript(t, rawstub.Script{Response: response, Early: true, Ending: ending, Delay: delay})
					for try := range tries {
						if body, err := get(t, client, address, uploadBytes); err == nil {
							t.Fatalf("try %d: %q was taken for whole", try, body)
						}
					}
				})
			}
		}
	}
}

// TestSoundResponses guards against sound servers that are taken for broken ones.
func TestSoundResponses(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]rawstub.Script{
		"early with a length": {Response: "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello", Early: true, Delay: 20 * time.Millisecond},
		"without a length":    {Response: "HTTP/1.1 200 OK\r\n\r\nhello"},
		"HTTP 1.0":            {Response: "HTTP/1.0 200 OK\r\n\r\nhello"},
		"interim response":    {Response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello"},
	} {
		for _, size := range []int{0, 100, uploadBytes} {
			if script.Early && size < uploadBytes {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				client := newClient(t)
				address := rawstub.StartScript(t, script)
				for range 10 {
					body, err := get(t, client, address, size)
					if script.Early && errors.Is(err, io.ErrUnexpectedEOF) {
						continue
					}
					is.NoErr(err)
					is.Equal(body, "hello")
				}
			})
		}
	}
}

// TestEndedInOrder checks the ends of a connection, in each order of reset, end of file and failed write.
func TestEndedInOrder(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		end     func(conn *net.TCPConn)
		write   bool
		inOrder bool
	}{
		{name: "close", end: func(*net.TCPConn) {}, inOrder: true},
		{name: "close with bytes unread", end: func(conn *net.TCPConn) { _, _ = conn.Read(make([]byte, 1)) }, write: true},
		{name: "half-close", end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(200 * time.Millisecond) }, inOrder: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var dialer net.Dialer
			conn, err := dialer.DialContext(t.Context(), "tcp", rawstub.Start(t, c.end))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			if c.write {
				_, err = conn.Write(make([]byte, 100))
				is.NoErr(err)
				time.Sleep(50 * time.Millisecond)
				// This write gets the reset.
				_, err = conn.Write(make([]byte, 100))
				is.True(err != nil)
			}
			_, err = conn.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
			is.Equal(httpresponse.EndedInOrder(t.Context(), conn), c.inOrder)
		})
	}
}
