package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/eventstream"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/outcome"
)

// Size limits of one exchange.
const (
	// maxInlineBody is the size up to which a request's body is written before the response is read; a larger one is written
	// concurrently.
	maxInlineBody = 4 << 10
	// maxCarried is how many requests ago a connection carried those whose id it does not carry again.
	maxCarried = 16
	// maxUnmatched is how many responses to other requests are skipped before the connection is closed.
	maxUnmatched = 3
	// maxUnmatchedBytes bounds the body of a skipped response.
	maxUnmatchedBytes = 1 << 20
)

// conn is a connection of a pool and the state of its reuse.
type conn struct {
	net.Conn
	reader *httpresponse.Reader
	// limit bounds what reader reads from the connection.
	limit    *readLimit
	openedAt time.Time
	// reused means that the connection carried a request before.
	reused bool
	// carried holds the ids of the latest requests, count in all: the response to one of them may arrive once more.
	carried [maxCarried]string
	count   int
	// idleSince and idleTimeout are only valid while the connection is idle.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(raw net.Conn) *conn {
	limit := &readLimit{source: raw}
	return &conn{Conn: raw, reader: httpresponse.NewReader(limit), limit: limit, openedAt: time.Now(), idleTimeout: defaultIdleTimeout}
}

// hasCarried reports whether one of the latest requests had this id.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.carried[:], id) }

func (c *conn) carry(id string) {
	c.carried[c.count%maxCarried] = id
	c.count++
}

// readLimit is a reader that fails after a number of bytes. Unlike with an io.LimitedReader, the limit can't be taken for the end of
// the connection, which completes a response without a length.
type readLimit struct {
	source io.Reader
	// remaining is how many bytes may still be read.
	remaining int64
}

