package servers

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sync/singleflight"

	"vanillapond/internal/connection/socket"
)

// Checks whether a server has crashed.
const (
	// crashCheckTimeout bounds one connection attempt.
	crashCheckTimeout = 300 * time.Millisecond
	// crashChecks is the number of attempts, and crashCheckInterval the time between two: a process that ends may close its connections
	// before its listener.
	crashChecks        = 3
	crashCheckInterval = 30 * time.Millisecond
)

// CrashDetector tells servers that crashed from those of which only a connection broke.
type CrashDetector struct {
	// Dial opens connections; nil means socket.Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnCrash is called once for all requests that a server had when it crashed, with the cause of one of them; nil is not called.
	OnCrash func(server *Server, cause error)
	// checks joins the checks of one server by all requests that it had.
	checks singleflight.Group
}

// HasCrashed reports whether a server to which a connection broke, for this cause, accepts no connections any more. A connection that
// timed out says nothing about the server, since the network may be at fault.
func (d *CrashDetector) HasCrashed(server *Server, cause error) bool {
	if timedOut := net.Error(nil); errors.Is(cause, os.ErrDeadlineExceeded) || errors.As(cause, &timedOut) && timedOut.Timeout() {
		return false
	}
	crashed, _, _ := d.checks.Do(server.Address, func() (any, error) {
		crashed := d.check(server.Address)
		if crashed && d.OnCrash != nil {
			d.OnCrash(server, cause)
		}
		return crashed, nil
	})
	return crashed == true
}

func (d *CrashDetector) check(address string) bool {
	dial := d.Dial
	if dial == nil {
		dial = socket.Dial
	}
	for check := range crashChecks {
		if check > 0 {
			time.Sleep(crashCheckInterval)
		}
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		conn, err := dial(ctx, "tcp", address)
		cancel()
		if err != nil {
			return true
		}
		_ = conn.Close()
	}
	return false
}
