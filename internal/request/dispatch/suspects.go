package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
)

// probeTimeout bounds the probe that checks whether a sidecar's process is gone.
const probeTimeout = 300 * time.Millisecond

// suspectRetryAfter is the Retry-After while the same suspect is running.
const suspectRetryAfter = time.Second

// admitSuspect refuses a request that crashed too many endpoints, and a suspect that is already running. For an admitted request
// it returns the function that must be called at the end of its attempt.
func (d *Dispatcher) admitSuspect(open *link.Open) (releaseSuspect func(), failure *refusal.Error) {
	now := time.Now()
	status, blockedUntil := d.config.Suspects.Status(open.Digest, now)
	switch {
	case status == suspect.Allowed:
		return func() {}, nil
	case status == suspect.Blocked:
		return nil, refusal.Retryable(http.StatusUnprocessableEntity, api.CodePoisoned, fmt.Sprintf(
			"%d endpoints crashed while they ran this request; it is refused until %s",
			suspect.MaxLosses, blockedUntil.UTC().Format(time.RFC3339)),
			blockedUntil.Sub(now))
	case !d.config.Suspects.TryBegin(open.Digest):
		return nil, refusal.Retryable(http.StatusServiceUnavailable, api.CodeOverloaded,
			"an endpoint crashed while it ran this request; the same request is being tried again now", suspectRetryAfter)
	}
	open.Suspect = true
	return func() { d.config.Suspects.End(open.Digest) }, nil
}

// recordLoss records the loss of an endpoint against the request that it ran.
func (d *Dispatcher) recordLoss(open *link.Open, loss suspect.Loss) {
	d.config.Suspects.RecordLoss(open.Digest, loss, time.Now())
}

// recordIfGone records the loss of the endpoint together with its sidecar against the request that it ran, if a probe finds that
// the sidecar's process is gone.
//
// If the link ended for another reason, such as a network failure, the endpoint was not lost.
func (d *Dispatcher) recordIfGone(open *link.Open, endpoint *fleet.Endpoint, peer link.Hello) {
	loss := fmt.Sprintf("%s/%s/gone", endpoint.Configuration.ID, peer.Incarnation)
	_, err, _ := d.probes.Do(loss, func() (any, error) { return nil, probe(endpoint.Configuration.Sidecar) })
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.recordLoss(open, suspect.Loss(loss))
	}
}

// probe returns nil if a process listens at the address.
func probe(address string) error {
	dialer := net.Dialer{Timeout: probeTimeout}
	socket, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return socket.Close()
}
