package httpresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"

	"github.com/samber/oops"
)

// checkedConn is a connection that checks the head of each response before anyone reads it, and on which an end of file is an error unless the peer ended it
// in order.
type checkedConn struct {
	net.Conn
	reader *Reader
	// headExpected is set for each request, and reset by the head of its final response.
	headExpected atomic.Bool
	// headLeft is how many bytes of a head that was checked are still to be read; only used by Read.
	headLeft int
}

func newCheckedConn(conn net.Conn) *checkedConn {
	return &checkedConn{Conn: conn, reader: NewReader(endCheck{conn})}
}

// NetConn returns the connection below.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *checkedConn) Read(buffer []byte) (int, error) {
	// net/http reads into a larger buffer than its own only inside a body, where no copy is needed.
	if c.headLeft == 0 && len(buffer) <= readBufferSize {
		if err := c.awaitHead(); err != nil {
			return 0, err
		}
	}
	if c.headLeft == 0 {
		return c.reader.Read(buffer)
	}
	n, err := c.reader.Read(buffer[:min(len(buffer), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// awaitHead waits for bytes and, if a head comes next, for the rest of it, and checks it.
func (c *checkedConn) awaitHead() error {
	if c.reader.Buffered() == 0 {
		c.reader.Shrink()
		// While an idle connection is read, a request may be assigned to it.
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
	}
	if !c.headExpected.Load() {
		return nil
	}
	head, err := c.reader.NextHead()
	if err != nil {
		return err
	}
	c.headLeft = len(head)
	c.headExpected.Store(isInterim(head))
	return nil
}

// isInterim reports whether another head follows the one of a response. What follows a switch of protocols is none.
func isInterim(head []byte) bool {
	const start = len("HTTP/1.1 ")
	return len(head) > start+len("100") && head[start] == '1' && string(head[start:start+len("101")]) != "101"
}

// endCheck is the source of a checkedConn.
type endCheck struct{ conn net.Conn }

// Read implements io.Reader.
func (e endCheck) Read(buffer []byte) (int, error) {
	n, err := e.conn.Read(buffer)
	if errors.Is(err, io.EOF) && !EndedInOrder(context.Background(), e.conn) {
		return n, oops.Wrapf(ErrBroken, "connection was reset")
	}
	return n, err
}
