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

// Flow control of an answer.
const (
	// windowBytes is how far a sidecar may run ahead of a caller on one stream.
	windowBytes = 256 << 10
	// creditBytes is the consumed amount after which new credit is sent.
	creditBytes = windowBytes / 4
	// frameOverhead is counted for each queued frame, so that empty ones are bounded as well.
	frameOverhead = 64
)

// ErrTruncated says that an answer broke its sequence, length or digest.
var ErrTruncated = oops.Errorf("link: the answer is not whole")

// ClientConfig says how an entry reaches a sidecar.
type ClientConfig struct {
	// URL is the sidecar's link address, ws:// or wss://.
	URL string
	// HTTP dials; nil means http.DefaultClient.
	HTTP *http.Client
	// Hello is what the entry says of itself.
	Hello Hello
	// EventClock is the process's clock of the time line; nil means one of the link's own.
	EventClock *event.Clock
	// OnLoad is called for each load reading, in order of arrival; it must not block.
	OnLoad func(Load)
	// OnSuspicion is called for each news of a suspect; it must not block.
	OnSuspicion func(suspect.Suspicion)
}

// Client is the entry's end of a link.
type Client struct {
	*Conn
	onLoad      func(Load)
	onSuspicion func(suspect.Suspicion)
	// next is the last stream id given out.
	next atomic.Uint64
	mu   sync.Mutex
	// streams holds open streams only; guarded by mu.
	streams map[StreamID]*Stream
}

// Dial connects to a sidecar.
func Dial(ctx context.Context, config ClientConfig) (*Client, error) {
	conn, err := dial(ctx, config.HTTP, config.URL, config.Hello, config.EventClock)
	if err != nil {
		return nil, err
	}
	client := &Client{Conn: conn, onLoad: config.OnLoad, onSuspicion: config.OnSuspicion, streams: make(map[StreamID]*Stream)}
	client.report(conn.peer.Load)
	go func() { _ = conn.receive(client.handle) }()
	return client, nil
}

func (c *Client) report(load Load) {
	if c.onLoad != nil {
		c.onLoad(load)
	}
}

// Open sends a request; the caller must Close the stream.
//
// Where it returns an error, the request is never sent.
func (c *Client) Open(ctx context.Context, open *Open) (*Stream, error) {
	stream := &Stream{client: c, open: open, ready: make(chan struct{}, 1), proof: newProof(open.Request)}
	open.Stream = StreamID(c.next.Add(1))
	c.mu.Lock()
	c.streams[open.Stream] = stream
	c.mu.Unlock()
	if err := c.sendWithin(ctx, open); err != nil {
		stream.forget()
		return nil, err
	}
	return stream, nil
}

// QueryOutcome returns what a sidecar knows of a request that was sent to the same run of it on an earlier link.
//
// It returns Unknown where the sidecar does not speak of it.
func (c *Client) QueryOutcome(ctx context.Context, request ident.Request, sentAgo time.Duration) outcome.Outcome {
	if c.version < versionAsk {
		return outcome.Unknown
	}
	stream := &Stream{client: c, open: new(Open), ready: make(chan struct{}, 1), proof: newProof(request)}
	stream.open.Stream = StreamID(c.next.Add(1))
	c.mu.Lock()
	c.streams[stream.open.Stream] = stream
	c.mu.Unlock()
	defer stream.forget()
	ask := &OutcomeQuery{Stream: stream.open.Stream, Request: request, SentAgoMS: max(sentAgo.Milliseconds(), 0)}
	if c.sendWithin(ctx, ask) != nil {
		return outcome.Unknown
	}
	frame, err := stream.Next(ctx)
	if err != nil {
		return outcome.Unknown
	}
	deny, ok := frame.(*Deny)
	return outcome.FromNotRun(ok && deny.NotRun)
}

