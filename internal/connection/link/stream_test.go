package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/outcome"
	"vanillapond/pkg/ident"
)

// offlineClient returns a client whose frames stay in the queue.
func offlineClient() *Client {
	conn := &Conn{eventClock: event.NewClock(time.Now), outgoing: make(chan Frame, outgoingFrames), done: make(chan struct{})}
	return &Client{Conn: conn, streams: make(map[StreamID]*Stream)}
}

// response is a complete response.
type response struct {
	status int
	body   []byte
}

// frames returns the frames in which a sidecar sends the response.
func (r response) frames(request ident.Request, chunks [][]byte) []Frame {
	sum := newChecksum(request)
	sum.addHead(r.status, nil)
	frames := []Frame{&Accept{Stream: 1}, &Head{Stream: 1, Status: r.status}}
	for index, chunk := range chunks {
		sum.addChunk(chunk)
		frames = append(frames, &Data{Stream: 1, Sequence: uint64(index), Bytes: chunk})
	}
	return append(frames, &End{Stream: 1, Frames: sum.frames, Length: sum.length, Digest: sum.digest.Sum64()})
}

func drawResponse(t *rapid.T, label string) (response, [][]byte) {
	chunks := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 4), 0, 5).Draw(t, label)
	return response{status: rapid.SampledFrom([]int{200, 201, 500}).Draw(t, label+" status"), body: bytes.Join(chunks, nil)}, chunks
}

// injectFaults drops, repeats, swaps, shortens or replaces frames.
func injectFaults(t *rapid.T, frames, others []Frame) []Frame {
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		if len(frames) == 0 {
			break
		}
		at := rapid.IntRange(0, len(frames)-1).Draw(t, "at")
		switch rapid.IntRange(0, 5).Draw(t, "fault") {
		case 0:
			frames = append(frames[:at:at], frames[at+1:]...)
		case 1:
			frames = append(frames[:at+1:at+1], frames[at:]...)
		case 2:
			to := rapid.IntRange(0, len(frames)-1).Draw(t, "to")
			frames[at], frames[to] = frames[to], frames[at]
		case 3:
			if data, ok := frames[at].(*Data); ok && len(data.Bytes) > 0 {
				frames[at] = &Data{Stream: 1, Sequence: data.Sequence, Bytes: data.Bytes[1:]}
			}
		case 4:
			frames[at] = others[rapid.IntRange(0, len(others)-1).Draw(t, "other")]
		default:
			frames = others
		}
	}
	return frames
}

// readResponse returns the response if the stream delivers it as complete, else an error.
func readResponse(stream *Stream) (response, error) {
	var got response
	for {
		frame, err := stream.Next(context.Background())
		if err != nil {
			return response{}, err
		}
		switch frame := frame.(type) {
		case *Head:
			got.status = frame.Status
		case *Data:
			got.body = append(got.body, frame.Bytes...)
		case *Deny:
			return response{}, ErrTruncated
		case *End:
			return got, nil
		}
	}
}

// TestOnlyCompleteResponses checks that a response is delivered if its frames arrive unchanged, and that dropped, repeated,
// swapped, shortened or foreign frames never lead to another response that counts as complete.
func TestOnlyCompleteResponses(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		want, chunks := drawResponse(t, "own")
		other, otherChunks := drawResponse(t, "other")
		client := offlineClient()
		stream, err := client.Open(context.Background(), &Open{Request: "own"})
		if err != nil {
			t.Fatal(err)
		}
		sent := want.frames("own", chunks)
		received := injectFaults(t, slices.Clone(sent), other.frames("other", otherChunks))
		for _, frame := range received {
			if err := client.handle(frame); err != nil {
				t.Fatal(err)
			}
		}
		close(client.done)
		got, err := readResponse(stream)
		if slices.Equal(sent, received) && err != nil {
			t.Fatalf("found %v for an unchanged response", err)
		}
		if err == nil && (got.status != want.status || !bytes.Equal(got.body, want.body)) {
			t.Fatalf("found %v delivered as complete, want %v", got, want)
		}
	})
}

// TestFrameOrder checks that a frame out of order and all frames after it are dropped, and that the reader gets ErrTruncated.
func TestFrameOrder(t *testing.T) {
	t.Parallel()
	head := &Head{Stream: 1, Status: 200}
	for _, frames := range [][]Frame{
		{head},
		{&Accept{Stream: 1}, &Data{Stream: 1}},
		{&Accept{Stream: 1}, &End{Stream: 1}},
		{&Accept{Stream: 1}, head, head},
		{&Accept{Stream: 1}, head, &Accept{Stream: 1}},
	} {
		is := is.New(t)
		client := offlineClient()
		stream, err := client.Open(context.Background(), &Open{Request: "r"})
		is.NoErr(err)
		for _, frame := range frames {
			is.NoErr(client.handle(frame))
		}
		is.NoErr(client.handle(head))
		is.Equal(len(stream.queue), len(frames)-1)
		_, err = readResponse(stream)
		is.True(errors.Is(err, ErrTruncated))
	}
}

