package link

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// maxDataBytes is the maximum size of a data frame's content, which bounds by how much the last frame may exceed the credit.
const maxDataBytes = 32 << 10

// drainPollInterval is how often Drain checks for open links.
const drainPollInterval = 10 * time.Millisecond

// ErrCancelled is the cause of a stream's context after the entry has canceled the stream.
var ErrCancelled = oops.Errorf("link: cancelled by the entry")

// Handler runs the requests of a link.
type Handler interface {
	// ServeStream runs one request; it must end the stream with Deny or End on every path.
	ServeStream(stream *Incoming)
}

// RecordBuffer keeps usage records until they are durable.
type RecordBuffer interface {
	// LinkUp is called when an incarnation of an entry opens a link.
	LinkUp(entry ident.Incarnation)
	// LinkDown is called when such a link has ended.
	LinkDown(entry ident.Incarnation)
	// Acknowledge is called when an entry reports which records are durable.
	Acknowledge(acknowledgment ledger.Acknowledgment)
}

// noRecordBuffer ignores all calls.
type noRecordBuffer struct{}

func (noRecordBuffer) LinkUp(ident.Incarnation)          {}
func (noRecordBuffer) LinkDown(ident.Incarnation)        {}
func (noRecordBuffer) Acknowledge(ledger.Acknowledgment) {}

// ServerConfig configures a sidecar's links.
type ServerConfig struct {
	// Hello returns the sidecar's hello with its current load.
	Hello   func() Hello
	Handler Handler
	// QueryOutcome returns whether a request of an earlier link was started; nil means that it is always unknown.
	QueryOutcome func(entry ident.Incarnation, query *OutcomeQuery) outcome.Outcome
	// RecordBuffer is notified of links and of durable usage; nil means no notifications.
	RecordBuffer RecordBuffer
	// EventClock is the process's hybrid logical clock for the event log; nil means a separate clock for each link.
	EventClock *event.Clock
	// Holdings bounds the connections of peers that have not sent their hello, and the bodies of requests; nil bounds nothing.
	Holdings *holdings.Account
}

// Server accepts links and holds the sidecar's ends of them.
type Server struct {
	config ServerConfig
	mu     sync.Mutex
	// links holds the open links; guarded by mu.
	links map[*serverLink]struct{}
	// draining is set by Drain and never cleared; guarded by mu.
	draining bool
}

// NewServer returns a server without links.
func NewServer(config ServerConfig) *Server {
	if config.RecordBuffer == nil {
		config.RecordBuffer = noRecordBuffer{}
	}
	return &Server{config: config, links: make(map[*serverLink]struct{})}
}

// ServeHTTP implements http.Handler: it accepts a link and serves it until the link ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn := s.accept(w, r)
	if conn == nil {
		return
	}
	link := &serverLink{
		Conn: conn, server: s, handler: s.config.Handler, recordBuffer: s.config.RecordBuffer, queryOutcome: s.config.QueryOutcome,
		streams: make(map[StreamID]*Incoming),
	}
	s.mu.Lock()
	s.links[link] = struct{}{}
	s.mu.Unlock()
	s.config.RecordBuffer.LinkUp(conn.peer.Incarnation)
	_ = conn.receive(link.handle)
	s.config.RecordBuffer.LinkDown(conn.peer.Incarnation)
	s.mu.Lock()
	delete(s.links, link)
	s.mu.Unlock()
	link.cancelStreams()
}

// accept returns the connection of a peer that has sent its hello, or nil.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) *Conn {
	ctx := r.Context()
	_ = listener.SetDismissible(ctx, true)
	conn, err := accept(w, r, s.config.Hello(), s.config.EventClock)
	if err != nil {
		return nil
	}
	if listener.SetDismissible(ctx, false) != nil {
		conn.Close()
		return nil
	}
	return conn
}

// Broadcast sends a load report on each link where one is due; with suspicions, on all links.
//
// The report is dropped on links whose queue is full.
func (s *Server) Broadcast(load Load, suspicions ...suspect.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	for link := range s.links {
		if len(suspicions) > 0 || link.reports.due(load, now) {
			link.trySend(&LoadReport{Load: load, Suspicions: suspicions})
			link.reports.record(load, now)
		}
	}
}

// Drain refuses new links and waits until the entries have closed theirs; when ctx is done, it closes the remaining ones.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.count() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.closeAll()
			return
		}
	}
}

func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.links {
		go link.Close()
	}
}

// serverLink is one entry's link.
type serverLink struct {
	*Conn
	server       *Server
	reports      reportSchedule
	handler      Handler
	recordBuffer RecordBuffer
	queryOutcome func(entry ident.Incarnation, query *OutcomeQuery) outcome.Outcome
	mu           sync.Mutex
	// streams holds the streams that have not ended; guarded by mu.
	streams map[StreamID]*Incoming
}

func (l *serverLink) handle(frame Frame) error {
	switch frame := frame.(type) {
	case *Open:
		return l.startStream(frame)
	case *Cancel:
		if stream := l.findStream(frame.Stream); stream != nil {
			stream.cancel(ErrCancelled)
		}
		return nil
	case *Credit:
		if stream := l.findStream(frame.Stream); stream != nil {
			stream.addCredit(frame.Bytes)
		}
		return nil
	case *OutcomeQuery:
		return l.answerOutcomeQuery(frame)
	case *Acknowledgment:
		l.recordBuffer.Acknowledge(ledger.Acknowledgment{Ledger: frame.Ledger, Through: frame.Through, Fenced: frame.Fenced})
		return nil
	default:
		return oops.Errorf("link: found frame kind %d, want a kind that entries send", frame.Kind())
	}
}

