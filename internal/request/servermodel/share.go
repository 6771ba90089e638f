package servermodel

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Bounds of what instances tell each other.
const (
	// maxReported is the largest number of servers in a report, maxReportedBins that of bins of one server and duration, and
	// maxCurveBins that of the service's samples.
	maxReported     = 128
	maxReportedBins = 16
	maxCurveBins    = 128
	// maxPeers bounds the peers whose reports are kept: those of more add little.
	maxPeers = 64
	// peerTTL is how long a report is used, as for the load that peers report.
	peerTTL = 3 * time.Second
	// peerWeight is the weight of one peer at most, in mean instances, because its report may be false.
	peerWeight = 3.0
	// maxReportedMS bounds the durations in a report.
	maxReportedMS = 60_000.0
)

// ServerReport is what an instance has measured of one server.
type ServerReport struct {
	StartedUnixMS int64 `cbor:"1,keyasint,omitempty"`
	// FirstEvents and Steps are this instance's own samples: pairs of bin and weight.
	FirstEvents []byte `cbor:"2,keyasint,omitempty"`
	Steps       []byte `cbor:"3,keyasint,omitempty"`
	// FirstEventAgeMS and StepAgeMS are the ages of the newest samples.
	FirstEventAgeMS int64 `cbor:"4,keyasint,omitempty"`
	StepAgeMS       int64 `cbor:"5,keyasint,omitempty"`
	// WorkPercent is the last work figure in a response to this instance, 0 without a recent one, and WorkAgeMS its age.
	WorkPercent int64 `cbor:"6,keyasint,omitempty"`
	WorkAgeMS   int64 `cbor:"7,keyasint,omitempty"`
	// Factors are the sender's estimates of the two durations relative to the service's, from the samples of all instances: two bins, or none.
	Factors []byte `cbor:"8,keyasint,omitempty"`
	// Evidence holds the weights of the sender's samples that agreed with the work figures and that contradicted them, or nothing.
	Evidence []byte `cbor:"9,keyasint,omitempty"`
}

// CurveReport holds an instance's samples of the service's durations.
type CurveReport struct {
	// FixedMS and PerUnitMS are the line to which the samples of servers are relative.
	FixedMS   float64 `cbor:"1,keyasint"`
	PerUnitMS float64 `cbor:"2,keyasint"`
	// Samples are triples of bucket, bin and weight.
	Samples []byte `cbor:"3,keyasint,omitempty"`
}

// Report is what an instance tells the others: sums of its own samples, which replace those of its last report.
type Report struct {
	Servers     map[ident.Endpoint]ServerReport `cbor:"1,keyasint,omitempty"`
	FirstEvents CurveReport                     `cbor:"2,keyasint"`
	Steps       CurveReport                     `cbor:"3,keyasint"`
}