// TestAbandonOutcome checks that the outcome of an abandoned request is NotRun only if the request is never sent.
func TestAbandonOutcome(t *testing.T) {
	t.Parallel()
	for _, sendBegun := range []bool{false, true} {
		is := is.New(t)
		client := offlineClient()
		stream, err := client.Open(context.Background(), &Open{Request: "r", Method: "GET", Path: "/"})
		is.NoErr(err)
		if sendBegun {
			_, err = client.batch(nil, <-client.outgoing)
			is.NoErr(err)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		result := stream.Abandon(ended, "test")
		if sendBegun {
			is.Equal(result, outcome.Unknown)
			continue
		}
		is.Equal(result, outcome.NotRun)
		message, err := client.batch(nil, <-client.outgoing)
		is.NoErr(err)
		is.Equal(len(message), 0) // A withdrawn request never reaches the socket.
	}
}

// TestCreditBound checks that a sidecar that ignores its credit ends the link instead of filling the entry's memory.
func TestCreditBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	client := offlineClient()
	_, err := client.Open(context.Background(), &Open{Request: "r"})
	is.NoErr(err)
	is.NoErr(client.handle(&Accept{Stream: 1}))
	is.NoErr(client.handle(&Head{Stream: 1, Status: 200}))
	sent := 0
	for err = nil; err == nil; sent += maxDataBytes {
		err = client.handle(&Data{Stream: 1, Bytes: make([]byte, maxDataBytes)})
	}
	is.True(sent <= 3*windowBytes)
}

// TestExcessDelay checks that a frame's excess delay is its real delay minus that of the fastest frame, up to drift and rounding,
// whatever the offset between the clocks.
func TestExcessDelay(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset"))
		drift := rapid.Int64Range(-9000, 9000).Draw(t, "drift in 1e-8")
		var delays delayEstimator
		now, minDelay := time.Duration(0), time.Duration(1<<62)
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			now += time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "delay"))
			minDelay = min(minDelay, delay)
			arrived := now + delay
			sent := clock.Reading(now + offset + now*time.Duration(drift)/1e8)
			excess := delays.excessDelay(sent, clock.Reading(arrived))
			const rounding = 2 * time.Millisecond
			slack := arrived / 3000
			if low, high := delay-minDelay-slack-rounding, delay+rounding; excess < low || excess > high {
				t.Fatalf("found excess delay %s, want %s to %s", excess, low, high)
			}
			now = arrived
		}
	})
}

// FuzzDecode checks that the decoder survives any message, and that a decoded frame is the same after encoding and decoding again.
func FuzzDecode(f *testing.F) {
	for _, frame := range []Frame{
		&Hello{MinVersion: 1, MaxVersion: 2, Process: "entry-1", Secret: "s"},
		&Open{Stream: 1, Request: "r", Method: "PUT", Path: "/p", Header: []Header{{"A", "b"}}, Body: []byte("body"), SentMS: 7},
		&Accept{Stream: 1, Load: Load{Running: 1}},
		&Deny{Stream: 1, Code: DenyBusy, NotRun: true, Reason: "full"},
		&Head{Stream: 1, Status: 200, Header: []Header{{"A", "b"}}},
		&Data{Stream: 1, Sequence: 3, Bytes: []byte("part")},
		&End{Stream: 1, Frames: 1, Length: 4, Digest: 9, Usage: Usage{Requests: 1}},
		&Cancel{Stream: 1, Reason: "gone"}, &Credit{Stream: 1, Bytes: 5}, &LoadReport{Load: Load{Waiting: 2}}, &OutcomeQuery{Stream: 1, Request: "r", SentAgoMS: 3},
	} {
		message, err := Append(nil, frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
		f.Add(message[:len(message)-1])
		f.Add(append(message, message...))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		frame, rest, err := Decode(message)
		if err != nil {
			return
		}
		if len(rest) >= len(message) {
			t.Fatalf("found %d bytes remaining of %d", len(rest), len(message))
		}
		again, err := Append(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		second, _, err := Decode(again)
		if err != nil || fmt.Sprintf("%+v", second) != fmt.Sprintf("%+v", frame) {
			t.Fatalf("found %+v after %+v: %v", second, frame, err)
		}
	})
}

// ExpireLastPing sets the last answered ping of a stream's link an hour back, as after a pause of this process.
func ExpireLastPing(stream *Incoming) {
	stream.link.lastAnsweredPing.Store(int64(clock.Boot().Add(-time.Hour)))
}

// OpenAndStall opens a link, sends one request and never reads again, as a paused entry does.
func OpenAndStall(url string, local Hello) error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, url, nil) //nolint:bodyclose // The library closes it.
	if err != nil {
		return err
	}
	conn := &Conn{eventClock: event.NewClock(time.Now), socket: socket}
	if err := conn.sendHelloFirst(ctx, local); err != nil {
		return err
	}
	message, err := Append(nil, &Open{Stream: 1, Request: "r", Method: "GET", Path: "/"})
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, message)
}
