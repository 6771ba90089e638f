// Package link carries requests from an entry to a sidecar and answers back, many at a time.
//
// A link is one WebSocket connection. Each message holds one or more CBOR frames.
package link

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
)

// Sizes and times of a link.
const (
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 5 * time.Second
	pingInterval     = 5 * time.Second
	pingTimeout      = 4 * time.Second
	outgoingFrames   = 1024
	batchBytes       = 64 << 10
	// aliveFor is how long an answered ping proves that the other end still holds the link.
	aliveFor = pingInterval + time.Second
	// aliveTimeout bounds a ping for which a request waits.
	aliveTimeout = time.Second
)

// Errors of a link.
var (
	// ErrClosed says that the link has ended.
	ErrClosed = oops.Errorf("link: closed")
	// ErrVersion says that both ends have no protocol version in common.
	ErrVersion = oops.Errorf("link: no common protocol version")
	// ErrSecret says that the peer does not belong to the system.
	ErrSecret = oops.Errorf("link: peer has the wrong secret")
)

// Conn moves frames over one WebSocket connection.
type Conn struct {
	socket *websocket.Conn
	// outgoing holds frames that the writer has not yet taken.
	outgoing chan Frame
	// done is closed exactly once, when the connection has ended.
	done chan struct{}
	once sync.Once
	// peer is what the other end said of itself; it does not change.
	peer Hello
	// version is the protocol version in use.
	version int
	// times is the process's clock of the time line.
	times *event.Clock
	// alive is when the last answered ping was sent, on the boot clock.
	alive atomic.Int64
	// passage is used by the handshake, then by receive alone.
	passage passage
}

// dial opens a connection to the WebSocket at url and exchanges hellos.
func dial(ctx context.Context, client *http.Client, url string, own Hello, times *event.Clock) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	socket, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		return nil, oops.Wrapf(err, "dial %s", url)
	}
	return handshake(ctx, socket, ends{own: own, times: times, greet: (*Conn).greetFirst})
}

// accept takes a WebSocket connection over from an HTTP request.
func accept(w http.ResponseWriter, r *http.Request, own Hello, times *event.Clock) (*Conn, error) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, oops.Wrapf(err, "accept link")
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	return handshake(ctx, socket, ends{own: own, times: times, greet: (*Conn).greetLast})
}

// ends is what the two ends of a link do differently.
type ends struct {
	own Hello
	// times is the process's clock of the time line; nil means one of the link's own.
	times *event.Clock
	greet func(*Conn, context.Context, Hello) error
}

func handshake(ctx context.Context, socket *websocket.Conn, end ends) (*Conn, error) {
	if end.times == nil {
		end.times = event.NewClock(time.Now)
	}
	socket.SetReadLimit(MaxMessage)
	conn := &Conn{
		socket:   socket,
		outgoing: make(chan Frame, outgoingFrames),
		done:     make(chan struct{}),
		times:    end.times,
	}
	conn.alive.Store(int64(clock.Boot()))
	if err := end.greet(conn, ctx, end.own); err != nil {
		_ = socket.Close(websocket.StatusPolicyViolation, "handshake failed")
		return nil, err
	}
	go conn.write()
	go conn.ping() //nolint:gosec // The link outlives the request that opened it.
	return conn, nil
}

// greetFirst is the dialing end's handshake.
func (c *Conn) greetFirst(ctx context.Context, own Hello) error {
	if err := c.sendHello(ctx, own); err != nil {
		return err
	}
	return c.receiveHello(ctx, own)
}

// greetLast is the accepting end's handshake: it tells a peer without the secret nothing, and one of another version its own.
func (c *Conn) greetLast(ctx context.Context, own Hello) error {
	err := c.receiveHello(ctx, own)
	if err != nil && !errors.Is(err, ErrVersion) {
		return err
	}
	if err := c.sendHello(ctx, own); err != nil {
		return err
	}
	return err
}

func (c *Conn) sendHello(ctx context.Context, own Hello) error {
	own.SentMS = stamp()
	message, err := Append(nil, &own)
	if err != nil {
		return err
	}
	if err := c.socket.Write(ctx, websocket.MessageBinary, message); err != nil {
		return oops.Wrapf(err, "send hello")
	}
	return nil
}

func (c *Conn) receiveHello(ctx context.Context, own Hello) error {
	_, message, err := c.socket.Read(ctx)
	if err != nil {
		return oops.Wrapf(err, "receive hello")
	}
	frame, _, err := Decode(message)
	if err != nil {
		return err
	}
	peer, ok := frame.(*Hello)
	if !ok {
		return oops.Errorf("link: found frame kind %d, want a hello first", frame.Kind())
	}
	if subtle.ConstantTimeCompare([]byte(peer.Secret), []byte(own.Secret)) != 1 {
		return ErrSecret
	}
	c.version = min(own.MaxVersion, peer.MaxVersion)
	if c.version < max(own.MinVersion, peer.MinVersion) {
		return ErrVersion
	}
	c.age(peer.SentMS)
	c.peer = *peer
	c.peer.Secret = ""
	return nil
}

