package link

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// Flow control of a response.
const (
	// windowBytes is how many bytes a sidecar may send on one stream before the entry grants new credit.
	windowBytes = 256 << 10
	// creditThreshold is the number of consumed bytes after which the entry grants new credit.
	creditThreshold = windowBytes / 4
	// frameOverhead is added to the credit cost of each data frame, so that the number of queued empty frames is bounded, too.
	frameOverhead = 64
)

// ErrTruncated is returned for a response with a frame out of order, a missing frame, or a length or digest that does not match.
var ErrTruncated = oops.Errorf("link: response is incomplete or corrupted")

// ClientConfig configures an entry's link to a sidecar.
type ClientConfig struct {
	// URL is the address of the sidecar's link server, ws:// or wss://.
	URL string
	// HTTP opens the connection; nil means http.DefaultClient.
	HTTP *http.Client
	// Hello identifies the entry to the sidecar.
	Hello Hello
	// EventClock is the process's hybrid logical clock for the event log; nil means a separate clock for the link.
	EventClock *event.Clock
	// OnLoad is called for the load of each frame that contains one, in order of arrival; it must not block.
	OnLoad func(Load)
	// OnSuspicion is called for each suspicion that a load report contains; it must not block.
	OnSuspicion func(suspect.Suspicion)
}

// Client is the entry's end of a link.
type Client struct {
	*Conn
	onLoad      func(Load)
	onSuspicion func(suspect.Suspicion)
	// lastStreamID is the last stream id assigned.
	lastStreamID atomic.Uint64
	mu           sync.Mutex
	// streams holds the open streams by id; guarded by mu.
	streams map[StreamID]*Stream
}

// Dial connects to a sidecar.
func Dial(ctx context.Context, config ClientConfig) (*Client, error) {
	conn, err := dial(ctx, config.HTTP, config.URL, config.Hello, config.EventClock)
	if err != nil {
		return nil, err
	}
	client := &Client{Conn: conn, onLoad: config.OnLoad, onSuspicion: config.OnSuspicion, streams: make(map[StreamID]*Stream)}
	client.reportLoad(conn.peer.Load)
	go func() { _ = conn.receive(client.handle) }()
	return client, nil
}

func (c *Client) reportLoad(load Load) {
	if c.onLoad != nil {
		c.onLoad(load)
	}
}

// Open queues a request for sending; the caller must Close the stream.
//
// If Open returns an error, the request is never sent.
func (c *Client) Open(ctx context.Context, open *Open) (*Stream, error) {
	stream := &Stream{client: c, open: open, ready: make(chan struct{}, 1), checksum: newChecksum(open.Request)}
	open.Stream = StreamID(c.lastStreamID.Add(1))
	c.mu.Lock()
	c.streams[open.Stream] = stream
	c.mu.Unlock()
	if err := c.sendContext(ctx, open); err != nil {
		stream.remove()
		return nil, err
	}
	return stream, nil
}

// QueryOutcome asks the sidecar whether a request was started that was sent on an earlier link to the same incarnation.
//
// It returns Unknown if the sidecar does not know, does not respond before ctx is done, or its protocol version has no outcome
// queries.
func (c *Client) QueryOutcome(ctx context.Context, request ident.Request, sentAgo time.Duration) outcome.Outcome {
	if c.version < versionOutcomeQuery {
		return outcome.Unknown
	}
	stream := &Stream{client: c, open: new(Open), ready: make(chan struct{}, 1), checksum: newChecksum(request)}
	stream.open.Stream = StreamID(c.lastStreamID.Add(1))
	c.mu.Lock()
	c.streams[stream.open.Stream] = stream
	c.mu.Unlock()
	defer stream.remove()
	query := &OutcomeQuery{Stream: stream.open.Stream, Request: request, SentAgoMS: max(sentAgo.Milliseconds(), 0)}
	if c.sendContext(ctx, query) != nil {
		return outcome.Unknown
	}
	frame, err := stream.Next(ctx)
	if err != nil {
		return outcome.Unknown
	}
	deny, ok := frame.(*Deny)
	return outcome.FromNotRun(ok && deny.NotRun)
}

// handle passes a frame to its stream; frames of closed streams are dropped.
func (c *Client) handle(frame Frame) error {
	switch frame := frame.(type) {
	case *Accept:
		c.reportLoad(frame.Load)
		return c.deliver(frame.Stream, frame)
	case *Deny:
		c.reportLoad(frame.Load)
		return c.deliver(frame.Stream, frame)
	case *Head:
		return c.deliver(frame.Stream, frame)
	case *Data:
		return c.deliver(frame.Stream, frame)
	case *End:
		c.reportLoad(frame.Load)
		return c.deliver(frame.Stream, frame)
	case *LoadReport:
		c.reportLoad(frame.Load)
		for _, suspicion := range frame.Suspicions {
			if c.onSuspicion != nil {
				c.onSuspicion(suspicion)
			}
		}
		return nil
	default:
		return oops.Errorf("link: found frame kind %d, want a kind that sidecars send", frame.Kind())
	}
}

