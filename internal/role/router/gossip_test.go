package router

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/journal"
	"vanillapond/internal/testport"
)

// TestStoppedGossipReleasesAddress verifies that another process can listen at the address once receive has returned, even if a datagram
// arrives during the stop.
func TestStoppedGossipReleasesAddress(t *testing.T) {
	is := is.New(t)
	address, err := testport.Address()
	is.NoErr(err)
	for range 200 {
		packets, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", address)
		is.NoErr(err)
		socket, ok := packets.(*net.UDPConn)
		is.True(ok)
		g := &gossip{router: &Router{journal: journal.New(journal.Config{Out: io.Discard})}, socket: socket}
		ctx, cancel := context.WithCancel(t.Context())
		received := make(chan struct{})
		go func() {
			defer close(received)
			g.receive(ctx)
		}()
		peer, err := (&net.Dialer{}).DialContext(t.Context(), "udp", address)
		is.NoErr(err)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for ctx.Err() == nil {
				_, _ = peer.Write([]byte{0xff})
			}
		}()
		time.Sleep(time.Millisecond)
		cancel()
		<-received
		next, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", address)
		is.NoErr(err) // the address is free again
		_ = next.Close()
		<-sent
		_ = peer.Close()
	}
}
