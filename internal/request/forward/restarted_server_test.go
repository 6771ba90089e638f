package forward_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// TestStreamAtServerThatStartedAgain guards against streams that are joined from two software versions: a server refuses connections, starts again under its
// id and at its address with another version, and the router can't read its new registration. Other requests still go there.
func TestStreamAtServerThatStartedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 100, streamEvents(1, 3, true))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	restarted := h.registered[0]
	restarted.ID, restarted.Address = "restarted", address
	h.registered = append(h.registered, restarted)
	h.servers.Update(h.registered, nil, true)
	refused := func() bool { return len(h.servers.WithUncertainSoftware()) > 0 }
	for range 100 {
		if refused() {
			break
		}
		_, _, err := h.send(t, "/resume/", nil)
		is.NoErr(err)
	}
	is.True(refused())

	listener, err = net.Listen("tcp", address)
	is.NoErr(err)
	var streams, others atomic.Int64
	backend := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/resume/" {
			streams.Add(1)
		} else {
			others.Add(1)
		}
		respondOK("ok")(w, r)
	})}}
	backend.Start()
	t.Cleanup(backend.Close)
	for range 20 {
		response, body, err := h.send(t, "/resume/", nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, events(1, 3))
	}
	is.Equal(streams.Load(), int64(0))

	h.servers.Update([]platform.Server{restarted}, nil, true)
	_, _, err = h.send(t, "/get/", nil)
	is.NoErr(err)
	is.True(others.Load() > 0)
	response, _, err := h.send(t, "/resume/", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	restarted.StartedUnixMS++
	h.servers.Update([]platform.Server{restarted}, nil, true)
	_, _, _ = h.send(t, "/resume/", nil)
	is.Equal(streams.Load(), int64(1))
}
