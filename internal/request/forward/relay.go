package forward

import (
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

// Sizes in bytes for reading responses.
const (
	// maxBuffered is the size up to which a response is buffered completely before its head is written, so that an
	// interrupted one can still be replaced by a retry.
	maxBuffered = 64 << 10
	// startSize is the size of the first buffer for a body.
	startSize = 4 << 10
	// readSize is the size of the read buffer for longer responses.
	readSize = 4 << 10
	// maxEventBytes bounds an event that is buffered until it is complete.
	maxEventBytes = 256 << 10
)

// relay relays a server's response to the caller, unless the request may be retried instead.
func (c *call) relay(
	response *direct.Response, server *servers.Server, attempt *placement.Attempt,
) (attemptResult, placement.Result) {
	if c.headWritten && !c.isContinuation(response) {
		return interrupted, placement.Failed
	}
	success := isSuccess(response.Status)
	signed := response.Header.Get(platform.HeaderSignature) != ""
	if response.Header.Get("Content-Encoding") != "" || success && !signed {
		c.countStart()
		return lost, placement.Failed
	}
	if success && (c.headWritten || c.route.Kind == platform.Streaming && c.hasBody(response)) {
		return c.relayStream(response, server, attempt)
	}
	c.countStart()
	start, err := c.readStart(response)
	if err != nil {
		if c.ctx.Err() != nil || c.kept.IsDismissed() {
			return lost, placement.Neutral
		}
		c.recordBreak(server, c.openedAt, err)
		return lost, placement.Failed
	}
	if !success {
		return c.relayFailure(response, server, start)
	}
	c.recordFirstByte()
	result := c.relayBody(response, server, start, outcomeServed, "")
	if c.record.Outcome == outcomeServed {
		c.recordCompleted()
	}
	return done, result
}

// bodyStart is a body, or its first bytes.
type bodyStart struct {
	content []byte
	// whole means that content is the body.
	whole bool
}

// readStart reads a body up to maxBuffered bytes, or fewer if there is no room to keep more.
func (c *call) readStart(response *direct.Response) (bodyStart, error) {
	start := bodyStart{content: make([]byte, 0, startSize)}
	for {
		if length := len(start.content); length == cap(start.content) {
			size := min(2*length, maxBuffered)
			if length == maxBuffered || !c.kept.TryKeep(length+size) {
				return start, nil
			}
			start.content = append(make([]byte, 0, size), start.content...)
		}
		n, err := response.Read(start.content[len(start.content):cap(start.content)])
		start.content = start.content[:len(start.content)+n]
		switch {
		case errors.Is(err, io.EOF):
			start.whole = true
			return start, nil
		case err != nil:
			return start, err
		}
	}
}

// isContinuation reports whether a response may follow the events that the caller already has: only further events of the same kind
// of stream may. Anything else would corrupt the stream, and its regular end would make the stream look complete.
func (c *call) isContinuation(response *direct.Response) bool {
	return response.Status == c.record.Status && isSuccess(response.Status) &&
		response.Header.Get(platform.HeaderSignature) != "" && response.Header.Get("Content-Encoding") == "" &&
		response.Header.Get("Content-Type") == c.writer.Header().Get("Content-Type")
}

// hasBody reports whether a response may have a body.
func (c *call) hasBody(response *direct.Response) bool {
	return c.request.Method != http.MethodHead && response.Status != http.StatusNoContent
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// relayFailure relays a server's error response, unless the request may be retried at another server.
func (c *call) relayFailure(response *direct.Response, server *servers.Server, start bodyStart) (attemptResult, placement.Result) {
	if response.Status >= http.StatusInternalServerError && c.mayRetry(failedByServer) && time.Until(c.deadline) > minRemaining &&
		c.budget().Remaining(c.forwarder.config.Now()) >= 1 {
		return failedByServer, placement.ServerFailed
	}
	reason := "server answered with a failure"
	if c.relayedStatus(response.Status) != response.Status {
		reason = reasonUnprovenRefusal
	}
	result := c.relayBody(response, server, start, outcomeServerFailure, reason)
	if response.Status >= http.StatusInternalServerError && result != placement.Failed {
		result = placement.ServerFailed
	}
	return done, result
}

// relayBody relays a response whose body was read, or the start of it; outcome and reason are those of a complete response.
func (c *call) relayBody(
	response *direct.Response, server *servers.Server, start bodyStart, outcome, reason string,
) placement.Result {
	if start.whole {
		c.writeHead(response, len(start.content))
		c.write(start.content)
		c.finish(outcome, reason)
		return placement.Succeeded
	}
	c.firstEventAt = time.Now()
	c.writeHead(response, -1)
	c.write(start.content)
	buffer := make([]byte, readSize)
	for {
		n, err := response.Read(buffer)
		c.write(buffer[:n])
		switch {
		case errors.Is(err, io.EOF):
			c.finish(outcome, reason)
			return placement.Succeeded
		case err != nil:
			c.finish(outcomeTruncated, "server broke off a long answer")
			if c.ctx.Err() != nil || c.kept.IsDismissed() {
				return placement.Neutral
			}
			c.recordBreak(server, c.openedAt, err)
			return placement.Failed
		}
	}
}

// recordFirstByte records the time until the first bytes of the response, once.
func (c *call) recordFirstByte() {
	if c.record.TimeToFirstByte == 0 {
		c.record.TimeToFirstByte = time.Since(c.arrived)
	}
}

// writeHead writes the status line and headers, unless they are already written: a resumed stream keeps the head from its first
// server. A length below 0 is unknown.
func (c *call) writeHead(response *direct.Response, length int) {
	if c.headWritten {
		return
	}
	c.headWritten, c.responded = true, true
	c.headSent.Store(true)
	header := c.writer.Header()
	upstream := response.Header
	platform.RemoveHopByHopHeaders(upstream)
	status := c.relayedStatus(response.Status)
	if status != response.Status {
		// The signature is that of a response with the server's status, and the time to retry that of a request that did not run.
		upstream.Del(platform.HeaderSignature)
		upstream.Del("Retry-After")
	}
	if c.request.Method == http.MethodHead {
		// The length is that of the body that a GET request would get.
		length = -1
	} else {
		upstream.Del("Content-Length")
	}
	for name, values := range upstream {
		header[name] = values
	}
	if length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	c.record.Status = status
	c.writer.WriteHeader(status)
}

func (c *call) write(content []byte) {
	if len(content) > 0 {
		// A write error needs no handling: the request context is canceled when the caller has disconnected.
		_, _ = c.writer.Write(content)
	}
}

func (c *call) flush() { _ = http.NewResponseController(c.writer).Flush() }

func (c *call) finish(outcome, reason string) {
	c.record.Outcome, c.record.Reason = outcome, reason
}
