package httpresponse_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"vanillapond/internal/httpresponse"
	"vanillapond/internal/stub/rawstub"
)

// TestNextHead checks which heads are valid and that their bytes can be read afterwards, however they arrive.
func TestNextHead(t *testing.T) {
	t.Parallel()
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                                    true,
		"HTTP/1.1 200 OK\r\nX-Good: 1\r\nContent-Length: 5\r\n\r\n":                  true,
		"HTTP/1.0 200 OK\nContent-Length: 5\n\n":                                     true,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n":            true,
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n":                                        false,
		"HTTP/1.1 200 OK\r\nX-Bad : 1\r\n\r\n":                                       false,
		"HTTP/1.1 200 OK\r\nX: 1\r\n X-Bad: 1\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nX-Bad\r\n\r\n":                                           false,
		"HTTP/1.1 200 OK\r\nX Bad\r\n\r\n":                                           false,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n": false,
	} {
		for _, source := range []io.Reader{strings.NewReader(head + "hello"), iotest.OneByteReader(strings.NewReader(head + "hello"))} {
			is := is.New(t)
			reader := httpresponse.NewReader(source)
			found, err := reader.NextHead()
			is.Equal(err == nil, valid)
			is.Equal(err == nil, !errors.Is(err, httpresponse.ErrBroken))
			if valid {
				is.Equal(string(found), head)
			}
			rest, err := io.ReadAll(reader)
			is.NoErr(err)
			is.Equal(string(rest), head+"hello")
		}
	}
}

// TestHeadWithoutEnd checks that a head which is too long, or breaks off, fails.
func TestHeadWithoutEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := httpresponse.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX: 1\r\n")).NextHead()
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = httpresponse.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", httpresponse.MaxHeadBytes))).NextHead()
	is.True(errors.Is(err, httpresponse.ErrBroken))
}

// TestBrokenHeadsOfClients checks that a client refuses heads that are not valid, also over TLS, where only what net/http has parsed is checked.
func TestBrokenHeadsOfClients(t *testing.T) {
	t.Parallel()
	const rest = "Content-Length: 5\r\n\r\nhello"
	for name, response := range map[string]string{
		"status": "HTTP/1.1 000 X\r\n" + rest, "blank": "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + rest, "blank behind": "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n" + rest,
		"interim": "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Bad: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := get(t, newClient(t), rawstub.StartScript(t, rawstub.Script{Response: response}), 100)
			is.True(errors.Is(err, httpresponse.ErrBroken))
			server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = io.WriteString(conn, response)
					_ = conn.Close()
				}
			}))
			t.Cleanup(server.Close)
			trusting, ok := server.Client().Transport.(*http.Transport)
			is.True(ok)
			client := httpresponse.NewClient(&http.Transport{TLSClientConfig: trusting.TLSClientConfig})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("x"))
			is.NoErr(err)
			answer, err := client.Do(request)
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
			}
			is.True(errors.Is(err, httpresponse.ErrBroken))
		})
	}
}

// TestConnectionIsReused checks that a connection carries several requests, also behind interim responses and long heads.
func TestConnectionIsReused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	connections := 0
	address := rawstub.Start(t, func(conn *net.TCPConn) {
		connections++
		requests := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 20<<10)+"\r\nContent-Length: 5\r\n\r\nhello")
		}
	})
	client := newClient(t)
	for range 20 {
		body, err := get(t, client, address, 10)
		is.NoErr(err)
		is.Equal(body, "hello")
	}
	client.CloseIdleConnections()
	is.Equal(connections, 1)
}
