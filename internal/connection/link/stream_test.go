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

// idleClient returns a client whose frames go nowhere.
func idleClient() *Client {
	conn := &Conn{times: event.NewClock(time.Now), outgoing: make(chan Frame, outgoingFrames), done: make(chan struct{})}
	return &Client{Conn: conn, streams: make(map[StreamID]*Stream)}
}

// answer is a whole answer as its caller should see it.
type answer struct {
	status int
	body   []byte
}

// frames returns the frames in which a sidecar sends an answer.
func (a answer) frames(request ident.Request, parts [][]byte) []Frame {
	proof := newProof(request)
	proof.head(a.status, nil)
	frames := []Frame{&Accept{Stream: 1}, &Head{Stream: 1, Status: a.status}}
	for index, part := range parts {
		proof.data(part)
		frames = append(frames, &Data{Stream: 1, Sequence: uint64(index), Bytes: part})
	}
	return append(frames, &End{Stream: 1, Frames: proof.frames, Length: proof.length, Digest: proof.digest.Sum64()})
}

func drawAnswer(t *rapid.T, label string) (answer, [][]byte) {
	parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 4), 0, 5).Draw(t, label)
	return answer{status: rapid.SampledFrom([]int{200, 201, 500}).Draw(t, label+" status"), body: bytes.Join(parts, nil)}, parts
}

// disturb drops, repeats, swaps, shortens or replaces frames.
func disturb(t *rapid.T, frames, others []Frame) []Frame {
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

// read returns the answer that a caller is given as whole, or an error.
func read(stream *Stream) (answer, error) {
	var got answer
	for {
		frame, err := stream.Next(context.Background())
		if err != nil {
			return answer{}, err
		}
		switch frame := frame.(type) {
		case *Head:
			got.status = frame.Status
		case *Data:
			got.body = append(got.body, frame.Bytes...)
		case *Deny:
			return answer{}, ErrTruncated
		case *End:
			return got, nil
		}
	}
}

// TestOnlyCompleteResponses checks that an undisturbed answer is delivered, and no disturbed one as whole.
func TestOnlyCompleteResponses(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		want, parts := drawAnswer(t, "own")
		other, otherParts := drawAnswer(t, "other")
		client := idleClient()
		stream, err := client.Open(context.Background(), &Open{Request: "own"})
		if err != nil {
			t.Fatal(err)
		}
		sent := want.frames("own", parts)
		disturbed := disturb(t, slices.Clone(sent), other.frames("other", otherParts))
		for _, frame := range disturbed {
			if err := client.handle(frame); err != nil {
				t.Fatal(err)
			}
		}
		close(client.done)
		got, err := read(stream)
		if slices.Equal(sent, disturbed) && err != nil {
			t.Fatalf("found %v for an undisturbed answer", err)
		}
		if err == nil && (got.status != want.status || !bytes.Equal(got.body, want.body)) {
			t.Fatalf("found %v delivered as whole, want %v", got, want)
		}
	})
}

// TestFrameOrder checks that frames out of order are neither kept nor delivered.
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
		client := idleClient()
		stream, err := client.Open(context.Background(), &Open{Request: "r"})
		is.NoErr(err)
		for _, frame := range frames {
			is.NoErr(client.handle(frame))
		}
		is.NoErr(client.handle(head))
		is.Equal(len(stream.queue), len(frames)-1)
		_, err = read(stream)
		is.True(errors.Is(err, ErrTruncated))
	}
}

// TestAbandonOutcome checks that an abandoned request is said not to have run only if it is never sent.
func TestAbandonOutcome(t *testing.T) {
	t.Parallel()
	for _, taken := range []bool{false, true} {
		is := is.New(t)
		client := idleClient()
		stream, err := client.Open(context.Background(), &Open{Request: "r", Method: "GET", Path: "/"})
		is.NoErr(err)
		if taken {
			_, err = client.batch(nil, <-client.outgoing)
			is.NoErr(err)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		known := stream.Abandon(ended, "test")
		if taken {
			is.Equal(known, outcome.Unknown)
			continue
		}
		is.Equal(known, outcome.NotRun)
		message, err := client.batch(nil, <-client.outgoing)
		is.NoErr(err)
		is.Equal(len(message), 0) // A withdrawn request never reaches the socket.
	}
}

// TestCreditBound checks that a sidecar that ignores its credit ends the link instead of filling the entry's memory.
func TestCreditBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	client := idleClient()
	_, err := client.Open(context.Background(), &Open{Request: "r"})
	is.NoErr(err)
	is.NoErr(client.handle(&Accept{Stream: 1}))
	is.NoErr(client.handle(&Head{Stream: 1, Status: 200}))
	sent := 0
	for err = nil; err == nil; sent += dataBytes {
		err = client.handle(&Data{Stream: 1, Bytes: make([]byte, dataBytes)})
	}
	is.True(sent <= 3*windowBytes)
}

// TestExcessDelay checks that the age of a frame is its real delay beyond the fastest, whatever the clocks' difference.
func TestExcessDelay(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset"))
		drift := rapid.Int64Range(-9000, 9000).Draw(t, "drift in 1e-8")
		var passage passage
		now, least := time.Duration(0), time.Duration(1<<62)
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			now += time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "delay"))
			least = min(least, delay)
			arrived := now + delay
			sender := clock.Reading(now + offset + now*time.Duration(drift)/1e8)
			age := passage.age(sender, clock.Reading(arrived))
			const rounding = 2 * time.Millisecond
			slack := arrived / 3000
			if low, high := delay-least-slack-rounding, delay+rounding; age < low || age > high {
				t.Fatalf("found age %s, want %s to %s", age, low, high)
			}
			now = arrived
		}
	})
}

// FuzzDecode checks that no message breaks the decoder, and that what it accepts stands for itself.
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
			t.Fatalf("found %d bytes left of %d", len(rest), len(message))
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

// ExpireLastPing makes a stream's link look as after a stop of the process.
func ExpireLastPing(stream *Incoming) { stream.link.alive.Store(int64(clock.Boot().Add(-time.Hour))) }

// OpenAndStall opens a link, sends one request and never reads again, as a stopped entry does.
func OpenAndStall(url string, own Hello) error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, url, nil) //nolint:bodyclose // The library closes it.
	if err != nil {
		return err
	}
	conn := &Conn{times: event.NewClock(time.Now), socket: socket}
	if err := conn.greetFirst(ctx, own); err != nil {
		return err
	}
	message, err := Append(nil, &Open{Stream: 1, Request: "r", Method: "GET", Path: "/"})
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, message)
}