func (l *readLimit) Read(buffer []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, oops.Wrapf(httpresponse.ErrTooLong, "head is longer than %d bytes", httpresponse.MaxHeadBytes)
	}
	n, err := l.source.Read(buffer[:min(int64(len(buffer)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// Response is a server's response whose head has arrived; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Framed means that the response has a length or is chunked; otherwise its body ends with the connection.
	Framed bool
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time
	// ctx is the context of the request.
	ctx context.Context //nolint:containedctx // The response has the lifetime of the request.
	// endsWithConnection means that the body ends with the connection; a response that has no body is neither this nor Framed.
	endsWithConnection bool
	pool               *Pool
	conn               *conn
	body               io.Reader
	// trailer holds the fields behind the body once that was read to its end.
	trailer *http.Header
	// written is closed when the request has been written completely or writing has failed.
	written chan struct{}
	// writeFailed means that writing failed; it is set before written is closed.
	writeFailed bool
	// stopCancelWatch stops watching the context; it returns false if the context has ended.
	stopCancelWatch func() bool
	// complete means that the body was read to its end.
	complete bool
	// sawUnmatched means that a response to another request arrived on the connection.
	sawUnmatched bool
	// closeAfter means that the connection carries no request after this one.
	closeAfter bool
}

// Send sends a request and waits for the head of its response.
//
// The error is an *Error. The end of the context ends the request, even after the head has arrived.
func (p *Pool) Send(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.connect(ctx, request)
	if err != nil {
		return nil, &Error{
			Outcome: outcome.NotRun, Cause: err, Unreachable: !errors.Is(err, ErrNoConnection) && ctx.Err() == nil,
			ConnectionFailed: ctx.Err() == nil,
		}
	}
	if request.Confirm != nil && !request.Confirm() {
		p.discard(c)
		return nil, &Error{Outcome: outcome.NotRun, Cause: ErrNotConfirmed}
	}
	response := &Response{OpenedAt: c.openedAt, ctx: ctx, pool: p, conn: c, written: make(chan struct{})}
	_ = c.SetDeadline(time.Time{})
	response.stopCancelWatch = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := response.exchange(request); err != nil {
		response.Close()
		return nil, &Error{Outcome: outcome.Unknown, ConnectionFailed: ctx.Err() == nil, OpenedAt: response.OpenedAt, Cause: err}
	}
	return response, nil
}

func (r *Response) exchange(request *Request) error {
	message, rest := encode(request)
	r.conn.carry(request.ID)
	if len(rest) == 0 {
		_, err := r.conn.Write(message)
		close(r.written)
		if err != nil {
			return err
		}
	} else {
		// Close clears r.conn and may be called before the goroutine runs.
		conn := r.conn
		go func() {
			defer close(r.written)
			// A write error also shows as a read error, unless the server responded before it closed the connection.
			r.writeFailed = writeAll(conn, message, rest) != nil
		}()
	}
	return r.readHead(request)
}

// writeAll writes a message and the blocks that follow it.
func writeAll(conn io.Writer, message []byte, rest [][]byte) error {
	if _, err := conn.Write(message); err != nil {
		return err
	}
	for _, block := range rest {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the bytes of a request, without those blocks of its body that are not copied. It adds the Host and Content-Length headers, which
// request.Header must not contain.
func encode(request *Request) (message []byte, rest [][]byte) {
	length := 0
	for _, block := range request.Body {
		length += len(block)
	}
	// A small first block shares a packet with the head.
	inline := 0
	switch {
	case length <= maxInlineBody:
		inline = len(request.Body)
	case len(request.Body[0]) <= maxInlineBody:
		inline = 1
	}
	var buffer bytes.Buffer
	buffer.Grow(min(length, maxInlineBody) + maxInlineBody/2)
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&buffer)
	if length > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	buffer.WriteString("\r\n")
	for _, block := range request.Body[:inline] {
		buffer.Write(block)
	}
	return buffer.Bytes(), request.Body[inline:]
}

// readHead reads response heads until one belongs to the request; it skips interim responses and responses to other requests.
func (r *Response) readHead(request *Request) error {
	method := &http.Request{Method: request.Method}
	r.conn.limit.remaining, r.conn.reader.Reserve = httpresponse.MaxHeadBytes, request.Reserve
	for unmatched := 0; ; {
		if _, err := r.conn.reader.NextHead(); err != nil {
			return err
		}
		httpResponse, err := http.ReadResponse(r.conn.reader.Reader, method) //nolint:bodyclose // Close closes or reuses the connection.
		if err != nil {
			return err
		}
		if err := httpresponse.CheckHead(httpResponse); err != nil {
			return err
		}
		if httpResponse.StatusCode == http.StatusSwitchingProtocols {
			return oops.Wrapf(httpresponse.ErrBroken, "server switched protocols without a request to do so")
		}
		if httpResponse.StatusCode < http.StatusOK {
			continue
		}
		r.conn.limit.remaining = math.MaxInt64
		if isResponseTo(httpResponse, request, r.conn.reused) {
			r.accept(httpResponse)
			// A late second copy of a response without an id could not be told from the response to the next request.
			r.closeAfter = r.closeAfter || request.ID != "" && httpResponse.Header.Get(request.IDHeader) == ""
			return nil
		}
		if unmatched++; unmatched > maxUnmatched || httpResponse.Close {
			return oops.Wrapf(httpresponse.ErrBroken, "server sent responses to other requests")
		}
		r.sawUnmatched = true
		if n, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxUnmatchedBytes)); err != nil || n == maxUnmatchedBytes {
			return errors.Join(httpresponse.ErrBroken, err)
		}
		r.conn.limit.remaining = httpresponse.MaxHeadBytes
	}
}

// isResponseTo reports whether a response belongs to the request. A response without an id does if the connection is new, or if it refuses a
// request: refusals have none. A connection ends with its first refusal without an id, so that this one is not an earlier one once more.
func isResponseTo(httpResponse *http.Response, request *Request, reused bool) bool {
	id := httpResponse.Header.Get(request.IDHeader)
	if id != "" {
		return id == request.ID
	}
	if !reused {
		return true
	}
	return httpResponse.StatusCode == http.StatusMisdirectedRequest ||
		slices.ContainsFunc(request.RefusalHeaders, func(name string) bool { return httpResponse.Header.Get(name) != "" })
}

func (r *Response) accept(httpResponse *http.Response) {
	r.Status = httpResponse.StatusCode
	r.Header = httpResponse.Header
	r.Framed = httpResponse.ContentLength >= 0 || len(httpResponse.TransferEncoding) > 0
	r.endsWithConnection = !r.Framed && httpResponse.Body != http.NoBody
	r.body, r.trailer = httpResponse.Body, &httpResponse.Trailer
	if eventstream.Is(r.Header) && r.Status < http.StatusMultipleChoices {
		r.body = eventstream.NewReader(r.body)
	}
	r.closeAfter = httpResponse.Close || !r.Framed
	r.conn.idleTimeout = idleTimeout(httpResponse.Header)
	select {
	case <-r.written:
	default:
		// The server may continue to read the rest of the body, so no other request may follow on this connection.
		r.closeAfter = true
	}
}

// idleTimeout returns how long a connection may stay idle, derived from the timeout in the server's Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
			}
		}
	}
	return defaultIdleTimeout
}

// Read reads from the body; it returns io.EOF only at the end of a complete body and another error if the body is truncated. The event
// stream of a success is truncated if it ends inside an event, whatever its framing says. At the end of a body that ends with the connection, Read waits until
// the request is written.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if r.endsWithConnection && !r.isEndCertain() {
		return n, oops.Wrapf(httpresponse.ErrBroken, "connection ended before the request was sent completely")
	}
	if err := httpresponse.CheckFields(*r.trailer); err != nil {
		return n, err
	}
	r.complete = true
	return n, io.EOF
}

// isEndCertain reports whether the end of the connection is that of the response: the server may also have failed, or been stopped, while the request was
// written.
func (r *Response) isEndCertain() bool {
	if r.complete {
		return true
	}
	// Writing ends with the context at the latest.
	<-r.written
	return !r.writeFailed && httpresponse.EndedInOrder(r.ctx, r.conn.Conn)
}

// Written reports whether writing the request has ended.
func (r *Response) Written() bool {
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}

// Close returns the connection to the pool if it may carry another request, else closes it.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	notCancelled := r.stopCancelWatch()
	if notCancelled && r.complete && !r.closeAfter && !r.sawUnmatched && r.Written() && !r.writeFailed && c.idleTimeout > 0 &&
		c.reader.Buffered() == 0 {
		c.reader.Reserve = nil
		c.reader.Shrink()
		r.pool.release(c)
		return
	}
	r.pool.discard(c)
}