// Check returns an error if the report is larger than an instance sends it, or a figure is out of range.
func (r Report) Check() error {
	if len(r.Servers) > maxReported {
		return oops.Errorf("server model report: found %d servers, want at most %d", len(r.Servers), maxReported)
	}
	for id, server := range r.Servers {
		if err := server.Check(); err != nil {
			return oops.Wrapf(err, "server model report of %s", id)
		}
	}
	for _, each := range []CurveReport{r.FirstEvents, r.Steps} {
		if err := each.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error if a figure is out of range.
func (s ServerReport) Check() error {
	for _, bins := range [][]byte{s.FirstEvents, s.Steps} {
		if len(bins)%2 != 0 || len(bins) > 2*maxReportedBins {
			return oops.Errorf("found %d bytes of bins, want pairs of at most %d bins", len(bins), maxReportedBins)
		}
		for pair := range slices.Chunk(bins, 2) {
			if pair[0] >= binCount || pair[1] > maxWeightLog*weightSteps {
				return oops.Errorf("found bin %d with weight %d, want below %d and at most %d", pair[0], pair[1], binCount, maxWeightLog*weightSteps)
			}
		}
	}
	if len(s.Factors) != 0 && (len(s.Factors) != int(quantities) || slices.Max(s.Factors) >= binCount) {
		return oops.Errorf("found factors %v, want %d below %d", s.Factors, quantities, binCount)
	}
	if len(s.Evidence) != 0 && (len(s.Evidence) != 2 || slices.Max(s.Evidence) > maxWeightLog*weightSteps) {
		return oops.Errorf("found evidence %v, want two weights of at most %d", s.Evidence, maxWeightLog*weightSteps)
	}
	if s.WorkPercent < 0 || s.WorkPercent > normalWork*workLimit {
		return oops.Errorf("found a work figure of %d, want 0 to %g", s.WorkPercent, normalWork*workLimit)
	}
	for _, age := range []int64{s.FirstEventAgeMS, s.StepAgeMS, s.WorkAgeMS} {
		if age < 0 || age > maxReportedAge.Milliseconds() {
			return oops.Errorf("found an age of %d ms, want 0 to %d", age, maxReportedAge.Milliseconds())
		}
	}
	return nil
}

// Check returns an error if a figure is out of range.
func (c CurveReport) Check() error {
	for _, duration := range []float64{c.FixedMS, c.PerUnitMS} {
		if !(duration > 0 && duration <= maxReportedMS) {
			return oops.Errorf("server model report: found a duration of %g ms, want above 0 and at most %g", duration, maxReportedMS)
		}
	}
	if len(c.Samples)%3 != 0 || len(c.Samples) > 3*maxCurveBins {
		return oops.Errorf("server model report: found %d bytes of samples, want triples of at most %d bins", len(c.Samples), maxCurveBins)
	}
	for triple := range slices.Chunk(c.Samples, 3) {
		if triple[0] >= bucketCount || triple[1] >= binCount || triple[2] > maxWeightLog*weightSteps {
			return oops.Errorf("server model report: found sample %v, want below %d, %d and at most %d",
				triple, bucketCount, binCount, maxWeightLog*weightSteps)
		}
	}
	return nil
}

// maxReportedAge is the age of the newest sample of a server from which on it is left out of reports.
const maxReportedAge = 10 * time.Second

// Report returns this instance's own samples of the servers that have recent ones; of more than maxReported, the newest.
func (m *Model) Report(now time.Time) Report {
	var recent []*Server
	for _, server := range m.servers {
		if now.Sub(server.newestSample()) <= maxReportedAge {
			recent = append(recent, server)
		}
	}
	slices.SortFunc(recent, func(a, b *Server) int {
		return cmp.Or(b.newestSample().Compare(a.newestSample()), cmp.Compare(a.start.ID, b.start.ID))
	})
	report := Report{
		Servers:     make(map[ident.Endpoint]ServerReport, min(len(recent), maxReported)),
		FirstEvents: m.curves[firstEvent].report(), Steps: m.curves[step].report(),
	}
	for _, server := range recent[:min(len(recent), maxReported)] {
		report.Servers[server.start.ID] = server.report(now)
	}
	return report
}

// newestSample returns the time of the newest sample or work figure in a response to this instance.
func (s *Server) newestSample() time.Time {
	newest := s.samples[firstEvent].newest
	if other := s.samples[step].newest; other.After(newest) {
		newest = other
	}
	if s.work.own && s.work.at.After(newest) {
		newest = s.work.at
	}
	return newest
}

func (s *Server) report(now time.Time) ServerReport {
	report := ServerReport{StartedUnixMS: s.start.StartedUnixMS}
	for kind := range s.samples {
		s.decay(now, quantity(kind))
	}
	report.FirstEvents = encodeBins(s.samples[firstEvent].bins.sparse(maxReportedBins))
	report.Steps = encodeBins(s.samples[step].bins.sparse(maxReportedBins))
	report.FirstEventAgeMS = reportedAge(now, s.samples[firstEvent].newest)
	report.StepAgeMS = reportedAge(now, s.samples[step].newest)
	if s.estimates[firstEvent].weight >= 1 && s.estimates[step].weight >= 1 {
		report.Factors = []byte{binOf(s.estimates[firstEvent].factor), binOf(s.estimates[step].factor)}
	}
	if s.work.agreeing+s.work.contradicting >= 1 {
		report.Evidence = []byte{encodeWeight(float32(s.work.agreeing)), encodeWeight(float32(s.work.contradicting))}
	}
	if s.work.own && !s.work.distrusted && now.Sub(s.work.at) <= workLifetime {
		report.WorkPercent, report.WorkAgeMS = int64(math.Round(s.work.percent)), reportedAge(now, s.work.at)
	}
	return report
}

func reportedAge(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return min(max(now.Sub(at), 0), maxReportedAge).Milliseconds()
}

func (c *curve) report() CurveReport {
	var list []curveSample
	for index := range c.buckets {
		for _, each := range c.buckets[index].sparse(binCount) {
			list = append(list, curveSample{uint8(index), each})
		}
	}
	slices.SortFunc(list, func(a, b curveSample) int { return cmp.Compare(b.weight, a.weight) })
	report := CurveReport{FixedMS: c.fitted.fixed, PerUnitMS: c.fitted.perUnit}
	for _, each := range list[:min(len(list), maxCurveBins)] {
		report.Samples = append(report.Samples, each.bucket, each.bin, encodeWeight(each.weight))
	}
	return report
}

// peer is the last report of another instance.
type peer struct {
	process ident.Process
	at      time.Time
	servers map[ident.Endpoint]*peerServer
	// curves are its samples of the service's durations, curveWeights the sums of their weights.
	curves       [quantities][]curveSample
	curveWeights [quantities]float64
}

type curveSample struct {
	bucket uint8
	binWeight
}

// peerServer is what a peer has measured of one server.
type peerServer struct {
	// at is when the report arrived.
	at            time.Time
	startedUnixMS int64
	samples       [quantities][]binWeight
	weights       [quantities]float64
	newest        [quantities]time.Time
	// factors are the peer's estimates, 0 without any, and agreeing and contradicting its evidence on the work figures.
	factors                 [quantities]float64
	agreeing, contradicting float64
	// shifts move the peer's bins to those of the line in use here.
	shifts [quantities]int
}

// Merge replaces what a peer has reported. The report has been checked.
func (m *Model) Merge(now time.Time, from ident.Process, report Report) {
	m.expirePeers(now)
	index, found := slices.BinarySearchFunc(m.peers, from, func(p *peer, process ident.Process) int { return cmp.Compare(p.process, process) })
	if !found {
		if len(m.peers) >= maxPeers {
			return
		}
		m.peers = slices.Insert(m.peers, index, nil)
	}
	m.peers[index] = m.newPeer(now, from, report)
	m.refit(now)
	for id, reported := range report.Servers {
		server := m.servers[id]
		if server == nil || server.start.StartedUnixMS != reported.StartedUnixMS {
			continue
		}
		if reported.WorkPercent > 0 {
			server.work.observe(now.Add(-time.Duration(reported.WorkAgeMS)*time.Millisecond), float64(reported.WorkPercent), false)
		}
		if now.Sub(server.refreshedAt) >= peerRefreshInterval {
			server.refresh(now)
		}
	}
}

func (m *Model) newPeer(now time.Time, from ident.Process, report Report) *peer {
	p := &peer{process: from, at: now, servers: make(map[ident.Endpoint]*peerServer, len(report.Servers))}
	var shifts [quantities]int
	for kind, each := range [quantities]CurveReport{report.FirstEvents, report.Steps} {
		size := m.curves[kind].typicalSize()
		shift := binsPerOctave * math.Log2(line{each.FixedMS, each.PerUnitMS}.at(size)/m.curves[kind].fitted.at(size))
		const limit = 2 * binsPerOctave
		shifts[kind] = int(math.Round(min(max(shift, -limit), limit)))
		for triple := range slices.Chunk(each.Samples, 3) {
			sample := curveSample{triple[0], binWeight{triple[1], decodeWeight(triple[2])}}
			p.curves[kind] = append(p.curves[kind], sample)
			p.curveWeights[kind] += float64(sample.weight)
		}
	}
	for id, server := range report.Servers {
		known := &peerServer{at: now, startedUnixMS: server.StartedUnixMS, shifts: shifts}
		ages := [quantities]int64{server.FirstEventAgeMS, server.StepAgeMS}
		for kind, bins := range [quantities][]byte{server.FirstEvents, server.Steps} {
			known.samples[kind] = decodeBins(bins)
			known.weights[kind] = weightOf(known.samples[kind])
			known.newest[kind] = now.Add(-time.Duration(ages[kind]) * time.Millisecond)
		}
		if len(server.Factors) > 0 {
			for kind := range known.factors {
				known.factors[kind] = ratioOf(int(server.Factors[kind]) + shifts[kind])
			}
		}
		if len(server.Evidence) > 0 {
			known.agreeing, known.contradicting = float64(decodeWeight(server.Evidence[0])), float64(decodeWeight(server.Evidence[1]))
		}
		p.servers[id] = known
	}
	return p
}

func (m *Model) expirePeers(now time.Time) {
	m.peers = slices.DeleteFunc(m.peers, func(p *peer) bool { return now.Sub(p.at) > peerTTL })
}

// livePeers returns the peers whose reports are in use.
func (m *Model) livePeers(now time.Time) []*peer {
	if slices.ContainsFunc(m.peers, func(p *peer) bool { return now.Sub(p.at) > peerTTL }) {
		m.expirePeers(now)
	}
	return m.peers
}

// limitPeers reduces the weights of peers, all but the first of weights, to peerWeight times the mean of the other instances, or to typical where that
// is larger: a server may have samples from one instance alone. peers is the number of all peers, also those without samples.
func limitPeers(weights []float64, peers int, typical float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	for index := 1; index < len(weights); index++ {
		limit := max(peerWeight*(total-weights[index])/float64(peers), typical)
		total -= max(weights[index]-limit, 0)
		weights[index] = min(weights[index], limit)
	}
}
