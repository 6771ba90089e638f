package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/samber/oops"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/eventstream"
	"vanillapond/internal/process/holdings"
	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Markers in an engine's event stream.
var (
	dataPrefix  = []byte("data:")
	doneMarker  = []byte("[DONE]")
	usageMarker = []byte(`"usage":{`)
)

// maxCompletionBytes is the maximum size of a completion that is not streamed and whose usage is read, in bytes.
const maxCompletionBytes = 64 << 20

// maxEventBytes bounds an event that is held until it is complete.
const maxEventBytes = 1 << 20

// eventBufferSize is the size of the read buffer, in bytes; a longer line of an event is read in several steps.
const eventBufferSize = 16 << 10

// responseMode is the form of response that the caller requested for a completion.
type responseMode struct {
	stream       bool
	includeUsage bool
}

// prepareCompletion adds the tier to the body as the engine's priority, and asks for the usage if the response is streamed.
func prepareCompletion(body []byte, tier ident.Tier) ([]byte, responseMode, error) {
	var request api.CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, responseMode{}, oops.Wrapf(err, "decode completion request")
	}
	mode := responseMode{
		stream:       request.Stream,
		includeUsage: request.StreamOptions != nil && request.StreamOptions.IncludeUsage,
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, responseMode{}, oops.Wrapf(err, "decode completion request")
	}
	priority, err := json.Marshal(tier)
	if err != nil {
		return nil, responseMode{}, oops.Wrapf(err, "encode priority")
	}
	fields["priority"] = priority
	if mode.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	prepared, err := json.Marshal(fields)
	return prepared, mode, err
}

// completionBuffer keeps a copy of a completion, unless it is longer than maxCompletionBytes or there is no room for it.
type completionBuffer struct {
	kept    *holdings.ResponseHolding
	content bytes.Buffer
	// tooLong is set once the completion is too long; content is empty from then on.
	tooLong bool
}

// Write implements io.Writer.
func (b *completionBuffer) Write(chunk []byte) (int, error) {
	length := b.content.Len() + len(chunk)
	if length > maxCompletionBytes || length > b.content.Cap() && !b.kept.TryKeep(holdings.BufferGrowth*length) {
		b.tooLong, b.content = true, bytes.Buffer{}
	}
	if !b.tooLong {
		b.content.Write(chunk)
	}
	return len(chunk), nil
}

// copyCompletion copies a response that is not streamed and returns its usage.
func copyCompletion(w io.Writer, r io.Reader, kept *holdings.ResponseHolding) (link.Usage, error) {
	body := &completionBuffer{kept: kept}
	if err := copyBody(w, io.TeeReader(r, body)); err != nil {
		return link.Usage{}, err
	}
	var completion api.Completion
	if err := json.Unmarshal(body.content.Bytes(), &completion); err != nil || completion.Usage == nil {
		return fallbackUsage(0), nil //nolint:nilerr // A response in another form is passed on and billed as a request.
	}
	return reportedUsage(*completion.Usage), nil
}

// readEvents calls handle with each event of a stream as it is complete.
//
// It returns ErrInterrupted for a stream that ends inside an event, for an event that is too long or for which there is no room, and for one that holds the
// head of another response.
func readEvents(r io.Reader, kept *holdings.ResponseHolding, handle func(event []byte) error) error {
	reader := bufio.NewReaderSize(r, eventBufferSize)
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return oops.Wrapf(ErrInterrupted, "event is longer than %d bytes", maxEventBytes)
		}
		if length := len(event) + len(line); length > cap(event) {
			if keepErr := kept.Keep(holdings.BufferGrowth * length); keepErr != nil {
				return oops.Wrapf(ErrInterrupted, "%v", keepErr)
			}
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return oops.Wrapf(ErrInterrupted, "the stream ends inside an event")
		case err != nil:
			return oops.Wrapf(ErrInterrupted, "%v", err)
		case len(bytes.TrimRight(line, "\r\n")) > 0:
			continue
		}
		for each := range eventstream.Events(event) {
			if each.HasResponseHead {
				return oops.Wrapf(ErrInterrupted, "another response begins inside the stream")
			}
		}
		if err := handle(event); err != nil {
			return err
		}
		event = event[:0]
	}
}

// eventCopier copies the event stream of an engine.
type eventCopier struct {
	w            io.Writer
	includeUsage bool
	usage        *api.Usage
	events       ident.Tokens
	done         bool
}

// copyEvents copies the event stream of an engine until its end and returns its usage.
//
// It returns ErrInterrupted for a stream without the end marker.
func copyEvents(w io.Writer, r io.Reader, kept *holdings.ResponseHolding, includeUsage bool) (link.Usage, error) {
	copier := &eventCopier{w: w, includeUsage: includeUsage}
	if err := readEvents(r, kept, copier.copy); err != nil {
		return copier.partialUsage(), err
	}
	return copier.finish()
}

// copy passes an event on, except for a usage event that the caller did not ask for.
func (c *eventCopier) copy(event []byte) error {
	payload, found := bytes.CutPrefix(event, dataPrefix)
	if !found {
		_, err := c.w.Write(event)
		return err
	}
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(payload), doneMarker):
		c.done = true
	case bytes.Contains(payload, usageMarker):
		if c.parseUsage(payload) && !c.includeUsage {
			return nil
		}
	default:
		c.events++
	}
	_, err := c.w.Write(event)
	return err
}

// parseUsage stores the usage of an event and reports whether the event contains no choices.
func (c *eventCopier) parseUsage(payload []byte) bool {
	var completion api.Completion
	if err := json.Unmarshal(payload, &completion); err != nil || completion.Usage == nil {
		return false
	}
	c.usage = completion.Usage
	return len(completion.Choices) == 0
}

func (c *eventCopier) finish() (link.Usage, error) {
	if !c.done {
		return c.partialUsage(), oops.Wrapf(ErrInterrupted, "the stream has no end mark")
	}
	if c.usage == nil {
		return fallbackUsage(c.events), nil
	}
	return reportedUsage(*c.usage), nil
}

func (c *eventCopier) partialUsage() link.Usage {
	return link.Usage{Completion: c.events}
}
