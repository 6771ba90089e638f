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
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// dataBytes is the greatest size of one data frame, so that no frame overdraws the credit by more.
const dataBytes = 32 << 10

// drainPoll is the time between two looks at the links left.
const drainPoll = 10 * time.Millisecond

// ErrCancelled is the cause of a stream's context after the entry's cancel.
var ErrCancelled = oops.Errorf("link: cancelled by the entry")

// Handler runs the requests of a link.
type Handler interface {
	// ServeStream runs one request; it ends the stream with Deny or End on every path.
	ServeStream(stream *Incoming)
}

// RecordBuffer keeps usage records until they are durable.
type RecordBuffer interface {
	// LinkUp notes a link to an entry's process.
	LinkUp(entry ident.Incarnation)
	// LinkDown notes the end of a link.
	LinkDown(entry ident.Incarnation)
	// Acknowledge takes an entry's word on what is durable.
	Acknowledge(settlement ledger.Acknowledgment)
}

// noCopies keeps nothing.
type noCopies struct{}

func (noCopies) LinkUp(ident.Incarnation)          {}
func (noCopies) LinkDown(ident.Incarnation)        {}
func (noCopies) Acknowledge(ledger.Acknowledgment) {}

// ServerConfig says how a sidecar takes links.
type ServerConfig struct {
	// Hello returns what the sidecar says of itself, with its load now.
	Hello   func() Hello
	Handler Handler
	// QueryOutcome says whether a request of an earlier link was started; nil means that it is not known.
	QueryOutcome func(entry ident.Incarnation, ask *OutcomeQuery) outcome.Outcome
	// RecordBuffer hears of links and of durable usage; nil means that nobody does.
	RecordBuffer RecordBuffer
	// EventClock is the process's clock of the time line; nil means one for each link.
	EventClock *event.Clock
}

// Server is the sidecar's end of all its links.
type Server struct {
	config ServerConfig
	mu     sync.Mutex
	// links holds open links only; guarded by mu.
	links map[*serverLink]struct{}
	// draining is never cleared; guarded by mu.
	draining bool
}

// NewServer returns a server without links.
func NewServer(config ServerConfig) *Server {
	if config.RecordBuffer == nil {
		config.RecordBuffer = noCopies{}
	}
	return &Server{config: config, links: make(map[*serverLink]struct{})}
}

// ServeHTTP implements http.Handler: it takes a link and serves it to its end.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, err := accept(w, r, s.config.Hello(), s.config.EventClock)
	if err != nil {
		return
	}
	link := &serverLink{Conn: conn, handler: s.config.Handler, copies: s.config.RecordBuffer, asked: s.config.QueryOutcome, streams: make(map[StreamID]*Incoming)}
	s.mu.Lock()
	s.links[link] = struct{}{}
	s.mu.Unlock()
	s.config.RecordBuffer.LinkUp(conn.peer.Incarnation)
	_ = conn.receive(link.handle)
	s.config.RecordBuffer.LinkDown(conn.peer.Incarnation)
	s.mu.Lock()
	delete(s.links, link)
	s.mu.Unlock()
	link.endAll()
}

// Broadcast sends a load reading on every link that it is due on, with suspicions on all.
//
// It is dropped where a link's queue is full.
func (s *Server) Broadcast(load Load, suspicions ...suspect.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	for link := range s.links {
		if len(suspicions) > 0 || link.told.due(load, now) {
			link.trySend(&LoadReport{Load: load, Suspicions: suspicions})
			link.told.note(load, now)
		}
	}
}

// Drain takes no new link and waits until the entries have closed theirs, then ends those left.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
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
	told    told
	handler Handler
	copies  RecordBuffer
	asked   func(entry ident.Incarnation, ask *OutcomeQuery) outcome.Outcome
	mu      sync.Mutex
	// streams holds streams that have not ended; guarded by mu.
	streams map[StreamID]*Incoming
}

func (l *serverLink) handle(frame Frame) error {
	switch frame := frame.(type) {
	case *Open:
		return l.start(frame)
	case *Cancel:
		if stream := l.find(frame.Stream); stream != nil {
			stream.cancel(ErrCancelled)
		}
		return nil
	case *Credit:
		if stream := l.find(frame.Stream); stream != nil {
			stream.addCredit(frame.Bytes)
		}
		return nil
	case *OutcomeQuery:
		return l.answer(frame)
	case *Acknowledgment:
		l.copies.Acknowledge(ledger.Acknowledgment{Ledger: frame.Ledger, Through: frame.Through, Fenced: frame.Fenced})
		return nil
	default:
		return oops.Errorf("link: found frame kind %d, want one that an entry sends", frame.Kind())
	}
}

