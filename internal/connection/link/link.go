// Package link carries requests from an entry to a sidecar and the responses back, many at a time.
//
// A link is one WebSocket connection. Each message contains one or more CBOR frames.
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

// Sizes and durations of a link.
const (
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 5 * time.Second
	pingInterval     = 5 * time.Second
	pingTimeout      = 4 * time.Second
	outgoingFrames   = 1024
	batchBytes       = 64 << 10
	// maxHelloBytes bounds the first message, whose sender is not known yet.
	maxHelloBytes = 64 << 10
	// maxKeptBytes bounds the buffer that is kept for the next message.
	maxKeptBytes = 4 * batchBytes
	// aliveValidity is how long after an answered ping the other end is assumed to be still connected.
	aliveValidity = pingInterval + time.Second
	// aliveTimeout bounds a ping that a request waits for.
	aliveTimeout = time.Second
)

// Errors of a link.
var (
	// ErrClosed is returned after the link has ended.
	ErrClosed = oops.Errorf("link: closed")
	// ErrVersion is returned if the two ends have no protocol version in common.
	ErrVersion = oops.Errorf("link: no common protocol version")
	// ErrSecret is returned if the peer sent another secret, so that it is no process of this system.
	ErrSecret = oops.Errorf("link: peer has the wrong secret")
)

// Conn sends and receives frames over one WebSocket connection.
type Conn struct {
	socket *websocket.Conn
	// outgoing holds frames for the goroutine that runs write.
	outgoing chan Frame
	// done is closed when the connection has ended.
	done      chan struct{}
	closeOnce sync.Once
	// peer is the other end's hello, without the secret; it does not change.
	peer Hello
	// version is the protocol version in use.
	version int
	// eventClock is the process's hybrid logical clock for the event log.
	eventClock *event.Clock
	// lastAnsweredPing is when the last answered ping was sent, on the boot clock.
	lastAnsweredPing atomic.Int64
	// delays is used by the handshake and afterwards only by receive.
	delays delayEstimator
}

// dial opens a connection to the WebSocket at url and exchanges hellos.
func dial(ctx context.Context, client *http.Client, url string, local Hello, eventClock *event.Clock) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	socket, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		return nil, oops.Wrapf(err, "dial %s", url)
	}
	return handshake(ctx, socket, handshakeConfig{local: local, eventClock: eventClock, exchangeHellos: (*Conn).sendHelloFirst})
}

// accept upgrades an HTTP request to a WebSocket connection and exchanges hellos.
func accept(w http.ResponseWriter, r *http.Request, local Hello, eventClock *event.Clock) (*Conn, error) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, oops.Wrapf(err, "accept link")
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	return handshake(ctx, socket, handshakeConfig{local: local, eventClock: eventClock, exchangeHellos: (*Conn).receiveHelloFirst})
}

// handshakeConfig contains what differs between the two ends of a link.
type handshakeConfig struct {
	local Hello
	// eventClock is the process's hybrid logical clock for the event log; nil means a separate clock for the link.
	eventClock     *event.Clock
	exchangeHellos func(*Conn, context.Context, Hello) error
}

func handshake(ctx context.Context, socket *websocket.Conn, config handshakeConfig) (*Conn, error) {
	if config.eventClock == nil {
		config.eventClock = event.NewClock(time.Now)
	}
	socket.SetReadLimit(maxHelloBytes)
	conn := &Conn{
		socket:     socket,
		outgoing:   make(chan Frame, outgoingFrames),
		done:       make(chan struct{}),
		eventClock: config.eventClock,
	}
	conn.lastAnsweredPing.Store(int64(clock.Boot()))
	if err := config.exchangeHellos(conn, ctx, config.local); err != nil {
		_ = socket.Close(websocket.StatusPolicyViolation, "handshake failed")
		return nil, err
	}
	socket.SetReadLimit(MaxMessage)
	go conn.write()
	go conn.ping() //nolint:gosec // The link outlives the HTTP request that opened it.
	return conn, nil
}

// sendHelloFirst is the handshake of the end that dials.
func (c *Conn) sendHelloFirst(ctx context.Context, local Hello) error {
	if err := c.sendHello(ctx, local); err != nil {
		return err
	}
	return c.receiveHello(ctx, local)
}

// receiveHelloFirst is the handshake of the end that accepts: a peer with the wrong secret gets no hello, a peer without a common
// version gets one.
func (c *Conn) receiveHelloFirst(ctx context.Context, local Hello) error {
	err := c.receiveHello(ctx, local)
	if err != nil && !errors.Is(err, ErrVersion) {
		return err
	}
	if err := c.sendHello(ctx, local); err != nil {
		return err
	}
	return err
}

