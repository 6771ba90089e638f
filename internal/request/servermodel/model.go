// Package servermodel estimates how fast the servers of an engine service are, from the times of their responses.
//
// Load pattern: engines of different speeds, some slow for moments, under load that one router instance knows only in part. Unknown load makes
// a response slower than the engine is and nothing makes it faster, so estimates are low quantiles of durations. The shape of the durations,
// such as how a decode step grows with the running requests, is the service's; each server has a factor to it for prefills and one for decode
// steps. Sums of samples are shared between instances, because one alone sees too few to notice a change within a second.
//
// The package does no I/O and reads no clock; a Model must be guarded by its owner's lock.
package servermodel

import (
	"math"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

const (
	// lowQuantile is the quantile of durations that counts as that without unknown load: at a busy engine, half of the pauses contain a
	// chunk of a prompt.
	lowQuantile = 0.2
	// firstEventQuantile is that of the service's times to first event. It is lower, because there are more samples than of a server.
	firstEventQuantile = 0.12
	// speedLimit bounds a server's speed relative to the service's, in both directions.
	speedLimit = 4.0
	// minTau is the time constant of samples in seconds where there are many: what is older than a second then has little weight. With fewer
	// than fullWeight samples it grows up to maxTau, so that some remain.
	minTau     = 0.2
	maxTau     = 8.0
	fullWeight = 3.0
	// minCurveWeight is the least weight of a first event that counts for the service's line: with too many tokens of others ahead, it may look
	// too fast.
	minCurveWeight = 0.9
	// initialTypical is the assumed mean weight of an instance's samples of a server before there are any.
	initialTypical = 0.1
	// maxNormalization bounds the factor by which samples for the service's lines are normalized: the range of speeds of servers in one service.
	maxNormalization = 2.5
	// steadyTau is the time constant in seconds of the factors by which samples for the service's lines are normalized.
	steadyTau = 4.0
	// serviceWeight is the weight of the service's figures among a server's samples, and stepWeight that of the factor of its decode steps
	// among the samples of its prefills, which are fewer.
	serviceWeight = 0.1
	stepWeight    = 4.0
	// refreshInterval bounds how often a server's estimates are computed after samples of this instance, peerRefreshInterval after those of
	// peers, and fitInterval how often the service's lines are.
	refreshInterval     = 50 * time.Millisecond
	peerRefreshInterval = 100 * time.Millisecond
	fitInterval         = 250 * time.Millisecond
	// refitThreshold is the relative change of a line from which on it replaces the one in use: half a bin, so that samples relative to the
	// line can be moved to the new one.
	refitThreshold = 0.03
	// First sizes of the buckets: tokens of a prompt and running requests.
	firstTokens  = 64
	firstRunning = 1
)

// quantity is one of the two durations that are estimated.
type quantity int

const (
	// firstEvent is the time to the first event by the tokens to prefill, step the duration of a decode step by the running requests.
	firstEvent quantity = iota
	step
	quantities
)

// Model estimates the speed of the servers of one service.
type Model struct {
	curves  [quantities]curve
	servers map[ident.Endpoint]*Server
	// peers are those whose last report is in use, sorted by process; at most maxPeers.
	peers []*peer
	// typical is the mean weight of an instance's samples of a server.
	typical [quantities]float64
	// median is the median of the servers' duration factors; samples for the curves are normalized by it.
	median [quantities]float64
	// reports and numbers are memory that is reused.
	reports []*peerServer
	numbers []float64
	// fittedAt is when the lines were computed, and latest the latest time that the model was given.
	fittedAt, latest time.Time
}

// New returns a model without samples.
func New() *Model {
	m := &Model{servers: make(map[ident.Endpoint]*Server)}
	m.curves[firstEvent], m.curves[step] = newCurve(priorFirstEvent, firstEventQuantile, firstTokens), newCurve(priorStep, lowQuantile, firstRunning)
	m.median, m.typical = [quantities]float64{1, 1}, [quantities]float64{initialTypical, initialTypical}
	return m
}

// Track returns the state of a server, which it creates if necessary. If the time of its start has changed, the server has restarted, and what
// was known of it is forgotten.
func (m *Model) Track(start ident.ServerStart) *Server {
	known := m.servers[start.ID]
	if known != nil && known.start == start {
		return known
	}
	if known == nil {
		known = &Server{model: m}
		m.servers[start.ID] = known
	}
	*known = Server{model: m, start: start}
	known.refresh(m.latest)
	return known
}

// Forget removes a server that no longer belongs to the service.
func (m *Model) Forget(id ident.Endpoint) { delete(m.servers, id) }

// Service returns the speed of a server without samples.
func (m *Model) Service() Speed {
	prefill, decode := m.curves[firstEvent].fitted, m.curves[step].fitted
	return Speed{
		Rate: 1 / prefill.perUnit, BaseMS: prefill.fixed, StepMS: decode.fixed, StepMSPerRequest: decode.perUnit, Work: 1,
	}
}

// refit computes the service's lines anew if fitInterval has passed.
func (m *Model) refit(now time.Time) {
	m.latest = now
	if now.Sub(m.fittedAt) < fitInterval {
		return
	}
	m.fittedAt = now
	for kind := range m.curves {
		m.refitCurve(now, quantity(kind))
	}
}

func (m *Model) refitCurve(now time.Time, kind quantity) {
	c := &m.curves[kind]
	c.decay(float64(now.UnixMilli()) / 1000)
	sums := c.buckets
	weights := []float64{0}
	for index := range sums {
		weights[0] += sums[index].total()
	}
	live := m.livePeers(now)
	for _, each := range live {
		weights = append(weights, each.curveWeights[kind])
	}
	limitPeers(weights, len(live), 1)
	for index, each := range live {
		if each.curveWeights[kind] == 0 {
			continue
		}
		scale := weights[index+1] / each.curveWeights[kind]
		for _, sample := range each.curves[kind] {
			sums[sample.bucket].addSparse([]binWeight{sample.binWeight}, scale, 0)
		}
	}
	fitted, weight := c.fit(&sums)
	if weight < minBinWeight {
		return
	}
	size := c.typicalSize()
	change := math.Abs(math.Log(fitted.at(size) / c.fitted.at(size)))
	slope := math.Abs(math.Log(fitted.perUnit / c.fitted.perUnit))
	if max(change, slope) > refitThreshold {
		m.replaceLine(now, kind, fitted)
	}
	m.updateMedian(kind)
	m.updateTypical(kind)
}

// replaceLine replaces the line in use. The servers' samples, which are relative to it, are moved so that the estimates stay the same.
func (m *Model) replaceLine(now time.Time, kind quantity, fitted line) {
	c := &m.curves[kind]
	for _, server := range m.servers {
		own := &server.samples[kind]
		size := own.meanSize
		if size == 0 {
			size = c.typicalSize()
		}
		own.bins.shift(int(math.Round(binsPerOctave * math.Log2(c.fitted.at(size)/fitted.at(size)))))
	}
	c.fitted = fitted
	for _, server := range m.servers {
		server.refresh(now)
	}
}

// updateTypical sets the mean weight of an instance's samples of a server.
func (m *Model) updateTypical(kind quantity) {
	total := 0.0
	for _, server := range m.servers {
		total += server.estimates[kind].weight
	}
	if total > 0 {
		m.typical[kind] = total / float64(len(m.servers)*(len(m.peers)+1))
	}
}

// updateMedian sets the median of the factors of the servers that have samples.
func (m *Model) updateMedian(kind quantity) {
	var factors []float64
	for _, server := range m.servers {
		if server.estimates[kind].weight >= 1 {
			factors = append(factors, server.estimates[kind].steady)
		}
	}
	if len(factors) > 0 {
		slices.Sort(factors)
		m.median[kind] = factors[len(factors)/2]
	}
}
