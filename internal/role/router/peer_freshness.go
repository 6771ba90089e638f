package router

import (
	"sync"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// freshnessTTL is how long a peer's report of the age of its configuration is used: three messages at the slowest rate of gossip.
const freshnessTTL = 3 * time.Second

// peerFreshness holds how old the configuration of each peer is, as the peers report it.
type peerFreshness struct {
	mu sync.Mutex
	// reports holds the last report of each peer; those older than freshnessTTL are dropped with the next one. Guarded by mu.
	reports map[ident.Process]freshnessReport
}

type freshnessReport struct {
	age        time.Duration
	receivedAt clock.Reading
}

// record stores a peer's report.
func (p *peerFreshness) record(now clock.Reading, peer ident.Process, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[ident.Process]freshnessReport)
	}
	for process, report := range p.reports {
		if now.Sub(report.receivedAt) > freshnessTTL {
			delete(p.reports, process)
		}
	}
	p.reports[peer] = freshnessReport{age: age, receivedAt: now}
}

// mostlyCurrent reports whether more than half of the peers that were heard recently had a configuration of at most the given age. It only decides how
// soon a caller is told to come back to another instance, so that a report on its way does no harm.
func (p *peerFreshness) mostlyCurrent(now clock.Reading, maxAge time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, current := 0, 0
	for _, report := range p.reports {
		if now.Sub(report.receivedAt) > freshnessTTL {
			continue
		}
		heard++
		if report.age <= maxAge {
			current++
		}
	}
	return 2*current > heard
}
