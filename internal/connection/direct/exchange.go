package direct

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"vanillapond/internal/process/outcome"
)

// Sizes of one exchange.
const (
	// readBuffer holds an answer's head and its first events.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a request is written before its answer is looked for.
	inlineBody = 4 << 10
	// maxStrays is how many answers to other requests are passed over before the connection is given up.
	maxStrays = 3
	// maxStrayBytes bounds the body of an answer to another request.
	maxStrayBytes = 1 << 20
)

// conn is a connection and what is known of its last use.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused says that the connection carried a request before.
	reused bool
	// idleSince and idleLimit are meaningful only while the connection is idle.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), idleLimit: defaultIdle}
}

// Response is a server's answer of which the head has come; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Framed says that the answer's end is told by its length, not by the end of the connection.
	Framed bool
	pool   *Pool
	conn   *conn
	body   io.Reader
	// written is closed when the request has been written or its writing failed.
	written chan struct{}
	// unsent says that writing failed; it is set before written is closed.
	unsent bool
	// stop ends the watch on the context.
	stop func() bool
	// whole says that the body was read to its end.
	whole bool
	// tainted says that the connection held bytes that belong to no request.
	tainted bool
	close   bool
}

// Send sends a request and waits for the head of its answer.
//
// The error is an *Error. The request ends with the context, even after the head has come.
func (p *Pool) Send(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.connect(ctx, request.AtMostOnce)
	if err != nil {
		return nil, &Error{
			Outcome: outcome.NotRun, Cause: err, Unreachable: !errors.Is(err, ErrNoConnection) && ctx.Err() == nil, ConnectionFailed: ctx.Err() == nil,
		}
	}
	response := &Response{pool: p, conn: c, written: make(chan struct{})}
	_ = c.SetDeadline(time.Time{})
	response.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := response.exchange(request); err != nil {
		response.Close()
		return nil, &Error{Outcome: outcome.Unknown, ConnectionFailed: ctx.Err() == nil, Cause: err}
	}
	return response, nil
}

func (r *Response) exchange(request *Request) error {
	message := encode(request)
	if len(request.Body) <= inlineBody {
		_, err := r.conn.Write(message)
		close(r.written)
		if err != nil {
			return err
		}
	} else {
		// The response may be closed before the goroutine runs, and forgets its connection then.
		conn := r.conn
		go func() {
			defer close(r.written)
			// A failure shows when the answer is read, unless the server answered before it broke off.
			_, err := conn.Write(message)
			r.unsent = err != nil
		}()
	}
	return r.readHead(request)
}

// encode returns a request as bytes; the headers of the connection are its own.
func encode(request *Request) []byte {
	var message bytes.Buffer
	message.Grow(len(request.Body) + inlineBody/2)
	message.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&message)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		message.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	message.WriteString("\r\n")
	message.Write(request.Body)
	return message.Bytes()
}

// readHead reads heads until one belongs to the request.
func (r *Response) readHead(request *Request) error {
	method := &http.Request{Method: request.Method}
	for strays := 0; ; {
		answer, err := http.ReadResponse(r.conn.reader, method) //nolint:bodyclose // Close ends or reuses the connection.
		if err != nil {
			return err
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			return ErrMalformed
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if belongs(answer, request, r.conn.reused) {
			r.accept(answer)
			return nil
		}
		if strays++; strays > maxStrays || answer.Close {
			return ErrMalformed
		}
		r.tainted = true
		if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return errors.Join(ErrMalformed, err)
		}
	}
}

// belongs reports whether an answer is the request's own.
func belongs(answer *http.Response, request *Request, reused bool) bool {
	id := answer.Header.Get(request.IDHeader)
	if id != "" {
		return id == request.ID
	}
	if !reused {
		return true
	}
	return answer.StatusCode == http.StatusMisdirectedRequest ||
		slices.ContainsFunc(request.RefusalHeaders, func(name string) bool { return answer.Header.Get(name) != "" })
}

func (r *Response) accept(answer *http.Response) {
	r.Status = answer.StatusCode
	r.Header = answer.Header
	r.Framed = answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	r.body = answer.Body
	r.close = answer.Close || !r.Framed
	r.conn.idleLimit = idleLimit(answer.Header)
	select {
	case <-r.written:
	default:
		// The server may go on to read the rest of the body, so that nothing else may follow on this connection.
		r.close = true
	}
}

// idleLimit returns how long a connection may stay unused, by the timeout that the server states.
func idleLimit(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				return time.Duration(idleShare * float64(seconds) * float64(time.Second))
			}
		}
	}
	return defaultIdle
}

// Read returns bytes of the body, io.EOF exactly at the end of a whole body, else an error.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Written reports whether the whole request has been sent.
func (r *Response) Written() bool {
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}

// Close gives the connection back where it may carry another request, else closes it.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	undisturbed := r.stop()
	if undisturbed && r.whole && !r.close && !r.tainted && r.Written() && !r.unsent && c.idleLimit > 0 && c.reader.Buffered() == 0 {
		r.pool.release(c)
		return
	}
	r.pool.discard(c)
}
