package waiting

import (
	"context"
	"sync"
	"time"
)

// minEventInterval bounds the rate of scheduled events, each of which searches for servers.
const minEventInterval = 20 * time.Millisecond

// Controller queues the requests of one service and decides after which time the refused ones return. The zero value is ready for use. It is safe for
// concurrent use.
type Controller struct {
	mu       sync.Mutex
	queue    Queue
	schedule schedule
	// tickets are those of the waiting requests; guarded by mu.
	tickets map[*Entry]*Ticket
	// stopped is set once the instance stops; guarded by mu.
	stopped bool
	// eventDue is when the next event is due that EventIn has scheduled, zero if none is; guarded by mu.
	eventDue time.Time
}

// Ticket is the place of a waiting request. The goroutine of the request calls Next until the request stops waiting, and then Take or Leave.
type Ticket struct {
	controller *Controller
	entry      *Entry
	// turn receives a value when the request has the turn, and recheck when it has to be checked again; both have a buffer of one.
	turn, recheck chan struct{}
	// ended is closed when the request must not wait any longer; outcome is set before and says why.
	ended   chan struct{}
	outcome Outcome
}

// IsFirst reports whether a request that arrives now may be sent before all waiting ones.
func (c *Controller) IsFirst(request Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.IsFirst(request)
}

// Len returns the number of waiting requests.
func (c *Controller) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Len()
}

// Join adds a request to the queue. capacityIn is the shortest time in which a server may become able to start it, 0 if that is not known. Without a
// ticket, the outcome says why the request must not wait.
func (c *Controller) Join(now time.Time, request Request, capacityIn time.Duration) (*Ticket, Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil, Stopping
	}
	entry, displaced, outcome := c.queue.Join(now, request, capacityIn)
	if entry == nil {
		return nil, outcome
	}
	for _, each := range displaced {
		c.end(each, Displaced)
	}
	ticket := &Ticket{
		controller: c, entry: entry, turn: make(chan struct{}, 1), recheck: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	if c.tickets == nil {
		c.tickets = make(map[*Entry]*Ticket)
	}
	c.tickets[entry] = ticket
	c.giveTurn(now)
	return ticket, ""
}

// end tells a request that it must not wait any longer; the caller holds mu.
func (c *Controller) end(entry *Entry, outcome Outcome) {
	ticket := c.tickets[entry]
	delete(c.tickets, entry)
	ticket.outcome = outcome
	close(ticket.ended)
}

// giveTurn gives the turn to the next request, if one is to have it; the caller holds mu.
func (c *Controller) giveTurn(now time.Time) {
	if entry := c.queue.Next(now); entry != nil {
		c.tickets[entry].turn <- struct{}{}
	}
}

// endUnreachable ends the wait of the requests that no server starts in time any more; the caller holds mu.
func (c *Controller) endUnreachable(now time.Time) {
	for _, entry := range c.queue.Unreachable(now) {
		c.end(entry, Unreachable)
	}
}

// Event records that capacity may have become free: a first event has come or a peer has reported its load.
func (c *Controller) Event(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endUnreachable(now)
	c.queue.Event()
	c.giveTurn(now)
}

// EventIn schedules an event for the time at which a server may take a request again without any other event before, such as the end of a pause or the next
// turn of a rate limit. A later one than is scheduled already has no effect: that one schedules it again.
func (c *Controller) EventIn(after time.Duration) {
	after = max(after, minEventInterval)
	due := time.Now().Add(after)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || !c.eventDue.IsZero() && !due.Before(c.eventDue) {
		return
	}
	c.eventDue = due
	time.AfterFunc(after, func() {
		c.mu.Lock()
		if c.eventDue.Equal(due) {
			c.eventDue = time.Time{}
		}
		c.mu.Unlock()
		c.Event(time.Now())
	})
}

// AttemptEnded records that a request has ended at its server; completed means that the server completed it.
func (c *Controller) AttemptEnded(now time.Time, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if completed {
		c.schedule.completions.observe(now)
	}
	c.endUnreachable(now)
	c.queue.Event()
	c.giveTurn(now)
}

// Recheck has all waiting requests checked again, because keys, routes or servers have changed.
func (c *Controller) Recheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ticket := range c.tickets {
		select {
		case ticket.recheck <- struct{}{}:
		default:
		}
	}
}

// Stop ends the wait of all requests; from then on none waits.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for entry := range c.tickets {
		c.queue.Remove(entry)
		c.end(entry, Stopping)
	}
}

// Refuse returns the time to retry after of a request that is refused now for lack of capacity. capacityIn is the expected time until a server can
// start it.
func (c *Controller) Refuse(now time.Time, priority Priority, capacityIn time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.schedule.retryAfter(now, priority, capacityIn)
}

// Signal is what a waiting request learns.
type Signal int

// Signals to waiting requests.
const (
	// Turn means that the request has the turn: it must look for a server and then call Take, Pass or Leave.
	Turn Signal = iota
	// Recheck means that the request must be checked again.
	Recheck
	// End means that the request must not wait any longer; Outcome says why.
	End
)

// Next waits for the next signal. It returns End with the outcome Ended when the context is done.
func (t *Ticket) Next(ctx context.Context) (Signal, Outcome) {
	if ctx.Err() != nil {
		// Otherwise a turn that is due at the same time could win, and be lost to the other requests until it is passed on.
		return End, Ended
	}
	expired := time.NewTimer(time.Until(t.entry.StartBy))
	defer expired.Stop()
	select {
	case <-t.turn:
		// The process may have stood still since the turn was given.
		if time.Now().After(t.entry.StartBy) {
			return End, Expired
		}
		return Turn, ""
	case <-t.recheck:
		return Recheck, ""
	case <-t.ended:
		return End, t.outcome
	case <-ctx.Done():
		return End, Ended
	case <-expired.C:
		return End, Expired
	}
}

// Pass gives the turn to the next request, because no server was found.
func (t *Ticket) Pass(now time.Time) {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.controller.queue.Pass(t.entry)
	t.controller.giveTurn(now)
}

// Take removes the request, which is sent.
func (t *Ticket) Take(now time.Time) {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	delete(t.controller.tickets, t.entry)
	t.controller.queue.Take(now, t.entry)
	t.controller.giveTurn(now)
}

// Leave removes the request, which is not sent; a turn that it had goes to the next one. It has no effect after Take.
func (t *Ticket) Leave(now time.Time) {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	delete(t.controller.tickets, t.entry)
	t.controller.queue.Remove(t.entry)
	t.controller.giveTurn(now)
}
