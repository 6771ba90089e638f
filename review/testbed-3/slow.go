package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillapond/platform"
)

func init() { testCases["slow-reader"] = slowReaders }

// Sizes of the case with clients that read slowly, in bytes.
const (
	longAnswer = 256 << 10
	// slowBuffer is the size of a client's receive buffer, and slowPiece what it reads at once.
	slowBuffer = 32 << 10
	slowPiece  = 64 << 10
)

// slowReaders has clients on kept connections read their answers in pieces with pauses, after a SIGHUP of one of the routers, and counts the answers that are cut.
func slowReaders(ctx context.Context, b *bed, trouble bool) (verdict, error) {
	const (
		key          = "n2ctnfzs989anu6wsjnb"
		perRouter    = 6
		afterSignal  = 200 * time.Millisecond
		readingPause = 2 * time.Second
	)
	b.configure(platform.Configuration{
		Routes: []platform.Route{newRoute(platform.Idempotent, "/list/", plainService, 15_000)}, Services: []platform.Service{plainService}, Customers: tenant(key),
	})
	for _, id := range []string{"i-1", "i-2"} {
		if err := b.addServer(id, "v1", plainService, plainSlots, answerList); err != nil {
			return verdict{}, err
		}
	}
	if err := b.startRouters(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactBound)
	var clients []*slowClient
	// The rule counts the requests at the router that gets the signal.
	signalled := b.routers[:1]
	for range perRouter {
		for _, r := range signalled {
			client, err := dialSlowly(ctx, r, key)
			if err != nil {
				return verdict{}, err
			}
			defer client.close()
			if got, _, err := client.get("/list/short", 0); err != nil {
				return verdict{}, errorf("a short answer on a new connection: %d bytes, then %v", got, err)
			}
			clients = append(clients, client)
		}
	}
	for _, r := range signalled {
		b.record.line("router %s: SIGHUP, its settings file is as before", r.name)
		r.signal(syscall.SIGHUP)
	}
	time.Sleep(afterSignal)
	pause := time.Duration(0)
	if trouble {
		pause = readingPause
	}
	var mu sync.Mutex
	cut := 0
	var reading sync.WaitGroup
	for _, client := range clients {
		reading.Go(func() {
			started := time.Now()
			got, whole, err := client.get("/list/long", pause)
			b.record.line("client: %d of %d bytes of an answer through %s in %d ms, error: %v", got, whole, client.router.name, time.Since(started).Milliseconds(), err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || got < longAnswer {
				cut++
			}
		})
	}
	reading.Wait()
	text := sprintf("%d of %d answers that were read in pieces of %d bytes, with pauses of %v, ended before they were whole", cut, len(clients), slowPiece, pause)
	return verdict{broken: cut > 0, text: text}, nil
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Process.Signal(s)
}

// answerList answers with a list, which is long or short by the path.
func answerList(s *server, w http.ResponseWriter, request *http.Request) {
	if strings.HasSuffix(request.URL.Path, "/short") {
		answerPlain(s, w, request)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set(platform.HeaderServerLoad, "1,0,6")
	w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
	_, _ = io.WriteString(w, strings.Repeat("x", longAnswer))
}

// slowClient is a client with one kept connection and a small receive buffer.
type slowClient struct {
	router *router
	key    string
	conn   net.Conn
	reader *bufio.Reader
}

func dialSlowly(ctx context.Context, r *router, key string) (*slowClient, error) {
	// The size of the receive buffer has to be set before the connection is opened, since the window follows from it.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		}); err != nil {
			return err
		}
		return optionErr
	}}
	conn, err := dialer.DialContext(ctx, "tcp", r.callers)
	if err != nil {
		return nil, err
	}
	return &slowClient{router: r, key: key, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *slowClient) close() { _ = c.conn.Close() }

// get sends a request and reads the answer in pieces, with pauses between them. It returns how many bytes of the body it got, and of how many.
func (c *slowClient) get(path string, pause time.Duration) (got, whole int, err error) {
	const deadline = 15 * time.Second
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nAuthorization: %s%s\r\n\r\n", path, hostName,
		platform.HeaderRequestID, newAttempt(), platform.HeaderDeadline, platform.FormatDeadline(deadline), platform.KeyScheme, c.key)
	if _, err := io.WriteString(c.conn, head); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, 0, errorf("status %d", response.StatusCode)
	}
	whole = int(response.ContentLength)
	for piece := make([]byte, slowPiece); ; time.Sleep(pause) {
		n, err := io.ReadFull(response.Body, piece)
		got += n
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && got == whole {
			return got, whole, nil
		}
		if err != nil {
			return got, whole, err
		}
	}
}
