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

// TestTimestampsKeepCausalOrder holds that a sidecar whose wall clock is an hour off keeps its place on the time line.
func TestTimestampsKeepCausalOrder(t *testing.T) {
	t.Parallel()
	for _, skew := range []time.Duration{-time.Hour, time.Hour} {
		is := is.New(t)
		entry := event.NewClock(time.Now)
		sidecar := event.NewClock(func() time.Time { return time.Now().Add(skew) })
		steps := make(chan event.Time, 1)
		server := httptest.NewServer(link.NewServer(link.ServerConfig{
			Hello:      func() link.Hello { return hello(1, 1, "") },
			EventClock: sidecar,
			Handler: handler(func(stream *link.Incoming) {
				steps <- sidecar.Now()
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
		started := <-steps
		is.True(sent.Compare(started) < 0)     // sent before started
		is.True(started.Compare(received) < 0) // started before received
		client.Close()
		server.Close()
	}
}