func (c *Conn) sendHello(ctx context.Context, local Hello) error {
	local.SentMS = bootMillis()
	message, err := Append(nil, &local)
	if err != nil {
		return err
	}
	if err := c.socket.Write(ctx, websocket.MessageBinary, message); err != nil {
		return oops.Wrapf(err, "send hello")
	}
	return nil
}

func (c *Conn) receiveHello(ctx context.Context, local Hello) error {
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
		return oops.Errorf("link: found frame kind %d, want a hello as the first frame", frame.Kind())
	}
	if subtle.ConstantTimeCompare([]byte(peer.Secret), []byte(local.Secret)) != 1 {
		return ErrSecret
	}
	c.version = min(local.MaxVersion, peer.MaxVersion)
	if c.version < max(local.MinVersion, peer.MinVersion) {
		return ErrVersion
	}
	c.excessDelay(peer.SentMS)
	c.peer = *peer
	c.peer.Secret = ""
	return nil
}

// Peer returns the other end's hello, without the secret.
func (c *Conn) Peer() Hello { return c.peer }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Version returns the protocol version in use.
func (c *Conn) Version() int { return c.version }

// Close ends the connection.
//
// The socket is closed before done, so that a frame still in the queue at that time is never sent.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.socket.CloseNow()
		close(c.done)
	})
}

// excessDelay returns how much longer a frame with this sending time took than the fastest frame; 0 if it has no sending time.
func (c *Conn) excessDelay(sentMS int64) time.Duration {
	if sentMS == 0 {
		return 0
	}
	return c.delays.excessDelay(bootReading(sentMS), clock.Boot())
}

// Alive reports whether the other end is connected now. If no recent ping was answered, as after a pause of this process, it pings
// and waits.
func (c *Conn) Alive(ctx context.Context) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	if clock.Boot().Sub(clock.Reading(c.lastAnsweredPing.Load())) < aliveValidity {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return c.pingPeer(ctx) == nil
}

// pingPeer sends a ping, waits for the pong and stores the time before the ping.
func (c *Conn) pingPeer(ctx context.Context) error {
	before := clock.Boot()
	if err := c.socket.Ping(ctx); err != nil {
		return err
	}
	c.lastAnsweredPing.Store(int64(before))
	return nil
}

// send queues a frame; it waits while the queue is full and returns ErrClosed after the connection has ended.
func (c *Conn) send(frame Frame) error {
	return c.sendContext(context.Background(), frame)
}

// sendContext queues a frame; if it returns an error, the frame is never sent.
func (c *Conn) sendContext(ctx context.Context, frame Frame) error {
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

// write sends the queued frames, with as many in one message as are ready.
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
			if cap(message) > maxKeptBytes {
				message = nil
			}
		case <-c.done:
			return
		}
	}
}

// batch encodes a frame and the frames queued behind it, up to batchBytes.
//
// It inserts a timestamp before the first frame that carries an event, so that events of both processes stay in causal order
// in the event log.
func (c *Conn) batch(message []byte, frame Frame) ([]byte, error) {
	var timestamped bool
	for {
		if beginSend(frame) {
			var err error
			if message, err = c.encode(message, frame, timestamped); err != nil {
				return nil, err
			}
			timestamped = timestamped || carriesEvent(frame)
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

// encode appends a frame, preceded by a timestamp if it carries an event and the message has no timestamp yet.
func (c *Conn) encode(message []byte, frame Frame, timestamped bool) ([]byte, error) {
	if timestamped || !carriesEvent(frame) {
		return Append(message, frame)
	}
	message, err := Append(message, &Timestamp{Time: c.eventClock.Now()})
	if err != nil {
		return nil, err
	}
	return Append(message, frame)
}

// carriesEvent reports whether sending or receiving the frame orders events of the two processes: body chunks, credit,
// load reports and acknowledgments do not.
func carriesEvent(frame Frame) bool {
	switch frame.Kind() {
	case KindData, KindCredit, KindLoad, KindAcknowledgment:
		return false
	default:
		return true
	}
}

// beginSend reports whether the frame is to be sent, and marks a request as possibly sent; a withdrawn request is not sent.
func beginSend(frame Frame) bool {
	open, ok := frame.(*Open)
	return !ok || open.beginSend()
}

func (c *Conn) writeMessage(message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return c.socket.Write(ctx, websocket.MessageBinary, message)
}

// ping ends the connection when the other end stops answering pings.
func (c *Conn) ping() {
	defer c.Close()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
			err := c.pingPeer(ctx)
			cancel()
			if err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// receive passes each frame to handle until the connection ends or handle returns an error.
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

// dispatch advances the event clock by a timestamp and passes any other frame to handle.
func (c *Conn) dispatch(frame Frame, handle func(Frame) error) error {
	if timestamp, ok := frame.(*Timestamp); ok {
		c.eventClock.Observe(timestamp.Time)
		return nil
	}
	return handle(frame)
}
