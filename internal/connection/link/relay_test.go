package link_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"vanillapond/internal/connection/link"
)

// BenchmarkRelayedChunk reports the allocations for each body chunk, at both ends of a link together.
func BenchmarkRelayedChunk(b *testing.B) {
	chunk := []byte(`data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "}}]}` + "\n\n")
	chunkCounts := make(chan int)
	server := httptest.NewServer(link.NewServer(link.ServerConfig{
		Hello: func() link.Hello { return hello(1, 1, "") },
		Handler: handler(func(stream *link.Incoming) {
			_ = stream.Accept(link.Load{})
			_ = stream.Head(200, nil)
			for range <-chunkCounts {
				if _, err := stream.Write(chunk); err != nil {
					return
				}
			}
			_ = stream.End(link.Usage{}, link.Load{})
		}),
	}))
	defer server.Close()
	client, err := link.Dial(context.Background(), link.ClientConfig{
		URL: "ws" + strings.TrimPrefix(server.URL, "http"), Hello: hello(1, 1, ""),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	stream, err := client.Open(context.Background(), &link.Open{Request: "r", Method: "GET", Path: "/"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	chunkCounts <- b.N
	if _, err := readAll(stream); err != nil {
		b.Fatal(err)
	}
}
