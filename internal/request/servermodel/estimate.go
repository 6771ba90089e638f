package servermodel

import (
	"math"
	"slices"
	"time"
)

// estimate is a server's duration relative to the service's line.
type estimate struct {
	factor float64
	// weight is that of the samples of all instances, and newest the time of the newest one.
	weight float64
	newest time.Time
	// steady is the factor's running mean, by which samples for the service's line are normalized: the factor itself varies too much.
	steady float64
}

// refresh computes the estimates from the samples of all instances. Pick reads only its results, so that its time does not depend on the number
// of peers.
func (s *Server) refresh(now time.Time) {
	elapsed := now.Sub(s.refreshedAt).Seconds()
	s.refreshedAt = now
	reports := s.model.reportsOf(now, s)
	s.poolEvidence(reports)
	decoded := s.estimate(now, step, reports, s.peersFactor(step, reports), serviceWeight)
	prior, priorWeight := decoded.factor, stepWeight
	if decoded.weight < 1 {
		prior, priorWeight = s.peersFactor(firstEvent, reports), serviceWeight
	}
	prefilled := s.estimate(now, firstEvent, reports, prior, priorWeight)
	if decoded.weight < serviceWeight && prefilled.weight >= 1 {
		decoded.factor = prefilled.factor
	}
	for kind, next := range [quantities]estimate{prefilled, decoded} {
		last := &s.estimates[kind]
		next.steady = next.factor
		if last.weight >= 1 {
			next.steady = last.steady * math.Pow(next.factor/last.steady, 1-math.Exp(-max(elapsed, 0)/steadyTau))
		}
		*last = next
	}
}

// reportsOf returns what the peers report of a server; the result is valid until the next call.
func (m *Model) reportsOf(now time.Time, s *Server) []*peerServer {
	m.reports = m.reports[:0]
	for _, each := range m.livePeers(now) {
		if reported := each.servers[s.start.ID]; reported != nil && reported.startedUnixMS == s.start.StartedUnixMS {
			m.reports = append(m.reports, reported)
		}
	}
	return m.reports
}

// peersFactor returns the median of the peers' estimates of one duration, 1 without any. It is the prior, by which an instance that has few samples
// from its peers yet, too, uses what they have from all instances.
func (s *Server) peersFactor(kind quantity, reports []*peerServer) float64 {
	factors := s.model.numbers[:0]
	for _, reported := range reports {
		if reported.factors[kind] > 0 {
			factors = append(factors, reported.factors[kind])
		}
	}
	s.model.numbers = factors
	if len(factors) == 0 {
		return 1
	}
	slices.Sort(factors)
	return factors[len(factors)/2]
}

// poolEvidence sums the peers' evidence on the server's work figures. A peer alone cannot make them distrusted.
func (s *Server) poolEvidence(reports []*peerServer) {
	s.work.peersAgreeing, s.work.peersContradicting = 0, 0
	for _, reported := range reports {
		s.work.peersAgreeing += min(reported.agreeing, minEvidence/2)
		s.work.peersContradicting += min(reported.contradicting, minEvidence/2)
	}
	if s.work.judge() {
		s.notice(WorkContradicted)
	}
}

// estimate returns the estimate of one duration; the prior counts like a sample of its weight, and of weight 1 where there are fewer.
func (s *Server) estimate(now time.Time, kind quantity, reports []*peerServer, prior, priorWeight float64) estimate {
	s.decay(now, kind)
	own := &s.samples[kind]
	sum := own.bins
	result := estimate{newest: own.newest}
	weights := s.model.numbers[:0]
	weights = append(weights, own.bins.total())
	timeConstant := tau(s.estimates[kind].weight)
	for _, reported := range reports {
		weight := reported.weights[kind]
		if weight > 0 {
			weight *= math.Exp(-max(now.Sub(reported.at).Seconds(), 0) / timeConstant)
		}
		weights = append(weights, weight)
	}
	s.model.numbers = weights
	limitPeers(weights, len(s.model.peers), s.model.typical[kind])
	for index, reported := range reports {
		if reported.weights[kind] == 0 {
			continue
		}
		sum.addSparse(reported.samples[kind], weights[index+1]/reported.weights[kind], reported.shifts[kind])
		if reported.newest[kind].After(result.newest) {
			result.newest = reported.newest[kind]
		}
	}
	if result.weight = sum.total(); result.weight < minBinWeight {
		result.factor = prior
		return result
	}
	sum.add(prior, max(priorWeight, 1-result.weight))
	result.factor = min(max(sum.quantile(lowQuantile), 1/speedLimit), speedLimit)
	return result
}
