// Package crowd_test runs a router process on loopback addresses under crowds of clients that send too much, too slowly or without end, and checks
// that the process lives, that its memory and its sockets stay within its limits, and that it still serves an ordinary request.
//
// One crowd: go test ./crowd -run TestCrowd/bodies_unfinished. The crowds run one after the other, because they measure memory.
package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"vanillapond/platform"
)

// Limits of the router under test, from its settings and its configuration.
const (
	memoryMB       = 64
	maxDescriptors = 700
	// fileDescriptors of maxDescriptors are reserved for files; sockets share the others.
	fileDescriptors = 200
	maxBodyBytes    = 4 << 20
	maxHeaderBytes  = 16 << 10
)

// endless is a length in bytes that no client reaches.
const endless = 1 << 40

// Sizes of the crowds.
const (
	largeBodies   = 30
	mediumBodies  = 300
	mediumBytes   = 256 << 10
	smallBytes    = 10
	unreadClients = 60
	endlessBodies = 30
	largeHeads    = 700
	fieldHeads    = 120
	emptyLines    = 120
	idleConns     = 1000
	// crowdTime is how long a crowd presses, and dialTimeout bounds opening a connection.
	crowdTime   = 6 * time.Second
	dialTimeout = time.Second
	// clientBufferBytes keeps the bytes of a crowd in the router's buffers, not in those of the test.
	clientBufferBytes = 64 << 10
)

// misbehave is what one client of a crowd does with its connection, until an error or the end of the crowd.
type misbehave func(conn net.Conn, id string) error

// TestCrowd checks for each crowd that the process stays within its limits and serves an ordinary request, while the crowd's connections are open and
// after they are closed.
func TestCrowd(t *testing.T) {
	piece := []byte(strings.Repeat("x", 1<<10))
	crowds := []crowd{
		{"bodies_unfinished", largeBodies, func(conn net.Conn, id string) error { return sendBody(conn, id, maxBodyBytes-1, 64<<10) }},
		{"bodies_whole", largeBodies, func(conn net.Conn, id string) error {
			if err := sendBody(conn, id, maxBodyBytes, 64<<10); err != nil {
				return err
			}
			return awaitResponse(conn)
		}},
		{"bodies_in_pieces", largeBodies, func(conn net.Conn, id string) error { return sendBody(conn, id, maxBodyBytes-1, len(piece)) }},
		{"medium_bodies_unfinished", mediumBodies, func(conn net.Conn, id string) error { return sendBody(conn, id, mediumBytes, 64<<10) }},
		{"small_bodies_unfinished", idleConns, func(conn net.Conn, id string) error { return sendBody(conn, id, smallBytes, smallBytes) }},
		{"bodies_without_key", largeBodies, func(conn net.Conn, id string) error {
			if err := write(conn, requestHead("POST", "/slow/", "", id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)); err != nil {
				return err
			}
			return sendPieces(conn, maxBodyBytes-1, 64<<10)
		}},
		{"chunks_unfinished", endlessBodies, func(conn net.Conn, id string) error { return sendChunks(conn, id, maxBodyBytes-64<<10, 64<<10) }},
		{"chunks_whole", endlessBodies, func(conn net.Conn, id string) error {
			if err := sendChunks(conn, id, maxBodyBytes, 64<<10); err != nil {
				return err
			}
			if err := write(conn, "0\r\n\r\n"); err != nil {
				return err
			}
			return awaitResponse(conn)
		}},
		{"chunks_endless", endlessBodies, func(conn net.Conn, id string) error { return sendChunks(conn, id, endless, 64<<10) }},
		{"chunks_small_unfinished", endlessBodies, func(conn net.Conn, id string) error { return sendChunks(conn, id, maxBodyBytes-16, 16) }},
		{"chunks_small_endless", endlessBodies, func(conn net.Conn, id string) error { return sendChunks(conn, id, endless, 16) }},
		{"heads_unfinished", largeHeads, func(conn net.Conn, id string) error {
			return write(conn, requestHead("GET", "/p/", "right", id)+"X-Long: "+strings.Repeat("y", 64_000))
		}},
		{"heads_within_limit_unfinished", largeHeads, func(conn net.Conn, id string) error {
			return write(conn, requestHead("GET", "/p/", "right", id)+"X-Long: "+strings.Repeat("y", maxHeaderBytes-1000))
		}},
		{"heads_of_short_fields", fieldHeads, func(conn net.Conn, id string) error {
			return write(conn, requestHead("GET", "/p/", "right", id)+shortFields(60_000))
		}},
		{"heads_of_short_fields_within_limit", largeHeads, func(conn net.Conn, id string) error {
			return write(conn, requestHead("GET", "/p/", "right", id)+shortFields(maxHeaderBytes-1000))
		}},
		{"empty_lines", emptyLines, func(conn net.Conn, _ string) error {
			for {
				if err := write(conn, strings.Repeat("\r\n", 512)); err != nil {
					return err
				}
			}
		}},
		{"bytes_behind_a_request", largeHeads / 2, func(conn net.Conn, id string) error {
			if err := write(conn, requestHead("GET", "/slow/", "right", id)+"\r\n"); err != nil {
				return err
			}
			return sendPieces(conn, endless, 16<<10)
		}},
		{"responses_unread", unreadClients, func(conn net.Conn, id string) error {
			if err := conn.(*net.TCPConn).SetReadBuffer(clientBufferBytes); err != nil {
				return err
			}
			if err := write(conn, requestHead("GET", "/large/", "right", id)+"\r\n"); err != nil {
				return err
			}
			time.Sleep(crowdTime)
			return nil
		}},
		{"idle_connections", idleConns, func(net.Conn, string) error { return nil }},
	}
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			r := startRouter(t, memoryMB, maxDescriptors)
			check(t, r.process, bounds{memoryMB: memoryMB, sockets: maxDescriptors - fileDescriptors}, crowd, r.ordinaryRequest)
			if err := r.awaitNothingHeld(); err != nil {
				t.Error(err)
			}
		})
	}
}

