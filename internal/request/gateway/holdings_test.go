package gateway_test

import (
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
