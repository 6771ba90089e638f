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

// recordingConn is a connection that records its read deadlines.
type recordingConn struct {
	net.Conn
	deadlines []time.Time
}

// SetReadDeadline implements net.Conn.
func (c *recordingConn) SetReadDeadline(deadline time.Time) error {
	c.deadlines = append(c.deadlines, deadline)
	return nil
}

// TestReadDeadlines sets read deadlines as http.Server does over two requests, with limits that change in between.
func TestReadDeadlines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const serverTimeout = time.Hour
	recording := &recordingConn{}
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	conn := &deadlineConn{Conn: recording, limits: func() Limits { return limits }}
	start := time.Now()
	expectTimeout := func(want time.Duration) {
		t.Helper()
		is.NoErr(conn.SetReadDeadline(start.Add(serverTimeout)))
		deviation := recording.deadlines[len(recording.deadlines)-1].Sub(start) - want
		is.True(deviation >= 0 && deviation < serverTimeout/2)
	}
	expectTimeout(limits.HeaderTimeout)
	trackState(conn, http.StateActive)
	expectTimeout(serverTimeout) // A handler's own deadline applies.
	trackState(conn, http.StateIdle)
	limits.IdleTimeout = 30 * time.Second
	expectTimeout(limits.IdleTimeout)
	is.NoErr(conn.SetReadDeadline(time.Time{}))
	is.True(recording.deadlines[len(recording.deadlines)-1].IsZero())
	expectTimeout(limits.HeaderTimeout)
	limits = Limits{}
	expectTimeout(serverTimeout) // Without limits the server's timeout applies.
}

// TestIdleTimeout checks that a connection is closed once it has been idle for longer than the timeout in force at that time.
func TestIdleTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const short, long = 50 * time.Millisecond, 400 * time.Millisecond
	calls := 0
	// The timeout is raised while the connection is idle.
	limits := func() Limits {
		if calls++; calls <= 2 {
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
	start := time.Now()
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
	is.True(time.Since(start) >= long)
}