// crowd is a number of clients that do the same.
type crowd struct {
	name    string
	clients int
	act     misbehave
}

// bounds are what a process may use at its peak.
type bounds struct{ memoryMB, sockets int }

// check has a crowd press a process, and checks what the process uses and whether it serves an ordinary request.
func check(t *testing.T, p *process, most bounds, pressing crowd, ordinaryRequest func() error) {
	t.Helper()
	stop := p.watch()
	closeAll := p.press(pressing.clients, pressing.act)
	beside := ordinaryRequest()
	closeAll()
	after := ordinaryRequest()
	peak := stop()
	if !p.isAlive() {
		t.Fatalf("process ended: %v", peak)
	}
	t.Log(peak)
	if peak.memoryKiB > most.memoryMB<<10 {
		t.Errorf("memory at its peak: found %d KiB, want at most %d MiB", peak.memoryKiB, most.memoryMB)
	}
	if peak.sockets > most.sockets {
		t.Errorf("open sockets and pipes: found %d, want at most %d", peak.sockets, most.sockets)
	}
	if beside != nil {
		t.Errorf("ordinary request while the crowd's connections are open: %v", beside)
	}
	if after != nil {
		t.Errorf("ordinary request after the crowd: %v", after)
	}
}

// TestUnacceptedConnections does what TestCrowd does with more clients than the router accepts connections, on a machine whose descriptors are no bound:
// those that it has not accepted yet hold memory, too.
func TestUnacceptedConnections(t *testing.T) {
	const clients, memory, descriptors = 1500, 88, 4100
	r := startRouter(t, memory, descriptors)
	check(t, r.process, bounds{memoryMB: memory, sockets: descriptors - fileDescriptors}, crowd{clients: clients, act: func(conn net.Conn, id string) error {
		return write(conn, requestHead("GET", "/p/", "right", id)+"X-Long: "+strings.Repeat("y", 64_000))
	}}, r.ordinaryRequest)
}