// Acknowledge tells the sidecar which of its usage records are durable; the message is dropped if the queue is full.
func (c *Client) Acknowledge(acknowledgment ledger.Acknowledgment) {
	c.trySend(&Acknowledgment{Ledger: acknowledgment.Ledger, Through: acknowledgment.Through, Fenced: acknowledgment.Fenced})
}

func (c *Client) deliver(id StreamID, frame Frame) error {
	c.mu.Lock()
	stream := c.streams[id]
	c.mu.Unlock()
	if stream == nil {
		return nil
	}
	return stream.push(frame)
}

// Stream is one request and its response.
type Stream struct {
	client *Client
	open   *Open
	// ready contains a token while frames may be queued.
	ready chan struct{}
	mu    sync.Mutex
	// queue holds frames not yet read, in an order that the protocol allows. Guarded by mu.
	queue []Frame
	// queuedBytes is the credit cost of the frames in queue, at most twice the window. Guarded by mu.
	queuedBytes int
	// phase is the phase after the last frame queued. Guarded by mu.
	phase phase
	// outOfOrder is set when a frame arrives out of order and never cleared. Guarded by mu.
	outOfOrder bool
	// consumed is how many bytes were read since credit was last granted; used only by the reader.
	consumed int64
	// checksum covers the frames read; used only by the reader.
	checksum *checksum
}

// push queues a frame for the reader; from the first frame out of order on, it drops all frames. It returns an error if
// the sidecar exceeds its credit by far, which ends the link.
func (s *Stream) push(frame Frame) error {
	s.mu.Lock()
	next, allowed := s.phase.step(frame.Kind())
	if !allowed && s.phase != phaseEnded {
		s.outOfOrder = true
	}
	if allowed && !s.outOfOrder {
		s.phase = next
		s.queue = append(s.queue, frame)
		s.queuedBytes += creditCost(frame)
	}
	exceeded := s.queuedBytes > 2*windowBytes
	s.mu.Unlock()
	if exceeded {
		return oops.Errorf("link: stream %d: found %d bytes queued, beyond its credit", s.open.Stream, s.queuedBytes)
	}
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return nil
}

// creditCost returns how many bytes of credit a frame uses.
func creditCost(frame Frame) int {
	if data, ok := frame.(*Data); ok {
		return len(data.Bytes) + frameOverhead
	}
	return 0
}

// Abandon cancels the request and returns whether it ran, as far as this is known when the sidecar responds or ctx is done.
//
// A request that is still in the queue is never sent.
func (s *Stream) Abandon(ctx context.Context, reason string) outcome.Outcome {
	if s.open.withdraw() {
		return outcome.NotRun
	}
	s.Cancel(reason)
	for {
		frame, err := s.Next(ctx)
		if err != nil {
			return outcome.Unknown
		}
		switch frame := frame.(type) {
		case *Deny:
			return outcome.FromNotRun(frame.NotRun)
		case *End:
			return outcome.Ran
		}
	}
}

// Next returns the next frame of the response: Accept, Deny, Head, Data or End.
//
// It returns ErrClosed after the link has ended, ErrTruncated for an incomplete or corrupted response, or the cause of ctx's end.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	for {
		if frame := s.pop(); frame != nil {
			return frame, s.verify(frame)
		}
		if s.hasFailed() {
			return nil, ErrTruncated
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-s.client.done:
			if s.Empty() {
				return nil, ErrClosed
			}
		}
	}
}

func (s *Stream) pop() Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil
	}
	frame := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	s.queuedBytes -= creditCost(frame)
	return frame
}

func (s *Stream) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outOfOrder && len(s.queue) == 0
}

// Peer returns the sidecar's hello.
func (s *Stream) Peer() Hello { return s.client.peer }

// Empty reports whether no frame is queued.
func (s *Stream) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

func (s *Stream) verify(frame Frame) error {
	switch frame := frame.(type) {
	case *Head:
		s.checksum.addHead(frame.Status, frame.Header)
	case *Data:
		if frame.Sequence != s.checksum.frames {
			return ErrTruncated
		}
		s.checksum.addChunk(frame.Bytes)
		return s.consume(int64(creditCost(frame)))
	case *End:
		if !s.checksum.matches(frame) {
			return ErrTruncated
		}
	}
	return nil
}

func (s *Stream) consume(size int64) error {
	s.consumed += size
	if s.consumed < creditThreshold {
		return nil
	}
	credit := &Credit{Stream: s.open.Stream, Bytes: s.consumed}
	s.consumed = 0
	return s.client.send(credit)
}

// Cancel asks the sidecar to end the stream; Next then returns its last frames.
func (s *Stream) Cancel(reason string) {
	_ = s.client.send(&Cancel{Stream: s.open.Stream, Reason: reason})
}

// Close removes the stream; later frames of it are dropped, and a response that has not ended is cancelled.
func (s *Stream) Close() {
	s.remove()
	s.mu.Lock()
	ended := s.phase == phaseEnded && !s.outOfOrder
	s.mu.Unlock()
	if !ended && !s.open.withdraw() {
		s.Cancel("nobody reads the answer")
	}
}

func (s *Stream) remove() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	delete(s.client.streams, s.open.Stream)
}
