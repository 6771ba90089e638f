package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/samber/oops"

	"vanillapond/internal/connection/link"
	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Marks in an engine's event stream.
var (
	dataMark  = []byte("data:")
	doneMark  = []byte("[DONE]")
	usageMark = []byte(`"usage":{`)
)

// maxCompletion is the greatest size of a whole answer, in bytes.
const maxCompletion = 64 << 20

// eventBytes is the size of the buffer in which an event must fit, in bytes.
const eventBytes = 16 << 10

// streaming says how a completion is answered.
type streaming struct {
	stream      bool
	usageWanted bool
}

// prepare asks the engine for usage and gives it the tier as its priority.
func prepare(body []byte, tier ident.Tier) ([]byte, streaming, error) {
	var request api.CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, streaming{}, oops.Wrapf(err, "decode completion request")
	}
	streamed := streaming{
		stream:      request.Stream,
		usageWanted: request.StreamOptions != nil && request.StreamOptions.IncludeUsage,
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, streaming{}, oops.Wrapf(err, "decode completion request")
	}
	priority, err := json.Marshal(tier)
	if err != nil {
		return nil, streaming{}, oops.Wrapf(err, "encode priority")
	}
	fields["priority"] = priority
	if streamed.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	prepared, err := json.Marshal(fields)
	return prepared, streamed, err
}

// copyCompletion copies a whole answer and reads its usage.
func copyCompletion(w io.Writer, r io.Reader) (link.Usage, error) {
	var kept bytes.Buffer
	if err := copyParts(w, io.TeeReader(io.LimitReader(r, maxCompletion), &kept)); err != nil {
		return link.Usage{}, err
	}
	var completion api.Completion
	if err := json.Unmarshal(kept.Bytes(), &completion); err != nil || completion.Usage == nil {
		return counted(0), nil //nolint:nilerr // An answer in another form is passed on and billed as a request.
	}
	return total(*completion.Usage), nil
}

// eventCopier copies an event stream, event by event.
type eventCopier struct {
	w           io.Writer
	usageWanted bool
	event       []byte
	usage       *api.Usage
	events      ident.Tokens
	done        bool
}

// copyEvents copies an event stream to its end mark and reads its usage.
//
// It returns ErrCut for a stream without the end mark.
func copyEvents(w io.Writer, r io.Reader, usageWanted bool) (link.Usage, error) {
	copier := &eventCopier{w: w, usageWanted: usageWanted}
	reader := bufio.NewReaderSize(r, eventBytes)
	for {
		line, err := reader.ReadSlice('\n')
		copier.event = append(copier.event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return copier.end()
		}
		if err != nil {
			return copier.partial(), oops.Wrapf(ErrInterrupted, "%v", err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if err := copier.flush(); err != nil {
			return copier.partial(), err
		}
	}
}

// flush passes the event on, but for a usage event that the caller did not ask for.
func (c *eventCopier) flush() error {
	defer func() { c.event = c.event[:0] }()
	payload, found := bytes.CutPrefix(c.event, dataMark)
	if !found {
		_, err := c.w.Write(c.event)
		return err
	}
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(payload), doneMark):
		c.done = true
	case bytes.Contains(payload, usageMark):
		if c.takeUsage(payload) && !c.usageWanted {
			return nil
		}
	default:
		c.events++
	}
	_, err := c.w.Write(c.event)
	return err
}

// takeUsage reads the usage of an event and reports whether the event holds nothing else.
func (c *eventCopier) takeUsage(payload []byte) bool {
	var completion api.Completion
	if err := json.Unmarshal(payload, &completion); err != nil || completion.Usage == nil {
		return false
	}
	c.usage = completion.Usage
	return len(completion.Choices) == 0
}

func (c *eventCopier) end() (link.Usage, error) {
	if len(c.event) > 0 {
		if err := c.flush(); err != nil {
			return c.partial(), err
		}
	}
	if !c.done {
		return c.partial(), oops.Wrapf(ErrInterrupted, "the stream has no end mark")
	}
	if c.usage == nil {
		return counted(c.events), nil
	}
	return total(*c.usage), nil
}

func (c *eventCopier) partial() link.Usage {
	return link.Usage{Completion: c.events}
}
