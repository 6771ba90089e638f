package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlines is a connection that keeps the read deadlines that are set.
type deadlines struct {
	net.Conn
	set []time.Time
}

// SetReadDeadline implements net.Conn.
func (d *deadlines) SetReadDeadline(deadline time.Time) error {
	d.set = append(d.set, deadline)
	return nil
}

// TestReadDeadlines plays how the server sets read deadlines over two requests, with limits that change between them.
func TestReadDeadlines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const own = time.Hour
	kept := &deadlines{}
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	conn := &boundedConn{Conn: kept, limits: func() Limits { return limits }}
	began := time.Now()
	left := func(want time.Duration) {
		t.Helper()
		is.NoErr(conn.SetReadDeadline(began.Add(own)))
		off := kept.set[len(kept.set)-1].Sub(began) - want
		is.True(off >= 0 && off < own/2)
	}
	left(limits.HeaderTimeout)
	follow(conn, http.StateActive)
	left(own) // A handler's own deadline holds.
	follow(conn, http.StateIdle)
	limits.IdleTimeout = 30 * time.Second
	left(limits.IdleTimeout)
	is.NoErr(conn.SetReadDeadline(time.Time{}))
	is.True(kept.set[len(kept.set)-1].IsZero())
	left(limits.HeaderTimeout)
	limits = Limits{}
	left(own) // Without a limit the server's holds.
}

// TestIdleTimeout holds that a connection that stays unused for longer than the limit is closed, by the limit at that time.
func TestIdleTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const short, long = 50 * time.Millisecond, 400 * time.Millisecond
	asked := 0
	// The limit grows while the connection is unused.
	limits := func() Limits {
		if asked++; asked <= 2 {
			return Limits{IdleTimeout: short}
		}
		return Limits{IdleTimeout: long}
	}
	started, err := Start(t.Context(), Config{Address: "127.0.0.1:0", Limits: limits, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") },
	)})
	is.NoErr(err)
	t.Cleanup(func() { started.Drain(t.Context()) })
	conn, err := net.Dial("tcp", started.Address())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	began := time.Now()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(body), "hello")
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(began) >= long)
}
