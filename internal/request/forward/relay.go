package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/request/placement"
	"vanillapond/platform"
)

// Sizes of answers.
const (
	// wholeAnswer is the size up to which an answer is read whole before the caller gets its head, so that one that
	// breaks off can still be replaced.
	wholeAnswer = 64 << 10
	// readChunk is how much of an answer is read at a time.
	readChunk = 4 << 10
	// maxEvent bounds an event that is held back until it is whole.
	maxEvent = 256 << 10
)

// relay passes a server's answer on.
func (c *call) relay(response *direct.Response, server *servers.Server, ticket *placement.Attempt) (verdict, placement.Result) {
	success := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	sealed := response.Header.Get(platform.HeaderSeal) != ""
	if response.Header.Get("Content-Encoding") != "" || success && !sealed {
		c.began()
		return lost, placement.Failed
	}
	if success && c.route.Kind == platform.Streaming {
		return c.relayStream(response, server, ticket)
	}
	c.began()
	body, err := io.ReadAll(io.LimitReader(response, wholeAnswer))
	if err != nil {
		if c.ctx.Err() != nil {
			return lost, placement.Neutral
		}
		c.forwarder.config.Suspects.Lost(time.Now(), c.digest, server.ID)
		return lost, placement.Failed
	}
	if !success {
		return c.relayFailure(response, body)
	}
	c.forwarder.config.Suspects.Served(c.digest)
	c.first()
	if len(body) < wholeAnswer {
		c.commit(response, len(body))
		c.write(body)
		c.finish(outcomeServed, "")
		return done, placement.Succeeded
	}
	return c.relayLong(response, body)
}

// relayFailure passes a server's failure on, unless another server may do better.
func (c *call) relayFailure(response *direct.Response, body []byte) (verdict, placement.Result) {
	if response.Status >= http.StatusInternalServerError && c.mayRepeat(failedByServer) && time.Until(c.until) > minLeft &&
		c.forwarder.config.Budget(c.service).Remaining(time.Now()) >= 1 {
		return failedByServer, placement.Failed
	}
	c.commit(response, len(body))
	c.write(body)
	c.finish(outcomePassed, "server answered with a failure")
	if response.Status >= http.StatusInternalServerError {
		return done, placement.Failed
	}
	return done, placement.Succeeded
}

// relayLong passes on an answer that is not held in memory.
func (c *call) relayLong(response *direct.Response, begin []byte) (verdict, placement.Result) {
	c.commit(response, -1)
	c.write(begin)
	buffer := make([]byte, readChunk)
	for {
		n, err := response.Read(buffer)
		c.write(buffer[:n])
		switch {
		case errors.Is(err, io.EOF):
			c.finish(outcomeServed, "")
			return done, placement.Succeeded
		case err != nil:
			c.finish(outcomeCut, "server broke off a long answer")
			return done, placement.Failed
		}
	}
}

// relayStream passes events on, each as soon as it is whole.
func (c *call) relayStream(response *direct.Response, server *servers.Server, ticket *placement.Attempt) (verdict, placement.Result) {
	var pending []byte
	buffer := make([]byte, readChunk)
	begun := false
	for {
		n, err := response.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if whole := wholeEvents(pending); whole > 0 {
			if !begun {
				begun = true
				ticket.FirstEvent(time.Now())
				c.began()
			}
			c.event(time.Now())
			c.commit(response, -1)
			c.write(pending[:whole])
			c.flush()
			if id := lastID(pending[:whole]); id != "" {
				c.lastEvent = id
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0 && (begun || c.lastEvent != ""):
			c.forwarder.config.Suspects.Served(c.digest)
			c.finish(outcomeServed, "")
			return done, placement.Succeeded
		case err != nil || len(pending) > maxEvent:
			return c.brokenStream(server)
		}
	}
}

// brokenStream judges a stream that ended before its end.
func (c *call) brokenStream(server *servers.Server) (verdict, placement.Result) {
	if c.ctx.Err() != nil {
		return interruptedOrLost(c.committed), placement.Neutral
	}
	c.forwarder.config.Suspects.Lost(time.Now(), c.digest, server.ID)
	return interruptedOrLost(c.committed), placement.Failed
}

func interruptedOrLost(committed bool) verdict {
	if committed {
		return interrupted
	}
	return lost
}

// wholeEvents returns the length of the events that are whole.
func wholeEvents(content []byte) int {
	end := 0
	if at := bytes.LastIndex(content, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(content, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+len("\r\n\r\n"))
	}
	return end
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// event notes the time of an event.
func (c *call) event(now time.Time) {
	if c.record.First == 0 {
		c.record.First = now.Sub(c.arrived)
	} else {
		c.record.Pause = max(c.record.Pause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// first notes the time of the first bytes.
func (c *call) first() {
	if c.record.First == 0 {
		c.record.First = time.Since(c.arrived)
	}
}

// commit writes the head of the first server that answers; a length below 0 is not known.
func (c *call) commit(response *direct.Response, length int) {
	if c.committed {
		return
	}
	c.committed = true
	header := c.writer.Header()
	answer := response.Header
	platform.DropHopHeaders(answer)
	answer.Del("Content-Length")
	for name, values := range answer {
		header[name] = values
	}
	if length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	c.record.Status = response.Status
	c.writer.WriteHeader(response.Status)
}

func (c *call) write(content []byte) {
	if len(content) > 0 {
		// The context ends where the caller has left.
		_, _ = c.writer.Write(content)
	}
}

func (c *call) flush() { _ = http.NewResponseController(c.writer).Flush() }

func (c *call) finish(outcome, reason string) {
	c.record.Outcome, c.record.Reason = outcome, reason
}