// answerOutcomeQuery reports to the entry whether a request of an earlier link was started.
func (l *serverLink) answerOutcomeQuery(query *OutcomeQuery) error {
	result := outcome.Unknown
	if l.queryOutcome != nil {
		result = l.queryOutcome(l.peer.Incarnation, query)
	}
	l.trySend(&Deny{Stream: query.Stream, Code: DenyCancelled, NotRun: result == outcome.NotRun, Reason: "the link broke"})
	return nil
}

func (l *serverLink) findStream(id StreamID) *Incoming {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

// bodyCopies is how often the body of a request is in memory: in the message that brought it, as decoded, and on its way to the backend.
const bodyCopies = 3

func (l *serverLink) startStream(open *Open) error {
	holding, err := l.server.config.Holdings.Open(holdings.Body, string(l.peer.Process), holdings.Bytes(len(open.Body))*bodyCopies, func() {})
	if err != nil {
		go l.denyForRoom(open)
		return nil
	}
	// Requests that have arrived do not have to go.
	_ = holding.Settle()
	ctx, cancel := context.WithCancelCause(context.Background())
	stream := &Incoming{
		Open: open, Sent: clock.Boot().Add(-l.excessDelay(open.SentMS)), link: l, ctx: ctx, cancel: cancel,
		credit: windowBytes, creditAdded: make(chan struct{}, 1), checksum: newChecksum(open.Request),
	}
	l.mu.Lock()
	_, found := l.streams[open.Stream]
	if !found {
		l.streams[open.Stream] = stream
	}
	l.mu.Unlock()
	if found {
		holding.Close()
		return oops.Errorf("link: stream %d opened twice", open.Stream)
	}
	go func() {
		defer holding.Close()
		defer stream.remove()
		l.handler.ServeStream(stream)
	}()
	return nil
}

// denyForRoom denies a request for whose body there is no room.
func (l *serverLink) denyForRoom(open *Open) {
	_ = l.send(&Deny{
		Stream: open.Stream, Code: DenyBusy, NotRun: true, Reason: holdings.ErrNoRoom.Error(),
		RetryAfterMS: l.server.config.Holdings.RetryAfter().Milliseconds(), Load: l.server.config.Hello().Load,
	})
}

func (l *serverLink) cancelStreams() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stream := range l.streams {
		stream.cancel(ErrClosed)
	}
}

// Incoming is the sidecar's end of a stream.
type Incoming struct {
	// Open is the request; it does not change.
	Open *Open
	// Sent is when the entry sent the request, estimated on this process's boot clock.
	Sent   clock.Reading
	link   *serverLink
	ctx    context.Context
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	// credit is how many bytes may still be sent; the last frame may make it negative. Guarded by mu.
	credit int64
	// creditAdded contains a token after credit was added.
	creditAdded chan struct{}
	// checksum covers the frames sent; used only by the handler.
	checksum *checksum
}

// Context returns a context that ends when the entry cancels the stream or the link ends; its cause is ErrCancelled or ErrClosed.
func (s *Incoming) Context() context.Context { return s.ctx }

// Entry returns the hello of the entry at the other end.
func (s *Incoming) Entry() Hello { return s.link.peer }

// Alive reports whether the entry is connected now; after a pause of this process, it pings the entry and waits.
func (s *Incoming) Alive(ctx context.Context) bool { return s.link.Alive(ctx) }

// Accept tells the entry that the request is handed to the backend.
func (s *Incoming) Accept(load Load) error {
	s.link.reports.record(load, clock.Boot())
	return s.link.send(&Accept{Stream: s.Open.Stream, Load: load})
}

// Deny ends the stream without a complete response.
func (s *Incoming) Deny(deny Deny) error {
	s.link.reports.record(deny.Load, clock.Boot())
	deny.Stream = s.Open.Stream
	return s.link.send(&deny)
}

// Head sends the status and header of the response.
func (s *Incoming) Head(status int, header []Header) error {
	s.checksum.addHead(status, header)
	return s.link.send(&Head{Stream: s.Open.Stream, Status: status, Header: header})
}

// Write sends a chunk of the response's body in one or more data frames, waiting for credit; it does not retain chunk.
func (s *Incoming) Write(chunk []byte) (int, error) {
	sent := 0
	for piece := range slices.Chunk(chunk, maxDataBytes) {
		if err := s.writeData(piece); err != nil {
			return sent, err
		}
		sent += len(piece)
	}
	return sent, nil
}

func (s *Incoming) writeData(piece []byte) error {
	data := &Data{Stream: s.Open.Stream, Sequence: s.checksum.frames, Bytes: append([]byte(nil), piece...)}
	if err := s.waitForCredit(int64(creditCost(data))); err != nil {
		return err
	}
	s.checksum.addChunk(piece)
	return s.link.send(data)
}

// End completes the response and sends its checksum, by which the entry verifies it.
func (s *Incoming) End(usage Usage, load Load) error {
	s.link.reports.record(load, clock.Boot())
	return s.link.send(&End{
		Stream: s.Open.Stream, Frames: s.checksum.frames, Length: s.checksum.length, Digest: s.checksum.digest.Sum64(),
		Usage: usage, Load: load,
	})
}

// waitForCredit waits until some credit is left and uses it; the last frame may exceed it.
func (s *Incoming) waitForCredit(size int64) error {
	for {
		s.mu.Lock()
		enough := s.credit > 0
		if enough {
			s.credit -= size
		}
		s.mu.Unlock()
		if enough {
			return nil
		}
		select {
		case <-s.creditAdded:
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		}
	}
}

func (s *Incoming) addCredit(size int64) {
	s.mu.Lock()
	s.credit += size
	s.mu.Unlock()
	select {
	case s.creditAdded <- struct{}{}:
	default:
	}
}

func (s *Incoming) remove() {
	s.cancel(nil)
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	delete(s.link.streams, s.Open.Stream)
}