// answer says whether a request of an earlier link was started.
func (l *serverLink) answer(ask *OutcomeQuery) error {
	known := outcome.Unknown
	if l.asked != nil {
		known = l.asked(l.peer.Incarnation, ask)
	}
	l.trySend(&Deny{Stream: ask.Stream, Code: DenyCancelled, NotRun: known == outcome.NotRun, Reason: "the link broke"})
	return nil
}

func (l *serverLink) find(id StreamID) *Incoming {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *serverLink) start(open *Open) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	stream := &Incoming{
		Open: open, Sent: clock.Boot().Add(-l.age(open.SentMS)), link: l, ctx: ctx, cancel: cancel,
		credit: windowBytes, grown: make(chan struct{}, 1), proof: newProof(open.Request),
	}
	l.mu.Lock()
	_, found := l.streams[open.Stream]
	if !found {
		l.streams[open.Stream] = stream
	}
	l.mu.Unlock()
	if found {
		return oops.Errorf("link: stream %d opened twice", open.Stream)
	}
	go func() {
		defer stream.finish()
		l.handler.ServeStream(stream)
	}()
	return nil
}

func (l *serverLink) endAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stream := range l.streams {
		stream.cancel(ErrClosed)
	}
}

// Incoming is one request as the sidecar sees it.
type Incoming struct {
	// Open is the request; it does not change.
	Open *Open
	// Sent is when the entry sent the request, on this process's boot clock.
	Sent   clock.Reading
	link   *serverLink
	ctx    context.Context
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	// credit is how many bytes may still be sent; guarded by mu.
	credit int64
	// grown holds a token after credit was added.
	grown chan struct{}
	// proof covers the frames sent; used by the handler alone.
	proof *proof
}

// Context is done after the entry's cancel or the link's end; its cause says which.
func (s *Incoming) Context() context.Context { return s.ctx }

// Entry returns what the entry at the other end said of itself.
func (s *Incoming) Entry() Hello { return s.link.peer }

// Alive reports whether the entry holds the link now; after a stop of this process it asks the entry.
func (s *Incoming) Alive(ctx context.Context) bool { return s.link.Alive(ctx) }

// Accept tells the entry that the request goes to the back end.
func (s *Incoming) Accept(load Load) error {
	s.link.told.note(load, clock.Boot())
	return s.link.send(&Accept{Stream: s.Open.Stream, Load: load})
}

// Deny ends the stream without a whole answer.
func (s *Incoming) Deny(deny Deny) error {
	s.link.told.note(deny.Load, clock.Boot())
	deny.Stream = s.Open.Stream
	return s.link.send(&deny)
}

// Head sends the status and header of the answer.
func (s *Incoming) Head(status int, header []Header) error {
	s.proof.head(status, header)
	return s.link.send(&Head{Stream: s.Open.Stream, Status: status, Header: header})
}

// Write sends a part of the answer's body, waiting for credit; it keeps no hold of part.
func (s *Incoming) Write(part []byte) (int, error) {
	sent := 0
	for rest := range slices.Chunk(part, dataBytes) {
		if err := s.writeData(rest); err != nil {
			return sent, err
		}
		sent += len(rest)
	}
	return sent, nil
}

func (s *Incoming) writeData(part []byte) error {
	data := &Data{Stream: s.Open.Stream, Sequence: s.proof.frames, Bytes: append([]byte(nil), part...)}
	if err := s.takeCredit(int64(weight(data))); err != nil {
		return err
	}
	s.proof.data(part)
	return s.link.send(data)
}

// End proves to the entry that the answer is whole.
func (s *Incoming) End(usage Usage, load Load) error {
	s.link.told.note(load, clock.Boot())
	return s.link.send(&End{
		Stream: s.Open.Stream, Frames: s.proof.frames, Length: s.proof.length, Digest: s.proof.digest.Sum64(), Usage: usage, Load: load,
	})
}

// takeCredit waits until some credit is left; the last frame may overdraw it.
func (s *Incoming) takeCredit(size int64) error {
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
		case <-s.grown:
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
	case s.grown <- struct{}{}:
	default:
	}
}

func (s *Incoming) finish() {
	s.cancel(nil)
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	delete(s.link.streams, s.Open.Stream)
}
