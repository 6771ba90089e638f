package servermodel

import (
	"math"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// Server is what is known of one server.
type Server struct {
	model         *Model
	id            ident.Endpoint
	startedUnixMS int64
	samples       [quantities]samples
	estimates     [quantities]estimate
	work          workFigure
	// refreshedAt is when the estimates were computed.
	refreshedAt time.Time
	// noticed are the causes of contradictions that were found since the server started, and pending those of them that were not reported.
	noticed, pending [causes]bool
}

// samples are this instance's samples of one duration, relative to the service's line in use and divided by the work figure.
type samples struct {
	bins histogram
	// decayedTo is the time to which the weights are decayed, newest that of the newest sample.
	decayedTo, newest time.Time
	// meanSize is the mean size of recent samples, 0 before the first.
	meanSize float64
}

// estimate is a server's duration relative to the service's line.
type estimate struct {
	factor float64
	// weight is that of the samples of all instances, and newest the time of the newest one.
	weight float64
	newest time.Time
	// steady is the factor's running mean, by which samples for the service's line are normalized: the factor itself varies too much.
	steady float64
}

// Figures are the estimates of a server's speed while its work takes as long as normal, and how long it takes now.
type Figures struct {
	// Rate is the prefill rate in tokens per millisecond, BaseMS the time to the first event without prefill.
	Rate   float64
	BaseMS float64
	// A decode step with n running requests takes StepMS + n*StepMSPerRequest.
	StepMS, StepMSPerRequest float64
	// Work is how many times as long as normal work takes now; all durations are to be multiplied by it.
	Work float64
	// Prefill, Step and WorkFigure say on what the figures rest.
	Prefill, Step, WorkFigure Basis
}

// Basis is the evidence behind a figure.
type Basis struct {
	// Weight is the weight of the samples of all instances in numbers of undisturbed samples; 0 means that the service's figures are used.
	Weight float64
	// Newest is the time of the newest sample, zero without any.
	Newest time.Time
}

// Age returns the age of the newest sample, 0 without any.
func (b Basis) Age(now time.Time) time.Duration {
	if b.Newest.IsZero() {
		return 0
	}
	return max(now.Sub(b.Newest), 0)
}

// StepDuration returns the duration of a decode step with this number of running requests, at the current work figure.
func (f *Figures) StepDuration(running int) time.Duration {
	return time.Duration((f.StepMS + f.StepMSPerRequest*float64(running)) * f.Work * float64(time.Millisecond))
}

// Figures returns the estimates for a server.
func (s *Server) Figures(now time.Time) Figures {
	prefill, decode := &s.estimates[firstEvent], &s.estimates[step]
	lines := &s.model.curves
	prefillFactor, stepFactor := prefill.factor, decode.factor
	return Figures{
		Rate:             1 / (lines[firstEvent].fitted.perUnit * prefillFactor),
		BaseMS:           lines[firstEvent].fitted.fixed * prefillFactor,
		StepMS:           lines[step].fitted.fixed * stepFactor,
		StepMSPerRequest: lines[step].fitted.perUnit * stepFactor,
		Work:             s.work.factor(now),
		Prefill:          Basis{Weight: prefill.weight, Newest: prefill.newest},
		Step:             Basis{Weight: decode.weight, Newest: decode.newest},
		WorkFigure:       Basis{Weight: min(s.work.percent, 1), Newest: s.work.at},
	}
}

// FirstEvent is a sample: the time from sending a request to its first event.
type FirstEvent struct {
	Took time.Duration
	// Tokens are the tokens that the server certainly prefilled for the request, and Ahead those of other requests that were known to be
	// prefilled before; part of the latter may have been done when the request was sent.
	Tokens, Ahead ident.Tokens
}

// ObserveFirstEvent records a sample.
func (s *Server) ObserveFirstEvent(now time.Time, sample FirstEvent) {
	if sample.Took <= 0 || sample.Tokens < 0 || sample.Ahead < 0 {
		return
	}
	own, ahead := float64(sample.Tokens), float64(sample.Ahead)
	curve := &s.model.curves[firstEvent]
	// The more of the expected time is that of other requests, the less the sample says. On the mean, half of their tokens were still ahead.
	weight := curve.fitted.at(own) / curve.fitted.at(own+ahead)
	s.observe(now, firstEvent, own+ahead/2, milliseconds(sample.Took), weight)
}

// Pause is a sample: the time between events of a stream.
type Pause struct {
	Took time.Duration
	// Tokens is the number of decode steps in the pause, and Running that of the running requests.
	Tokens  int
	Running int
}

// ObservePause records a sample.
func (s *Server) ObservePause(now time.Time, sample Pause) {
	if sample.Took <= 0 || sample.Tokens <= 0 {
		return
	}
	running := float64(max(sample.Running, 1))
	// All running streams see the same steps, so their samples together count as one.
	s.observe(now, step, running, milliseconds(sample.Took)/float64(sample.Tokens), 1/running)
}

func (s *Server) observe(now time.Time, kind quantity, size, duration, weight float64) {
	curve, own := &s.model.curves[kind], &s.samples[kind]
	relative := duration / curve.fitted.at(size)
	if s.estimates[kind].weight >= 1 && s.work.compare(now, relative/(s.work.usualFactor()*s.estimates[kind].factor)) {
		s.notice(WorkContradicted)
	}
	work := s.work.factor(now)
	forCurve := kind == step || weight >= minCurveWeight
	weight *= s.work.weight()
	s.decay(now, kind)
	ratio := relative / work
	if s.work.notable() && work > s.work.usualFactor() {
		// The long work may have ended since the figure was given, so the sample shows no higher speed.
		ratio = max(ratio, s.estimates[kind].factor)
	}
	own.bins.add(ratio, weight)
	own.newest = now
	if own.meanSize == 0 {
		own.meanSize = size
	}
	const meanWeight = 0.1
	own.meanSize += meanWeight * (size - own.meanSize)
	normalization := min(max(s.model.median[kind]/s.estimates[kind].steady, 1/maxNormalization), maxNormalization)
	normalized := ratio * curve.fitted.at(size) * normalization
	if forCurve {
		curve.add(size, normalized, weight)
	}
	s.model.refit(now)
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now)
	}
}

