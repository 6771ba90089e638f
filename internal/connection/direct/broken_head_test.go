package direct_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testHead sends a request whose response is the given bytes, and checks whether it fails, which has to be soon.
func testHead(t *testing.T, response string, fails bool) {
	t.Helper()
	is := is.New(t)
	p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		write(conn, response)
		readRequest(requests)
	}, func(conn net.Conn, requests *bufio.Reader) {
		write(conn, okResponse(readRequest(requests), "fresh"))
	}))
	sent := time.Now()
	body, err := send(t, p, "1")
	is.True(time.Since(sent) < time.Second)
	is.Equal(err != nil, fails)
	if !fails {
		is.Equal(body, "hello")
		return
	}
	body, err = send(t, p, "2")
	is.NoErr(err)
	is.Equal(body, "fresh")
}

// TestStatus guards against statuses outside of 100 to 599, which are no answer: neither as that of the response, nor before it, nor in a response to an
// earlier request.
func TestStatus(t *testing.T) {
	t.Parallel()
	for status, fails := range map[string]bool{
		"000": true, "001": true, "099": true, "+42": true, "+99": true, "600": true, "999": true, "0": true, "20": true, "1000": true, "-01": true, "2x0": true,
		"200": false, "404": false, "599": false,
	} {
		rest := "\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			testHead(t, "HTTP/1.1 "+status+" X"+rest, fails)
		})
		t.Run(status+" without a reason", func(t *testing.T) {
			t.Parallel()
			testHead(t, "HTTP/1.1 "+status+rest, fails)
		})
		if fails {
			t.Run(status+" before a response", func(t *testing.T) {
				t.Parallel()
				testHead(t, "HTTP/1.1 "+status+" X\r\n\r\n"+okResponse("1", "hello"), true)
			})
		}
		t.Run(status+" of another request", func(t *testing.T) {
			t.Parallel()
			testHead(t, "HTTP/1.1 "+status+" X\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother"+okResponse("1", "hello"), fails)
		})
	}
}
