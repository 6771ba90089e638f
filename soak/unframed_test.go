package soak_test

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// firstUnframedSeed is the first seed in which some servers send responses with neither a length nor chunks, which end with their
// connection.
const firstUnframedSeed = 30_000

// headerUnframed marks a response that ends with its connection.
const headerUnframed = "X-Soak-Unframed"

// breakPoint is the place at which a server breaks off a response.
type breakPoint int

const (
	nowhere breakPoint = iota
	// afterHead is after the head and before the first event.
	afterHead
	// insideEvent is after a random number of events and a part of the next one.
	insideEvent
)

// truncation is how unframed responses are broken off.
type truncation struct {
	// first applies to complete streams, resumed to those that continue an earlier one.
	first, resumed breakPoint
	// reset ends the connection with a TCP reset, also between two events or in a plain response. Otherwise the connection is closed
	// in order, and only the missing end of an event shows that the stream is incomplete.
	reset bool
}

// unframedResponses holds which servers send unframed responses, and how they break them off.
type unframedResponses struct {
	seed uint64
	mu   sync.Mutex
	// servers holds the servers that send unframed responses; guarded by mu.
	servers map[ident.Endpoint]bool
	// truncation is guarded by mu.
	truncation truncation
	// sent, broken and completed count the responses that were sent, those of them that were broken off, and those that were complete
	// for their callers; guarded by mu.
	sent, broken, completed int
}

func newUnframedResponses(seed uint64) *unframedResponses {
	return &unframedResponses{seed: seed, servers: make(map[ident.Endpoint]bool)}
}

func (u *unframedResponses) enabled() bool { return u.seed >= firstUnframedSeed }

// add decides whether a new server sends unframed responses; the first one does.
func (u *unframedResponses) add(id ident.Endpoint, random *rand.Rand) {
	if !u.enabled() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.servers[id] = random.IntN(3) != 0 || len(u.servers) == 0
}

func (u *unframedResponses) sends(id ident.Endpoint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.servers[id]
}

func (u *unframedResponses) setTruncation(t truncation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.truncation = t
}

// injectTruncation makes unframed responses break off for a while.
func (u *unframedResponses) injectTruncation(random *rand.Rand, repairLater func(func())) {
	u.setTruncation(truncation{
		first: insideEvent - breakPoint(random.IntN(4)/3), resumed: breakPoint(random.IntN(int(insideEvent) + 1)), reset: random.IntN(3) == 0,
	})
	repairLater(func() { u.setTruncation(truncation{}) })
}

// respond sends the response to a request that was read completely: a plain one, or the events of a stream after the given one.
func (u *unframedResponses) respond(w http.ResponseWriter, request string, stream bool, after int) error {
	u.mu.Lock()
	fault := u.truncation
	u.sent++
	u.mu.Unlock()
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s after %d", request, after)
	random := rand.New(rand.NewPCG(u.seed, hash.Sum64()))
	w.Header().Set(headerUnframed, "1")
	if random.IntN(2) == 0 {
		w.Header().Set("Connection", "close")
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	if err := w.Header().Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	pieces, interval := []string{"whole " + request}, responseDelay
	where := nowhere
	if stream {
		pieces, interval = eventTexts(request, after), eventInterval
		if where = fault.first; after > 0 {
			where = fault.resumed
		}
	} else if fault.reset {
		where = insideEvent
	}
	if where != nowhere && len(pieces) > 0 {
		pieces = breakOff(pieces, where, fault.reset, random)
		if tcp, ok := conn.(*net.TCPConn); ok && fault.reset {
			// The delay lets the bytes before the reset arrive.
			defer func() { time.Sleep(interval); _ = tcp.SetLinger(0) }()
		}
		u.mu.Lock()
		u.broken++
		u.mu.Unlock()
	}
	// A router that has closed the connection needs no more bytes.
	_, err = conn.Write(head.Bytes())
	for index := 0; index < len(pieces) && err == nil; index++ {
		time.Sleep(interval)
		_, err = io.WriteString(conn, pieces[index])
	}
	return nil
}

// breakOff returns the pieces of a response up to the place at which it is broken off.
func breakOff(pieces []string, where breakPoint, reset bool, random *rand.Rand) []string {
	if where == afterHead {
		return nil
	}
	last := random.IntN(len(pieces))
	cut := 1 + random.IntN(len(pieces[last])-1)
	if reset && random.IntN(3) == 0 {
		cut = 0
	}
	broken := append([]string(nil), pieces[:last+1]...)
	broken[last] = broken[last][:cut]
	return broken
}

// recordResponse records a response as its caller saw it.
func (u *unframedResponses) recordResponse(header http.Header, complete bool) {
	if !complete || header.Get(headerUnframed) == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.completed++
}

// checkUnframed checks that callers got complete responses also from servers that do not frame them; sendRequests checks each of them
// for missing and repeated events.
func (e *environment) checkUnframed() {
	if !e.unframed.enabled() {
		return
	}
	u := e.unframed
	u.mu.Lock()
	defer u.mu.Unlock()
	e.t.Logf("sent %d unframed responses, broke off %d, complete for callers: %d", u.sent, u.broken, u.completed)
	if u.completed == 0 {
		e.failf("no caller got a complete unframed response")
	}
}