// TestLargestRequest checks that a request of the greatest legal size is served in calm on small machines, with a length and in chunks.
func TestLargestRequest(t *testing.T) {
	for _, size := range []int{48, 88} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			r := startRouter(t, size, maxDescriptors)
			stop := r.watch()
			for _, send := range []func(net.Conn, string) error{
				func(conn net.Conn, id string) error { return sendBody(conn, id, maxBodyBytes, 64<<10) },
				func(conn net.Conn, id string) error {
					if err := sendChunks(conn, id, maxBodyBytes, 64<<10); err != nil {
						return err
					}
					return write(conn, "0\r\n\r\n")
				},
			} {
				if err := r.serveLargest(send); err != nil {
					t.Error(err)
				}
			}
			if peak := stop(); peak.memoryKiB > size<<10 {
				t.Errorf("memory at its peak: found %d KiB, want at most %d MiB", peak.memoryKiB, size)
			}
		})
	}
}

// press runs a crowd for crowdTime. Each client connects again when its connection ends. The returned function closes the connections that are open.
func (p *process) press(clients int, act misbehave) (closeAll func()) {
	end := time.Now().Add(crowdTime)
	var mu sync.Mutex
	open := make(map[net.Conn]struct{})
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for try := 0; time.Now().Before(end); try++ {
				conn, err := dial(p.callers)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				mu.Lock()
				open[conn] = struct{}{}
				mu.Unlock()
				_ = conn.SetDeadline(end)
				if act(conn, fmt.Sprintf("crowd-%d-%d", client, try)) == nil {
					awaitClose(conn)
				}
				if time.Now().After(end) {
					return
				}
				_ = conn.Close()
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return func() {
		for conn := range open {
			_ = conn.Close()
		}
	}
}

// awaitClose reads until the connection ends or its deadline passes.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// awaitResponse reads a response.
func awaitResponse(conn net.Conn) error {
	_, _, err := readResponse(bufio.NewReader(conn))
	return err
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(clientBufferBytes)
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

// requestHead returns a head without its last, empty line; an empty key is left out.
func requestHead(method, path, key, id string) string {
	head := fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, path, host, platform.HeaderRequestID, id)
	if key != "" {
		head += "Authorization: " + platform.KeyScheme + key + "\r\n"
	}
	return head
}

// shortFields returns fields with different short names.
func shortFields(size int) string {
	var fields strings.Builder
	for index := 0; fields.Len() < size; index++ {
		fmt.Fprintf(&fields, "%x:\r\n", index)
	}
	return fields.String()
}

// sendBody sends a request whose length is maxBodyBytes, and so many bytes of its body.
func sendBody(conn net.Conn, id string, bytes, pieceBytes int) error {
	if err := write(conn, requestHead("POST", "/slow/", "right", id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)); err != nil {
		return err
	}
	return sendPieces(conn, bytes, pieceBytes)
}

func sendPieces(conn net.Conn, bytes, pieceBytes int) error {
	piece := []byte(strings.Repeat("b", pieceBytes))
	for sent := 0; sent < bytes; sent += len(piece) {
		if _, err := conn.Write(piece[:min(len(piece), bytes-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// sendChunks sends a request with a chunked body, without the last chunk.
func sendChunks(conn net.Conn, id string, bytes, chunkBytes int) error {
	return sendChunksAfter(conn, requestHead("POST", "/slow/", "right", id)+"Transfer-Encoding: chunked\r\n\r\n", bytes, chunkBytes)
}

func sendEndlessChunks(conn net.Conn, head string, chunkBytes int) error {
	return sendChunksAfter(conn, head, endless, chunkBytes)
}

func sendChunksAfter(conn net.Conn, head string, bytes, chunkBytes int) error {
	if err := write(conn, head); err != nil {
		return err
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("b", chunkBytes))
	// Small chunks are written many at a time, so that the test itself needs little processor time.
	batch := max((16<<10)/chunkBytes, 1)
	for sent := 0; sent < bytes; sent += batch * chunkBytes {
		if err := write(conn, strings.Repeat(chunk, min(batch, (bytes-sent)/chunkBytes))); err != nil {
			return err
		}
	}
	return nil
}
