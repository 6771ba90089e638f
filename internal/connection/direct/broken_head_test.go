package direct_test

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
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

// TestFieldNames guards against names of fields that hold a byte which no name may have: before, in or behind the name, in each head and in the trailer. With
// such a name, the field that frames the body is lost.
func TestFieldNames(t *testing.T) {
	t.Parallel()
	for char := range 256 {
		if httpguts.IsTokenRune(rune(char)) && char < 128 || char == ':' || char == '\n' {
			continue
		}
		for _, line := range []string{"X" + string([]byte{byte(char)}) + "Bad: 1", "X-Bad" + string([]byte{byte(char)}) + ": 1", string([]byte{byte(char)}) + "X-Bad: 1"} {
			t.Run(strconv.Quote(line), func(t *testing.T) {
				t.Parallel()
				testHead(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+line+"\r\nContent-Length: 5\r\n\r\nhello", true)
				testHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello", true)
			})
		}
	}
}

// TestBrokenHeads guards against heads that are not valid: in the response, in one before it, and in the trailer.
func TestBrokenHeads(t *testing.T) {
	t.Parallel()
	const (
		start  = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
		chunks = "5\r\nhello\r\n0\r\n"
	)
	for _, c := range []struct {
		name, response string
		fails          bool
	}{
		{"interim head", "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + okResponse("1", "hello"), true},
		{"error", "HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nX-Bad : 1\r\nContent-Length: 5\r\n\r\nhello", true},
		{"head of another request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Bad : 1\r\nContent-Length: 5\r\n\r\nother" + okResponse("1", "hello"), true},
		{"trailer", start + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X Bad: 1\r\n\r\n", true},
		{"trailer with a blank behind the name", start + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X-Bad : 1\r\n\r\n", true},
		{"framing behind a blank", start + "Transfer-Encoding : chunked\r\nConnection: close\r\n\r\n" + chunks + "\r\n", true},
		{"framing in a folded line", start + "X-Other: 1\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", true},
		{"length behind a blank", start + "Content-Length : 5\r\n\r\nhello", true},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", true},
		{"length beside chunks", start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", true},
		{"length beside chunks that are none", start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", true},
		{"two lengths", start + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello", true},
		{"unknown encoding", start + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n", true},
		{"folded line", start + "X-Other: 1\r\n\t2\r\nContent-Length: 5\r\n\r\nhello", true},
		{"folded line at the start", "HTTP/1.1 200 OK\r\n X-Bad: 1\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello", true},
		{"no colon", start + "X-Bad\r\nContent-Length: 5\r\n\r\nhello", true},
		{"no name", start + ": 1\r\nContent-Length: 5\r\n\r\nhello", true},
		{"control byte in a value", start + "X-Bad: a\x01b\r\nContent-Length: 5\r\n\r\nhello", true},
		{"carriage return in a value", start + "X-Bad: a\rb\r\nContent-Length: 5\r\n\r\nhello", true},
		{"null in a value", start + "X-Bad: \x00\r\nContent-Length: 5\r\n\r\nhello", true},
		{"delete in a value", start + "X-Bad: \x7f\r\nContent-Length: 5\r\n\r\nhello", true},
		{"tab and other bytes in a value", start + "X-Good: a\tb \xe9\r\nContent-Length: 5\r\n\r\nhello", false},
		{"empty value", start + "X-Good:\r\nContent-Length: 5\r\n\r\nhello", false},
		{"every token byte in a name", start + "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 5\r\n\r\nhello", false},
		{"lines that end without a carriage return", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nhello", false},
		{"long head", start + "X-Long: " + strings.Repeat("x", 40<<10) + "\r\nContent-Length: 5\r\n\r\nhello", false},
		{"trailer that is valid", start + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X-Good: 1\r\n\r\n", false},
		{"interim head that is valid", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse("1", "hello"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testHead(t, c.response, c.fails)
		})
	}
}

// TestLongHeadIsReadExactly checks that a connection is reused behind a head that does not fit into the buffer of the connection, unless bytes follow the body.
func TestLongHeadIsReadExactly(t *testing.T) {
	t.Parallel()
	long := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: " + strings.Repeat("x", 40<<10) + "\r\nContent-Length: 5\r\n\r\nhello"
	for trailing, want := range map[string]string{"": "reused", "x": "fresh", strings.Repeat("x", 5<<10): "fresh"} {
		is := is.New(t)
		p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			write(conn, long+trailing)
			if readRequest(requests) == "2" {
				write(conn, okResponse("2", "reused"))
			}
		}, func(conn net.Conn, requests *bufio.Reader) {
			if readRequest(requests) == "2" {
				write(conn, okResponse("2", "fresh"))
			}
		}))
		body, err := send(t, p, "1")
		is.NoErr(err)
		is.Equal(body, "hello")
		body, err = send(t, p, "2")
		is.NoErr(err)
		is.Equal(body, want)
	}
}
