package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/request/gateway"
	"vanillapond/pkg/api"
)

// TestNoRoomForBody checks that a body without room is refused as not run, and told when to come back.
func TestNoRoomForBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ran := make(chan struct{}, 1)
	account := holdings.New(holdings.Config{Limits: holdings.NewLimits(4<<20, 0)})
	address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
		ran <- struct{}{}
		_ = stream.Deny(link.Deny{Code: link.DenyFailed, Load: link.Load{Capacity: 1}})
	}), false, func(config *gateway.Config) { config.Holdings = account })
	for size := account.Limits().Bytes / 64; account.Bytes() < account.Limits().Bytes; {
		holding, err := account.Open(holdings.Body, "", min(size, account.Limits().Bytes-account.Bytes()), func() {})
		is.NoErr(err)
		is.NoErr(holding.Settle())
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/service/", strings.NewReader("body"))
	is.NoErr(err)
	request.Header.Set(api.HeaderAPIKey, "key")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(len(ran), 0)
}

// TestResponsesAreBoundedInSum guards against responses that are buffered until they are whole and together take the memory of the entry: one for which there is
// no room is passed on early, and its caller's connection is broken if it ends inside.
func TestResponsesAreBoundedInSum(t *testing.T) {
	t.Parallel()
	const part = 200 << 10
	for name, ends := range map[string]bool{"whole": true, "broken off": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			account := holdings.New(holdings.Config{Limits: holdings.NewResponseLimits(8 << 20)})
			full := account.OpenResponse("other", func() {})
			is.NoErr(full.Keep(int(account.Limits().Bytes)))
			seen := make(chan struct{})
			address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
				_ = stream.Accept(link.Load{Capacity: 1})
				_ = stream.Head(http.StatusOK, []link.Header{{Name: "Content-Type", Value: "text/plain"}})
				_, _ = io.WriteString(stream, strings.Repeat("x", part))
				<-seen
				if ends {
					_ = stream.End(link.Usage{}, link.Load{Capacity: 1})
				} else {
					_ = stream.Deny(link.Deny{Code: link.DenyFailed, Load: link.Load{Capacity: 1}})
				}
			}), false, func(config *gateway.Config) { config.Responses = account })
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/service/", strings.NewReader("body"))
			is.NoErr(err)
			request.Header.Set(api.HeaderAPIKey, "key")
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(account.Bytes() <= account.Limits().Bytes)
			close(seen)
			body, err := io.ReadAll(response.Body)
			is.Equal(err == nil, ends)
			is.True(!ends || len(body) == part)
			full.Close()
		})
	}
}
