package servermodel

import (
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// Server is what is known of one server.
type Server struct {
	model     *Model
	start     ident.ServerStart
	samples   [quantities]samples
	estimates [quantities]estimate
	work      workFigure
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

// Speed is the estimated speed of a server while its work takes as long as normal, and how long it takes now.
type Speed struct {
	// Rate is the prefill rate in tokens per millisecond, BaseMS the time to the first event without prefill.
	Rate   float64
	BaseMS float64
	// A decode step with n running requests takes StepMS + n*StepMSPerRequest.
	StepMS, StepMSPerRequest float64
	// Work is how many times as long as normal work takes now; all durations are to be multiplied by it.
	Work float64
}

// Figures are the estimated speed of a server with the evidence.
type Figures struct {
	Speed
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
func (f *Speed) StepDuration(running int) time.Duration {
	return time.Duration((f.StepMS + f.StepMSPerRequest*float64(running)) * f.Work * float64(time.Millisecond))
}

// Figures returns the estimates for a server.
func (s *Server) Figures(now time.Time) Figures {
	prefill, decode := &s.estimates[firstEvent], &s.estimates[step]
	speed := s.Speed(now)
	return Figures{
		Speed:      speed,
		Prefill:    Basis{Weight: prefill.weight, Newest: prefill.newest},
		Step:       Basis{Weight: decode.weight, Newest: decode.newest},
		WorkFigure: Basis{Weight: min(s.work.percent, 1), Newest: s.work.at},
	}
}

// Speed returns the estimates without what they rest on.
func (s *Server) Speed(now time.Time) Speed {
	prefill, decode := s.estimates[firstEvent].factor, s.estimates[step].factor
	lines := &s.model.curves
	return Speed{
		Rate: 1 / (lines[firstEvent].fitted.perUnit * prefill), BaseMS: lines[firstEvent].fitted.fixed * prefill,
		StepMS: lines[step].fitted.fixed * decode, StepMSPerRequest: lines[step].fitted.perUnit * decode,
		Work: s.work.factor(now),
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

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
