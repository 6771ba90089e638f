package link_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
)

// TestTimestampsKeepCausalOrder checks that a sidecar whose wall clock is an hour off records its events in causal order with
// those of the entry.
func TestTimestampsKeepCausalOrder(t *testing.T) {
	t.Parallel()
	for _, skew := range []time.Duration{-time.Hour, time.Hour} {
		is := is.New(t)
		entry := event.NewClock(time.Now)
		sidecar := event.NewClock(func() time.Time { return time.Now().Add(skew) })
		startTimes := make(chan event.Time, 1)
		server := httptest.NewServer(link.NewServer(link.ServerConfig{
			Hello:      func() link.Hello { return hello(1, 1, "") },
			EventClock: sidecar,
			Handler: handler(func(stream *link.Incoming) {
				startTimes <- sidecar.Now()
				echo(stream)
			}),
		}))
		client, err := link.Dial(context.Background(), link.ClientConfig{
			URL: "ws" + strings.TrimPrefix(server.URL, "http"), Hello: hello(1, 1, ""), EventClock: entry,
		})
		is.NoErr(err)
		sent := entry.Now()
		_, err = readAll(open(t, client, "r"))
		is.NoErr(err)
		received := entry.Now()
		started := <-startTimes
		is.True(sent.Compare(started) < 0)     // The request was sent before it started.
		is.True(started.Compare(received) < 0) // The request started before the response arrived.
		client.Close()
		server.Close()
	}
}
