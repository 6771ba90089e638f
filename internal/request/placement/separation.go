package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Separation of the engines of a load-aware service.
const (
	// paceFraction is the fraction of the shortest allowed pause that an event may take on an engine that serves only latency-sensitive streams. The rest
	// is for work that takes up to 2.5 times as long as normal, and for the prefill of the streams' own prompts.
	paceFraction = 0.25
	// minStreamCapacity is the number of streams below which an engine is too slow to be reserved.
	minStreamCapacity = 8
	// maxReservedRate is the maximum fraction of the service's prefill rate that may be reserved.
	maxReservedRate = 0.25
)

// streamCapacity returns how many latency-sensitive streams an engine serves with the event times that they allow, at most the given fraction of its
// slots.
func (s *server) streamCapacity(settings Settings, slotFraction float64) float64 {
	capacity := slotFraction * float64(s.Slots)
	if settings.TokensPerEvent == 0 || s.figures.stepMsPerRequest <= 0 {
		return capacity
	}
	step := paceFraction * milliseconds(settings.ShortestPause) / float64(settings.TokensPerEvent)
	return min(max((step-s.figures.stepMs)/s.figures.stepMsPerRequest, 0), capacity)
}

// markByCapacity reserves engines of a load-aware service for the latency-sensitive streams in flight and, if arriving is set, for the stream that is
// being placed.
//
// Load pattern: long prompts beside streams that allow pauses of several prefills, on engines of different speeds. The engines that are reserved must
// keep the streams' pace under full load, so an engine counts by the streams that it carries at that pace and by the prefill rate that its reservation
// takes from the long prompts. The failure domains take turns, so that the streams of each find an engine there and the loss of one leaves others.
func (r *reservation) markByCapacity(now time.Time, engines []*server, arriving bool, settings Settings) {
	streams, totalRate, busy := 0, 0.0, 0.0
	if arriving {
		streams = 1
	}
	for _, engine := range engines {
		streams += engine.load.LatencySensitive
		totalRate += engine.figures.rate
		busyTokens := float64(engine.figures.tokensIn(busyBacklog)) / backlogWeight
		busy += min(float64(engine.load.Prefill.Total())/max(busyTokens, 1), 1)
	}
	r.busyFraction = busy / float64(len(engines))
	if streams == 0 && r.engines == 0 {
		return
	}
	needed := burstHeadroom * float64(streams)
	// The streams' own prompts are prefilled between their events, so that an engine's slots are used up to maxStreamFraction only while the others need
	// every engine.
	slotFraction := minStreamFraction + (maxStreamFraction-minStreamFraction)*r.busyFraction
	capacity, rate, wanted := 0.0, 0.0, 0
	order := r.reservable(engines, settings)
	for _, engine := range order {
		if capacity >= needed && wanted >= minReserved || rate+engine.figures.rate > maxReservedRate*totalRate {
			break
		}
		capacity += engine.streamCapacity(settings, slotFraction)
		rate += engine.figures.rate
		wanted++
	}
	switch {
	case wanted >= r.engines:
		r.engines, r.neededAt = wanted, now
	case now.Sub(r.neededAt) > shrinkAfter:
		r.engines, r.neededAt = r.engines-1, now
	}
	for _, engine := range order[:min(r.engines, len(order))] {
		engine.reserved = true
	}
}

// reservable returns the engines that are fast enough to be reserved, the failure domains in turn, in an order that is the same at all instances.
func (r *reservation) reservable(engines []*server, settings Settings) []*server {
	r.order = r.order[:0]
	r.domains = r.domains[:0]
	for _, engine := range engines {
		if engine.streamCapacity(settings, maxStreamFraction) >= minStreamCapacity {
			r.domains = appendToDomain(r.domains, engine)
		}
	}
	for index := 0; ; index++ {
		added := false
		for _, domain := range r.domains {
			if index < len(domain.engines) {
				r.order = append(r.order, domain.engines[index])
				added = true
			}
		}
		if !added {
			return r.order
		}
	}
}

// domainEngines are the reservable engines of a failure domain.
type domainEngines struct {
	domain  ident.FailureDomain
	engines []*server
}

// appendToDomain adds an engine to those of its failure domain. It reuses the memory of entries that were cut off.
func appendToDomain(domains []domainEngines, engine *server) []domainEngines {
	for index := range domains {
		if domains[index].domain == engine.Domain {
			domains[index].engines = append(domains[index].engines, engine)
			return domains
		}
	}
	if len(domains) < cap(domains) {
		domains = domains[:len(domains)+1]
		last := &domains[len(domains)-1]
		last.domain, last.engines = engine.Domain, append(last.engines[:0], engine)
		return domains
	}
	return append(domains, domainEngines{domain: engine.Domain, engines: []*server{engine}})
}
