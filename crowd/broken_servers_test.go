package crowd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"vanillapond/internal/stub/rawstub"
	"vanillapond/platform"
)

// brokenClients is how many requests reach broken servers at once.
const brokenClients = 230

// brokenServer is a server that never ends its responses.
type brokenServer struct {
	// head is the rest of the response's head, and start what follows it.
	head, start string
	// repeated is sent without end, or until bytes were sent; the connection then stays open.
	repeated string
	bytes    int
}

func (s brokenServer) serve(conn *net.TCPConn) {
	requests := bufio.NewReader(conn)
	request, err := http.ReadRequest(requests)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 "+s.head+platform.HeaderRequestID+": "+request.Header.Get(platform.HeaderRequestID)+"\r\n"+
		platform.HeaderSignature+": seal\r\n"+s.start)
	piece := strings.Repeat(s.repeated, 1+(16<<10)/len(s.repeated))
	for sent := 0; sent < s.bytes; sent += len(piece) {
		if _, err := io.WriteString(conn, piece[:min(len(piece), s.bytes-sent)]); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}

// TestBrokenServers checks that a router stays within its limits and serves ordinary requests while servers send bytes that are no answer, without end or
// until just before the limit of one response, in heads and in what is kept of bodies.
func TestBrokenServers(t *testing.T) {
	const (
		unframed = "\r\n"
		// maxEvent, maxHead and maxBody are the sizes up to which the router waits for the end of an event, a head and a short body.
		maxEvent = 256 << 10
		maxHead  = 64 << 10
		maxBody  = 64 << 10
	)
	for name, c := range map[string]struct {
		path   string
		server brokenServer
	}{
		"event_endless":    {"/stream/", brokenServer{head: "200 OK\r\n", start: unframed + "data: ", repeated: "x", bytes: endless}},
		"event_unfinished": {"/stream/", brokenServer{head: "200 OK\r\n", start: unframed + "data: ", repeated: "x", bytes: maxEvent - 1<<10}},
		"second_event":     {"/stream/", brokenServer{head: "200 OK\r\n", start: unframed + "id: 1\ndata: x\n\n", repeated: "data: x\n", bytes: maxEvent - 1<<10}},
		"head_unfinished":  {"/get/", brokenServer{head: "200 OK\r\n", start: "X: ", repeated: "x", bytes: maxHead - 1<<10}},
		"head_is_whole":    {"/get/", brokenServer{head: "200 OK\r\n" + shortFields(maxHead-4<<10), start: "Content-Length: 1\r\n\r\n", repeated: "x"}},
		"body_unfinished":  {"/get/", brokenServer{head: "200 OK\r\n", start: unframed, repeated: "x", bytes: maxBody - 1<<10}},
		"no_answer":        {"/get/", brokenServer{head: "", start: "\x00", repeated: "\x00", bytes: endless}},
	} {
		t.Run(name, func(t *testing.T) {
			r := startRouterWith(t, memoryMB, maxDescriptors, rawstub.Start(t, c.server.serve))
			check(t, r.process, bounds{memoryMB: memoryMB, sockets: maxDescriptors - fileDescriptors}, crowd{clients: brokenClients, act: func(conn net.Conn, id string) error {
				if err := write(conn, requestHead("GET", "/broken"+c.path, "right", id)+"\r\n"); err != nil {
					return err
				}
				return awaitResponse(conn)
			}}, r.ordinaryRequest)
			if err := r.awaitNothingHeld(); err != nil {
				t.Error(err)
			}
		})
	}
}
