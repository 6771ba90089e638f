package servermodel

import (
	"math"
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
	return Figures{
		Rate:             1 / (lines[firstEvent].fitted.perUnit * prefill.factor),
		BaseMS:           lines[firstEvent].fitted.fixed * prefill.factor,
		StepMS:           lines[step].fitted.fixed * decode.factor,
		StepMSPerRequest: lines[step].fitted.perUnit * decode.factor,
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
	own, all := float64(sample.Tokens), float64(sample.Tokens+sample.Ahead)
	curve := &s.model.curves[firstEvent]
	// The more of the expected time is that of other requests, the less the sample says.
	weight := curve.fitted.at(own) / curve.fitted.at(all)
	s.observe(now, firstEvent, all, milliseconds(sample.Took), weight)
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
	s.observe(now, step, float64(max(sample.Running, 1)), milliseconds(sample.Took)/float64(sample.Tokens), 1)
}

func (s *Server) observe(now time.Time, kind quantity, size, duration, weight float64) {
	curve, own := &s.model.curves[kind], &s.samples[kind]
	relative := duration / curve.fitted.at(size)
	if s.estimates[kind].weight >= 1 && s.work.compare(now, relative/(s.work.usualFactor()*s.estimates[kind].factor)) {
		s.notice(WorkContradicted)
	}
	work := s.work.factor(now)
	weight *= s.work.weight()
	s.decay(now, kind)
	own.bins.add(relative/work, weight)
	own.newest = now
	if own.meanSize == 0 {
		own.meanSize = size
	}
	const meanWeight = 0.1
	own.meanSize += meanWeight * (size - own.meanSize)
	normalized := duration / work * s.model.median[kind] / s.estimates[kind].factor
	curve.add(size, normalized, weight)
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
	s.refreshedAt = now
	live := s.model.livePeers(now)
	decoded := s.estimate(now, step, live, 1, serviceWeight)
	prior, priorWeight := 1.0, serviceWeight
	if decoded.weight >= 1 {
		prior, priorWeight = decoded.factor, stepWeight
	}
	prefilled := s.estimate(now, firstEvent, live, prior, priorWeight)
	if decoded.weight < serviceWeight && prefilled.weight >= 1 {
		decoded.factor = prefilled.factor
	}
	s.estimates[step], s.estimates[firstEvent] = decoded, prefilled
}

// estimate returns the estimate of one duration; the prior counts like a sample of its weight.
func (s *Server) estimate(now time.Time, kind quantity, live []*peer, prior, priorWeight float64) estimate {
	s.decay(now, kind)
	own := &s.samples[kind]
	sum := own.bins
	result := estimate{newest: own.newest}
	ownWeight := own.bins.total()
	known := make([]*peerServer, 0, len(live))
	weights := append(make([]float64, 0, len(live)+1), ownWeight)
	scales := make([]float64, 0, len(live))
	timeConstant := tau(s.estimates[kind].weight)
	for _, each := range live {
		reported := each.servers[s.id]
		if reported == nil || reported.startedUnixMS != s.startedUnixMS || len(reported.samples[kind]) == 0 {
			continue
		}
		scale := math.Exp(-max(now.Sub(each.at).Seconds(), 0) / timeConstant)
		known, scales = append(known, reported), append(scales, scale)
		weights = append(weights, scale*reported.weights[kind])
	}
	limit := weightLimit(weights)
	for index, reported := range known {
		scale := scales[index] * limitedScale(weights[index+1], limit)
		sum.addSparse(reported.samples[kind], scale, reported.shifts[kind])
		if reported.newest[kind].After(result.newest) {
			result.newest = reported.newest[kind]
		}
	}
	if result.weight = sum.total(); result.weight < minBinWeight {
		result.factor = prior
		return result
	}
	sum.add(prior, priorWeight)
	result.factor = min(max(sum.quantile(lowQuantile), 1/speedLimit), speedLimit)
	return result
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
