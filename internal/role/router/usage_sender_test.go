package router

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/platform"
)

// silentPeer accepts connections, reads what comes and responds to nothing. It sends the error with which each connection ends to ended.
func silentPeer(t *testing.T) (address string, ended <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ends := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := io.Copy(io.Discard, conn)
				ends <- err
			}()
		}
	}()
	return listener.Addr().String(), ends
}

// TestGivenUpReportIsReset guards against a usage report of an earlier holder that arrives after those of its successor: the kernel goes on sending the
// bytes of a connection that is closed in order for as long as the link is down.
func TestGivenUpReportIsReset(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address, ended := silentPeer(t)
	sender := usageReportSender{platform.NewDuties(platform.DutiesConfig{Address: address, Process: "front-1"})}
	err := sender.Send(t.Context(), usage.Report{Window: 7, Fence: 1, Timeout: 100 * time.Millisecond, Confirm: func() error { return nil }})
	is.True(errors.Is(err, table.ErrOutcomeUnknown))
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

// TestReportIsConfirmedBeforeItIsSent guards against a report that is sent after the lease has ended, because the process stood still while it connected.
func TestReportIsConfirmedBeforeItIsSent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address, ended := silentPeer(t)
	sender := usageReportSender{platform.NewDuties(platform.DutiesConfig{Address: address, Process: "front-1"})}
	err := sender.Send(t.Context(), usage.Report{Window: 7, Fence: 1, Timeout: time.Second, Confirm: func() error { return lease.ErrNotHeld }})
	is.True(errors.Is(err, table.ErrRefused))
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

// TestReportIsGivenUpAfterSuspension guards against a report that is on its way when its machine is suspended, and goes on when it wakes: the timeout
// counts the time of the suspension.
func TestReportIsGivenUpAfterSuspension(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address, ended := silentPeer(t)
	var suspended atomic.Bool
	now := func() clock.Reading {
		if suspended.Load() {
			return clock.Boot().Add(time.Hour)
		}
		return clock.Boot()
	}
	sender := usageReportSender{platform.NewDuties(platform.DutiesConfig{Address: address, Process: "front-1", Now: now})}
	const timeout = 10 * time.Second
	confirm := func() error {
		suspended.Store(true)
		return nil
	}
	start := time.Now()
	err := sender.Send(t.Context(), usage.Report{Window: 7, Fence: 1, Timeout: timeout, Confirm: confirm})
	is.True(errors.Is(err, table.ErrOutcomeUnknown))
	is.True(time.Since(start) < timeout/2)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
