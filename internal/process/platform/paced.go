package platform

import (
	"context"
	"sync"
	"time"
)

// Pace of the platform's list.
const (
	// listInterval is the least time between two reads of the list.
	listInterval = 2 * time.Second
	// listTimePerVM bounds what a long list costs on the network: each VM on it adds this much.
	listTimePerVM = 80 * time.Millisecond
)

// CachedVMs reads the platform's list for all parts of a process, the less often the longer it is.
type CachedVMs struct {
	source VMs
	now    func() time.Time
	mu     sync.Mutex
	// listed is the last reading and at its time; at is zero before the first. Guarded by mu.
	listed []VM
	at     time.Time
}

// NewCachedVMs returns a paced reader; now is the clock.
func NewCachedVMs(source VMs, now func() time.Time) *CachedVMs {
	return &CachedVMs{source: source, now: now}
}

// VMs implements VMs; it returns the last reading while that is young enough.
func (p *CachedVMs) VMs(ctx context.Context) ([]VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.at.IsZero() && p.now().Sub(p.at) < max(listInterval, time.Duration(len(p.listed))*listTimePerVM) {
		return p.listed, nil
	}
	listed, err := p.source.VMs(ctx)
	if err != nil {
		return nil, err
	}
	p.listed = listed
	p.at = p.now()
	return listed, nil
}
