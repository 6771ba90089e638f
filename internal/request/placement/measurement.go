package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// MaxMeasurements is the number of measurements in a datagram.
const MaxMeasurements = 16

const (
	// measurementTTL is how long a measurement is passed on.
	measurementTTL = time.Second
	// maxMeasuredRequests and maxSendsPerSecond are numbers that no server and no router instance reach; larger ones are errors of the reporter.
	maxMeasuredRequests = 1 << 20
	maxSendsPerSecond   = 1e6
)

// measurement is what a server said about its load.
type measurement struct {
	// at is when the response's head arrived at the instance that got it; zero without a measurement.
	at time.Time
	// active counts the server's requests, running and waiting.
	active int
	// excess is active less the estimate at that time.
	excess int
}

// Measurement is a server's own figure of its load, as passed on to peers.
type Measurement struct {
	Server ident.Endpoint `cbor:"1,keyasint"`
	// Active counts the server's requests, running and waiting.
	Active int `cbor:"2,keyasint"`
	// AgeMS is the time since the server's response arrived, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
}

// LoadReport is what an instance tells its peers about a load-aware service besides its own load.
type LoadReport struct {
	// OrdinaryPerSecond and SensitivePerSecond are the sender's own sends per second; the latter counts latency-sensitive streams.
	OrdinaryPerSecond  float64 `cbor:"1,keyasint,omitempty"`
	SensitivePerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Measurements are the newest that the sender knows, newest first, at most MaxMeasurements.
	Measurements []Measurement `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the report is not one that an instance sends.
func (r LoadReport) Check() error {
	for _, rate := range []float64{r.OrdinaryPerSecond, r.SensitivePerSecond} {
		if math.IsNaN(rate) || rate < 0 || rate > maxSendsPerSecond {
			return oops.Errorf("load report: found %g sends per second, want 0 to %g", rate, float64(maxSendsPerSecond))
		}
	}
	if len(r.Measurements) > MaxMeasurements {
		return oops.Errorf("load report: found %d measurements, want at most %d", len(r.Measurements), MaxMeasurements)
	}
	for _, each := range r.Measurements {
		if each.Server == "" || each.Active < 0 || each.Active > maxMeasuredRequests || each.AgeMS < 0 || each.AgeMS > measurementTTL.Milliseconds() {
			return oops.Errorf("load report: found %d requests at server %q, %d ms old", each.Active, each.Server, each.AgeMS)
		}
	}
	return nil
}

// Report returns what peers are told, with at most limit measurements. found is false if the service is not load-aware.
func (b *Balancer) Report(now time.Time, limit int) (report LoadReport, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.settings.LoadAware {
		return LoadReport{}, false
	}
	rates := b.estimates.ownRates(now)
	report.OrdinaryPerSecond, report.SensitivePerSecond = rates[ordinarySend], rates[sensitiveSend]
	for id, known := range b.servers {
		age := max(now.Sub(known.evidence.measured.at), 0)
		if !known.evidence.measured.at.IsZero() && age <= measurementTTL {
			report.Measurements = append(report.Measurements, Measurement{Server: id, Active: known.evidence.measured.active, AgeMS: age.Milliseconds()})
		}
	}
	slices.SortFunc(report.Measurements, func(a, b Measurement) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Server, b.Server))
	})
	report.Measurements = report.Measurements[:min(len(report.Measurements), max(limit, 0), MaxMeasurements)]
	return report, true
}

// Merge applies a peer's report, which must have passed Check. Measurements of servers that this instance does not know are ignored. Reports count before the first
// request of the service, by which the settings become known, so that an instance that starts has them for its first decision.
func (b *Balancer) Merge(now time.Time, from ident.Process, report LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &b.estimates
	if known, found := e.senders[from]; found || len(e.senders) < maxSenders {
		known.perSecond = [sendKinds]float64{ordinarySend: report.OrdinaryPerSecond, sensitiveSend: report.SensitivePerSecond}
		known.heardAt = now
		e.sinceBase(now)
		e.setSender(from, known)
	}
	for _, each := range report.Measurements {
		known := b.servers[each.Server]
		at := now.Add(-time.Duration(each.AgeMS) * time.Millisecond)
		if known == nil || !at.After(known.evidence.measured.at) {
			continue
		}
		sentBefore := 0
		for attempt := range known.attempts {
			if !attempt.sentAt.After(at) {
				sentBefore++
			}
		}
		known.measure(at, each.Active, sentBefore)
	}
}

// measureLoad records the number of requests that the server says it has; the caller holds the balancer's lock.
func (a *Attempt) measureLoad(now time.Time, load ReportedLoad) {
	if !a.balancer.settings.LoadAware || now.Before(a.server.evidence.measured.at) {
		return
	}
	a.server.measure(now, load.Running+load.Waiting, a.server.local.Active)
}

// measure records a measurement; own is the number of this instance's requests that it includes.
func (s *server) measure(at time.Time, active, own int) {
	s.evidence.measured = measurement{at: at, active: active, excess: active - own - s.remote.Active}
}
