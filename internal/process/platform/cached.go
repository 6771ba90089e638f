package platform

import (
	"context"
	"sync"
	"time"
)

// Parameters of the cache.
const (
	// minCacheTTL is the minimum interval between two reads of the list.
	minCacheTTL = 2 * time.Second
	// cacheTTLPerVM limits the network traffic for long lists: the interval is at least this long for each VM on the list.
	cacheTTLPerVM = 80 * time.Millisecond
)

// CachedVMs caches the platform's list of VMs for all users in a process. The longer the list is, the longer it is cached.
type CachedVMs struct {
	source VMs
	now    func() time.Time
	mu     sync.Mutex
	// vms is the cached list and readAt the time at which it was read, zero before the first read; both are guarded by mu.
	vms    []VM
	readAt time.Time
}

// NewCachedVMs returns an empty cache that reads the list from source; now is the clock.
func NewCachedVMs(source VMs, now func() time.Time) *CachedVMs {
	return &CachedVMs{source: source, now: now}
}

// VMs implements VMs; it returns the cached list until that expires.
func (c *CachedVMs) VMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readAt.IsZero() && c.now().Sub(c.readAt) < max(minCacheTTL, time.Duration(len(c.vms))*cacheTTLPerVM) {
		return c.vms, nil
	}
	vms, err := c.source.VMs(ctx)
	if err != nil {
		return nil, err
	}
	c.vms = vms
	c.readAt = c.now()
	return vms, nil
}
