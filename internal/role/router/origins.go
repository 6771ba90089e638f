package router

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/origin"
	"vanillapond/internal/process/peers"
	"vanillapond/pkg/ident"
)

// Limits of what instances tell each other about streams.
const (
	// shareOriginsDelay is the time from the beginning of a stream until others are told, together with those that begin meanwhile.
	shareOriginsDelay = 5 * time.Millisecond
	// askInterval is the time after which a question is sent again, in case a datagram was lost, and askAttempts how often it is sent.
	askInterval = 60 * time.Millisecond
	askAttempts = 3
	// maxFindTime bounds the time in which the store confirms the list of servers.
	maxFindTime = 500 * time.Millisecond
	// confirmReadFraction is the fraction of the store's read rate that all instances together may use to confirm their lists, and maxConfirmInterval
	// the longest time between two such calls of an instance.
	confirmReadFraction = 0.05
	maxConfirmInterval  = 2 * time.Second
	// datagramInterval is the time between two datagrams about streams to different instances where there are many to send.
	datagramInterval = time.Millisecond
	// minStreamMemory is the minimum time for which streams are remembered, and maxStreamMemory that before the configuration is known.
	minStreamMemory = time.Minute
	maxStreamMemory = 24 * time.Hour
)

// originMessage is the part of a gossip datagram about streams.
type originMessage struct {
	// Began are streams that began or went on at the sender, or that it knows while it stops.
	Began []origin.Origin `cbor:"1,keyasint,omitempty"`
	// Questions are streams whose Software the sender asks for.
	Questions []origin.Origin `cbor:"2,keyasint,omitempty"`
	Answers   []origin.Answer `cbor:"3,keyasint,omitempty"`
	// PageQuestion asks for the streams that the sender, which joins, is to know, and Page answers it. Earlier versions ignore both.
	PageQuestion *origin.PageQuestion `cbor:"4,keyasint,omitempty"`
	Page         *origin.Page         `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if a list is too long or an entry is invalid.
func (m originMessage) Check() error {
	if len(m.Began) > origin.MaxBatch || len(m.Questions) > origin.MaxBatch || len(m.Answers) > origin.MaxBatch {
		return oops.Errorf("origins of streams: found %d streams, %d questions and %d answers, want at most %d of each",
			len(m.Began), len(m.Questions), len(m.Answers), origin.MaxBatch)
	}
	if err := origin.CheckAll(m.Began); err != nil {
		return err
	}
	if m.Page != nil {
		if err := m.Page.Check(); err != nil {
			return err
		}
	}
	for _, answer := range m.Answers {
		if err := answer.Check(); err != nil {
			return err
		}
	}
	return nil
}

// origins implements forward.Origins by what this instance knows and what others answer.
type origins struct {
	router   *Router
	known    *origin.Registry
	handover *origin.Handover
	// joined is set once the instances that were known at the start have told this one of streams, or have had the time for it.
	joined atomic.Bool
	mu     sync.Mutex
	// newcomers holds instances that have asked for streams and are in no list of instances yet; guarded by mu.
	newcomers map[ident.Process]newcomer
}

func (r *Router) newOrigins() *origins {
	return &origins{
		router: r, known: origin.New(origin.Config{Memory: r.streamMemory}), handover: origin.NewHandover(r.incarnation),
		newcomers: make(map[ident.Process]newcomer),
	}
}

// streamMemory returns for how long a stream may be taken up again: its caller may make another request when the first one's time is up.
func (r *Router) streamMemory() time.Duration {
	routeTable := r.configuration.Table()
	if routeTable == nil {
		// What this instance is told before must not be dropped.
		return maxStreamMemory
	}
	return max(minStreamMemory, 2*routeTable.LongestTimeout())
}

// Begin implements forward.Origins.
func (o *origins) Begin(stream origin.Origin) { o.known.Begin(stream) }

// Unstored implements forward.Origins.
func (o *origins) Unstored(service ident.Pool) []ident.Software { return o.known.Unstored(service) }

// Find implements forward.Origins. It asks other instances, and, if the service seems to have one version, also whether the list of servers is current.
func (o *origins) Find(ctx context.Context, stream ident.Request, service ident.Pool) (origin.Origin, bool) {
	if known, found := o.known.Lookup(stream); found {
		return known, true
	}
	start := clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, maxFindTime)
	defer cancel()
	asked := o.askedAbout(stream)
	question := o.known.Ask(stream, service)
	var confirmed <-chan struct{}
	if o.known.HasSoleVersion(service) {
		confirmed = o.router.serverList.Confirm(ctx, start)
	}
	listCurrent := o.await(ctx, question, asked, confirmed)
	began, found := o.known.Close(question, listCurrent)
	o.router.journal.Log("stream_origin", "stream", stream, "service", began.Service, "found", found, "software", began.Software,
		"asked", len(asked), "sole_version", confirmed != nil, "list_current", listCurrent, "took", clock.Boot().Sub(start))
	return began, found
}

// await sends a question until the stream is known, or the list of servers is current and shows one version. It reports whether the list is current;
// confirmed is closed once it is, and nil if that would not help.
func (o *origins) await(ctx context.Context, question *origin.Question, asked []peers.Peer, confirmed <-chan struct{}) bool {
	datagram := o.router.originDatagram(originMessage{Questions: []origin.Origin{question.Subject()}})
	for attempt := 0; attempt < askAttempts || confirmed != nil; attempt++ {
		if attempt < askAttempts {
			for _, peer := range asked {
				o.router.gossip.sendTo(peer, datagram)
			}
		}
		select {
		case <-question.Settled():
			return false
		case <-confirmed:
			if o.known.HasSoleVersion(question.Subject().Service) {
				return true
			}
			confirmed = nil
		case <-time.After(askInterval):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// receive applies a message from a peer, and answers its questions.
func (o *origins) receive(from ident.Process, address netip.AddrPort, received originMessage) {
	if err := received.Check(); err != nil {
		o.router.journal.Log("peer_report_refused", "peer", from, "err", err)
		return
	}
	reply := func(content originMessage) { o.router.gossip.writeTo(address, o.router.originDatagram(content)) }
	o.known.Merge(received.Began)
	for _, answer := range received.Answers {
		o.known.Receive(answer)
	}
	var answers []origin.Answer
	for _, question := range received.Questions {
		answers = append(answers, o.known.Answer(question.Stream, question.Service))
	}
	if len(answers) > 0 {
		reply(originMessage{Answers: answers})
	}
	o.receiveHandover(from, address, received, reply)
}

// share tells other instances where streams began until the context is done.
func (o *origins) share(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-o.known.Pending():
		case <-ctx.Done():
			return
		}
		clock.Sleep(ctx, shareOriginsDelay, nil)
		byHolder := make(map[ident.Process][]origin.Origin)
		others := o.others()
		processes := slices.Collect(maps.Keys(others))
		for _, began := range o.known.TakeUnshared() {
			for _, holder := range origin.Holders(began.Stream, processes) {
				byHolder[holder] = append(byHolder[holder], began)
			}
		}
		for holder, began := range byHolder {
			for _, batch := range origin.Batches(began) {
				o.router.gossip.sendTo(others[holder], o.router.originDatagram(originMessage{Began: batch}))
				clock.Sleep(ctx, datagramInterval, nil)
			}
		}
	}
}

// askedAbout returns the peers that are asked about a stream.
func (o *origins) askedAbout(stream ident.Request) []peers.Peer {
	others := o.others()
	chosen := origin.Asked(stream, slices.Collect(maps.Keys(others)))
	asked := make([]peers.Peer, 0, len(chosen))
	for _, process := range chosen {
		asked = append(asked, others[process])
	}
	return asked
}

// originDatagram encodes a message about streams. It is marked as an answer, since it says nothing else of its sender.
func (r *Router) originDatagram(content originMessage) []byte {
	return r.encode(message{Process: r.settings.Process, Version: r.configuration.Version(), Answer: true, Origins: content})
}

// confirmInterval returns the least time between two calls by which this instance confirms its list of servers.
func (r *Router) confirmInterval() time.Duration {
	reads := confirmReadFraction * r.settings.Store.ReadsPerSecond
	if reads <= 0 {
		return 0
	}
	return min(time.Duration(float64(r.instances())/reads*float64(time.Second)), maxConfirmInterval)
}
