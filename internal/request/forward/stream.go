package forward

import (
	"errors"
	"io"
	"strconv"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/eventstream"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/request/placement"
)

// streamRelay relays the events of one server's response, each as soon as it is complete.
type streamRelay struct {
	call     *call
	response *direct.Response
	server   *servers.Server
	attempt  *placement.Attempt
	position eventstream.Position
	// pending is the part of the stream that is not relayed yet: an incomplete event.
	pending []byte
	// started is set by the first event with content.
	started bool
}

// relayStream relays a stream until its end.
func (c *call) relayStream(
	response *direct.Response, server *servers.Server, attempt *placement.Attempt,
) (attemptResult, placement.Result) {
	relay := &streamRelay{call: c, response: response, server: server, attempt: attempt}
	buffer := make([]byte, readSize)
	for {
		n, err := response.Read(buffer)
		if keepErr := relay.keep(n); keepErr != nil {
			return interruptedOrLost(c.headWritten), placement.Neutral
		}
		if !relay.add(buffer[:n]) {
			return interruptedOrLost(c.headWritten), placement.Failed
		}
		switch {
		case errors.Is(err, io.EOF) && relay.isComplete():
			c.recordCompleted()
			c.finish(outcomeServed, "")
			return done, placement.Succeeded
		case err != nil:
			return c.interruptedStream(server, err)
		case len(relay.pending) > maxEventBytes:
			c.forwarder.config.OnTooLong(server.ID)
			return c.interruptedStream(server, httpresponse.ErrTooLong)
		}
	}
}

// keep makes room for the next bytes of the stream. The error is holdings.ErrNoRoom.
func (r *streamRelay) keep(bytes int) error {
	if len(r.pending) == 0 && cap(r.pending) > readSize {
		r.pending = nil
	}
	needed := len(r.pending) + bytes
	if needed > cap(r.pending) {
		return r.call.kept.Keep(holdings.BufferGrowth * needed)
	}
	return nil
}

// add takes the next bytes of the stream and relays the events that they complete. It returns false at an event that does not belong to
// the stream; those before it are relayed.
func (r *streamRelay) add(chunk []byte) bool {
	complete := r.position.Advance(chunk)
	if complete > 0 {
		complete += len(r.pending)
	}
	r.pending = append(r.pending, chunk...)
	if complete == 0 {
		return true
	}
	accepted, inOrder := r.accept(r.pending[:complete])
	if accepted > 0 {
		r.call.writeHead(r.response, -1)
		r.call.write(r.pending[:accepted])
		r.call.flush()
	}
	r.pending = append(r.pending[:0], r.pending[complete:]...)
	return inOrder
}

// accept returns the length of the events that may be relayed, and false if an event behind them does not belong to the stream.
func (r *streamRelay) accept(events []byte) (accepted int, inOrder bool) {
	c := r.call
	for event := range eventstream.Events(events) {
		if !r.follows(event) {
			return accepted, false
		}
		accepted = event.End
		if !event.HasContent {
			continue
		}
		now := time.Now()
		if !r.started {
			r.started = true
			c.beginStream(r.server)
			c.releaseSentBody(r.response)
			c.firstEventAt = now
			r.attempt.FirstEvent(now)
			c.recordCapacityEvent(now)
			c.countStart()
			c.countFirstEvent(now)
		} else {
			r.attempt.Event(now)
		}
		c.recordEvent(now)
		c.lastEventHasID = event.HasID
		if event.HasID {
			c.lastEventID = event.ID
		}
	}
	return accepted, true
}

// follows reports whether an event belongs behind those that the caller has: its id must be greater than the last one, and the first
// event of a server that resumes the stream must have one.
func (r *streamRelay) follows(event eventstream.Event) bool {
	last := r.call.lastEventID
	switch {
	case event.HasResponseHead:
		return false
	case event.HasID:
		return follows(event.ID, last)
	default:
		return !event.HasContent || r.started || last == ""
	}
}

// isComplete reports whether the stream may end here. If no event has come, only a response with a length or chunks ends the stream:
// without them, a connection that closes early looks the same.
func (r *streamRelay) isComplete() bool {
	return len(r.pending) == 0 && (r.started || r.call.lastEventID != "" && r.response.Framed)
}

// interruptedStream returns the results of a stream that was interrupted before its regular end.
func (c *call) interruptedStream(server *servers.Server, cause error) (attemptResult, placement.Result) {
	if c.ctx.Err() != nil || c.kept.IsDismissed() {
		return interruptedOrLost(c.headWritten), placement.Neutral
	}
	c.recordBreak(server, c.openedAt, cause)
	return interruptedOrLost(c.headWritten), placement.Failed
}

func interruptedOrLost(headWritten bool) attemptResult {
	if headWritten {
		return interrupted
	}
	return lost
}

// follows reports whether an event may come after the event with the id last. Ids increase within a stream; those that are not
// numbers are not compared.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	return err != nil || number > lastNumber
}

// recordEvent records the time of an event, and the pause since the one before.
func (c *call) recordEvent(now time.Time) {
	if c.record.TimeToFirstByte == 0 {
		c.record.TimeToFirstByte = now.Sub(c.arrived)
	} else {
		c.record.LongestPause = max(c.record.LongestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// releaseSentBody releases the body of a stream that can't go on at another server, once it was sent whole.
func (c *call) releaseSentBody(response *direct.Response) {
	if !c.route.Resumable && response.Written() {
		c.body.Release()
	}
}