// Peer returns what the other end said of itself.
func (c *Conn) Peer() Hello { return c.peer }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Version returns the protocol version in use.
func (c *Conn) Version() int { return c.version }

// Close ends the connection.
//
// The socket is closed before done, so that a frame not taken by then is never sent.
func (c *Conn) Close() {
	c.once.Do(func() {
		_ = c.socket.CloseNow()
		close(c.done)
	})
}

// age returns how long a frame with this stamp was under way beyond the fastest one.
func (c *Conn) age(sentMS int64) time.Duration {
	if sentMS == 0 {
		return 0
	}
	return c.passage.age(reading(sentMS), clock.Boot())
}

// Alive reports whether the other end holds the link now; after a silence, as after a stop, it asks and waits.
func (c *Conn) Alive(ctx context.Context) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	if clock.Boot().Sub(clock.Reading(c.alive.Load())) < aliveFor {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return c.askAlive(ctx) == nil
}

// askAlive pings and notes the time from before the ping.
func (c *Conn) askAlive(ctx context.Context) error {
	before := clock.Boot()
	if err := c.socket.Ping(ctx); err != nil {
		return err
	}
	c.alive.Store(int64(before))
	return nil
}

// send queues a frame; it waits while the queue is full and returns ErrClosed after the end.
func (c *Conn) send(frame Frame) error {
	return c.sendWithin(context.Background(), frame)
}

// sendWithin queues a frame; where it returns an error, the frame is never sent.
func (c *Conn) sendWithin(ctx context.Context, frame Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.outgoing <- frame:
		return nil
	case <-c.done:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// trySend queues a frame, or drops it while the queue is full.
func (c *Conn) trySend(frame Frame) {
	select {
	case c.outgoing <- frame:
	default:
	}
}

// write sends queued frames, as many in a message as are ready.
func (c *Conn) write() {
	defer c.Close()
	var message []byte
	for {
		select {
		case frame := <-c.outgoing:
			var err error
			if message, err = c.batch(message[:0], frame); err != nil {
				return
			}
			if len(message) == 0 {
				continue
			}
			if err := c.writeMessage(message); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// batch encodes a frame and those that wait behind it.
//
// A stamp goes ahead of frames that tell of events, so that the time line keeps their order.
func (c *Conn) batch(message []byte, frame Frame) ([]byte, error) {
	var stamped bool
	for {
		if take(frame) {
			var err error
			if message, err = c.encode(message, frame, stamped); err != nil {
				return nil, err
			}
			stamped = stamped || tells(frame)
		}
		if len(message) >= batchBytes {
			return message, nil
		}
		select {
		case frame = <-c.outgoing:
		default:
			return message, nil
		}
	}
}

// encode appends a frame, with a stamp before it where it tells of events and the message has none yet.
func (c *Conn) encode(message []byte, frame Frame, stamped bool) ([]byte, error) {
	if stamped || !tells(frame) {
		return Append(message, frame)
	}
	message, err := Append(message, &Timestamp{Time: c.times.Now()})
	if err != nil {
		return nil, err
	}
	return Append(message, frame)
}

// tells reports whether a frame tells of events: parts of answers, credit and load readings do not.
func tells(frame Frame) bool {
	switch frame.Kind() {
	case KindData, KindCredit, KindLoad, KindAcknowledgment:
		return false
	default:
		return true
	}
}

// take marks a request as possibly sent and reports whether the frame is to be sent: a withdrawn request is not.
func take(frame Frame) bool {
	open, ok := frame.(*Open)
	return !ok || open.take()
}

func (c *Conn) writeMessage(message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return c.socket.Write(ctx, websocket.MessageBinary, message)
}

// ping ends the connection when the other end stops answering.
func (c *Conn) ping() {
	defer c.Close()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
			err := c.askAlive(ctx)
			cancel()
			if err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// receive hands each frame to handle until the connection ends or handle returns an error.
func (c *Conn) receive(handle func(Frame) error) error {
	defer c.Close()
	for {
		_, message, err := c.socket.Read(context.Background())
		if err != nil {
			return oops.Wrapf(err, "read link")
		}
		for len(message) > 0 {
			var frame Frame
			if frame, message, err = Decode(message); err != nil {
				return err
			}
			if err := c.dispatch(frame, handle); err != nil {
				return err
			}
		}
	}
}

// dispatch takes over a stamp's time and hands any other frame on.
func (c *Conn) dispatch(frame Frame, handle func(Frame) error) error {
	if stamp, ok := frame.(*Timestamp); ok {
		c.times.Observe(stamp.Time)
		return nil
	}
	return handle(frame)
}