// tau returns the time constant of samples in seconds where those of all instances have this weight.
func tau(weight float64) float64 {
	return min(minTau*max(fullWeight/max(weight, minBinWeight), 1), maxTau)
}

// decay lets the weights of this instance's samples decay.
func (s *Server) decay(now time.Time, kind quantity) {
	own := &s.samples[kind]
	if elapsed := now.Sub(own.decayedTo).Seconds(); elapsed > 0 {
		if !own.decayedTo.IsZero() {
			own.bins.scale(math.Exp(-elapsed / tau(s.estimates[kind].weight)))
		}
		own.decayedTo = now
	}
}

// refresh computes the estimates from the samples of all instances. Pick reads only its results, so that its time does not depend on the number
// of peers.
func (s *Server) refresh(now time.Time) {
	elapsed := now.Sub(s.refreshedAt).Seconds()
	s.refreshedAt = now
	live := s.model.livePeers(now)
	s.poolEvidence(live)
	decoded := s.estimate(now, step, live, s.peersFactor(step, live), serviceWeight)
	prior, priorWeight := s.peersFactor(firstEvent, live), serviceWeight
	if decoded.weight >= 1 {
		prior, priorWeight = decoded.factor, stepWeight
	}
	prefilled := s.estimate(now, firstEvent, live, prior, priorWeight)
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

// peersFactor returns the median of the peers' estimates of one duration, 1 without any. It is the prior, by which an instance that has few samples
// from its peers yet, too, uses what they have from all instances.
func (s *Server) peersFactor(kind quantity, live []*peer) float64 {
	var factors []float64
	for _, each := range live {
		if reported := each.servers[s.id]; reported != nil && reported.startedUnixMS == s.startedUnixMS && reported.factors[kind] > 0 {
			factors = append(factors, reported.factors[kind])
		}
	}
	if len(factors) == 0 {
		return 1
	}
	slices.Sort(factors)
	return factors[len(factors)/2]
}

// poolEvidence sums the peers' evidence on the server's work figures. A peer alone cannot make them distrusted.
func (s *Server) poolEvidence(live []*peer) {
	s.work.peersAgreeing, s.work.peersContradicting = 0, 0
	for _, each := range live {
		if reported := each.servers[s.id]; reported != nil && reported.startedUnixMS == s.startedUnixMS {
			s.work.peersAgreeing += min(reported.agreeing, minEvidence/2)
			s.work.peersContradicting += min(reported.contradicting, minEvidence/2)
		}
	}
	if s.work.judge() {
		s.notice(WorkContradicted)
	}
}

// estimate returns the estimate of one duration; the prior counts like a sample of its weight, and of weight 1 where there are fewer.
func (s *Server) estimate(now time.Time, kind quantity, live []*peer, prior, priorWeight float64) estimate {
	s.decay(now, kind)
	own := &s.samples[kind]
	sum := own.bins
	result := estimate{newest: own.newest}
	ownWeight := own.bins.total()
	known := make([]*peerServer, len(live))
	weights := make([]float64, len(live)+1)
	weights[0] = ownWeight
	timeConstant := tau(s.estimates[kind].weight)
	for index, each := range live {
		reported := each.servers[s.id]
		if reported == nil || reported.startedUnixMS != s.startedUnixMS || reported.weights[kind] == 0 {
			continue
		}
		known[index] = reported
		weights[index+1] = reported.weights[kind] * math.Exp(-max(now.Sub(each.at).Seconds(), 0)/timeConstant)
	}
	limitPeers(weights, s.model.typical[kind])
	for index, reported := range known {
		if reported == nil {
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

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
