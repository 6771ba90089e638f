package link_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"vanillapond/internal/connection/link"
)

// BenchmarkRelayedChunk reports the allocations for each part of an answer, at both ends of a link.
func BenchmarkRelayedChunk(b *testing.B) {
	part := []byte(`data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "}}]}` + "\n\n")
	parts := make(chan int)
	server := httptest.NewServer(link.NewServer(link.ServerConfig{
		Hello: func() link.Hello { return hello(1, 1, "") },
		Handler: handler(func(stream *link.Incoming) {
			_ = stream.Accept(link.Load{})
			_ = stream.Head(200, nil)
			for range <-parts {
				if _, err := stream.Write(part); err != nil {
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
	parts <- b.N
	if _, err := readAll(stream); err != nil {
		b.Fatal(err)
	}
}