// handle gives a frame to its stream; frames of closed streams are dropped.
func (c *Client) handle(frame Frame) error {
	switch frame := frame.(type) {
	case *Accept:
		c.report(frame.Load)
		return c.deliver(frame.Stream, frame)
	case *Deny:
		c.report(frame.Load)
		return c.deliver(frame.Stream, frame)
	case *Head:
		return c.deliver(frame.Stream, frame)
	case *Data:
		return c.deliver(frame.Stream, frame)
	case *End:
		c.report(frame.Load)
		return c.deliver(frame.Stream, frame)
	case *LoadReport:
		c.report(frame.Load)
		for _, suspicion := range frame.Suspicions {
			if c.onSuspicion != nil {
				c.onSuspicion(suspicion)
			}
		}
		return nil
	default:
		return oops.Errorf("link: found frame kind %d, want one that a sidecar sends", frame.Kind())
	}
}

// Acknowledge tells the sidecar what is durable, or drops that where the queue is full.
func (c *Client) Acknowledge(settlement ledger.Acknowledgment) {
	c.trySend(&Acknowledgment{Ledger: settlement.Ledger, Through: settlement.Through, Fenced: settlement.Fenced})
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

// Stream is one request and its answer.
type Stream struct {
	client *Client
	open   *Open
	// ready holds a token while frames may be waiting.
	ready chan struct{}
	mu    sync.Mutex
	// queue holds frames not yet read, in an order that the protocol allows; its data never exceeds the credit given.
	// Guarded by mu.
	queue []Frame
	// queued is the size of the data in queue. Guarded by mu.
	queued int
	// phase covers the frames pushed. Guarded by mu.
	phase phase
	// broken says that a frame came out of order; it is never cleared. Guarded by mu.
	broken bool
	// consumed is the size read since credit was last sent; used by the reader alone.
	consumed int64
	// proof covers the frames read; used by the reader alone.
	proof *proof
}

// push queues a frame for the reader; after one out of order it drops all that come.
func (s *Stream) push(frame Frame) error {
	s.mu.Lock()
	next, allowed := s.phase.step(frame.Kind())
	if !allowed && s.phase != phaseEnded {
		s.broken = true
	}
	if allowed && !s.broken {
		s.phase = next
		s.queue = append(s.queue, frame)
		s.queued += weight(frame)
	}
	over := s.queued > 2*windowBytes
	s.mu.Unlock()
	if over {
		return oops.Errorf("link: stream %d: found %d bytes beyond its credit", s.open.Stream, s.queued)
	}
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return nil
}

// weight returns how much credit a frame costs, in bytes.
func weight(frame Frame) int {
	if data, ok := frame.(*Data); ok {
		return len(data.Bytes) + frameOverhead
	}
	return 0
}

// Abandon gives the request up and returns what is known of it when the sidecar has answered or ctx is done.
//
// A request that the writer had not yet taken is never sent.
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

// Next returns the next frame of the answer: Accept, Deny, Head, Data or End.
//
// It returns ErrClosed after the link's end, ErrTruncated for a broken answer, and the context's error.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	for {
		if frame := s.pop(); frame != nil {
			return frame, s.verify(frame)
		}
		if s.isBroken() {
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
	s.queued -= weight(frame)
	return frame
}

func (s *Stream) isBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken && len(s.queue) == 0
}

// Peer returns what the sidecar said of itself.
func (s *Stream) Peer() Hello { return s.client.peer }

// Empty reports whether no frame is waiting.
func (s *Stream) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

func (s *Stream) verify(frame Frame) error {
	switch frame := frame.(type) {
	case *Head:
		s.proof.head(frame.Status, frame.Header)
	case *Data:
		if frame.Sequence != s.proof.frames {
			return ErrTruncated
		}
		s.proof.data(frame.Bytes)
		return s.credit(int64(weight(frame)))
	case *End:
		if !s.proof.matches(frame) {
			return ErrTruncated
		}
	}
	return nil
}

func (s *Stream) credit(size int64) error {
	s.consumed += size
	if s.consumed < creditBytes {
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

// Close forgets the stream; later frames of it are dropped, and an answer that has not ended is cancelled.
func (s *Stream) Close() {
	s.forget()
	s.mu.Lock()
	ended := s.phase == phaseEnded && !s.broken
	s.mu.Unlock()
	if !ended && !s.open.withdraw() {
		s.Cancel("nobody reads the answer")
	}
}

func (s *Stream) forget() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	delete(s.client.streams, s.open.Stream)
}
