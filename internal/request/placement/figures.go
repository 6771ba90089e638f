package placement

import (
	"time"

	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

// figures are the estimated speed of a server, by which the balancer decides.
type figures struct {
	// rate is the prefill rate in tokens per millisecond, and baseMs the time to the first event without prefill in milliseconds.
	rate, baseMs float64
	// stepMs and stepMsPerRequest are the duration of a decode step and its growth with each running request; 0 at services that are not
	// load-aware.
	stepMs, stepMsPerRequest float64
}

// figures returns the figures of a server: at load-aware services those of the server model, at the current work figure, and at others those of
// the service.
func (b *Balancer) figures(now time.Time, s *server) figures {
	if !b.usesModel() {
		return figures{rate: b.speed.rate, baseMs: milliseconds(b.speed.base())}
	}
	known := b.model.Service()
	if s.speed != nil {
		known = s.speed.Speed(now)
	}
	return figures{
		rate: known.Rate / known.Work, baseMs: known.BaseMS * known.Work,
		stepMs: known.StepMS * known.Work, stepMsPerRequest: known.StepMSPerRequest * known.Work,
	}
}

// prefillTime returns how long the server takes to prefill tokens.
func (f *figures) prefillTime(tokens ident.Tokens) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / f.rate * float64(time.Millisecond))
}

// tokensIn returns how many tokens the server prefills in an interval.
func (f *figures) tokensIn(interval time.Duration) ident.Tokens {
	return ident.Tokens(milliseconds(interval) * f.rate)
}

// base returns the time to the first event without the prefill.
func (f *figures) base() time.Duration { return time.Duration(f.baseMs * float64(time.Millisecond)) }

// stepDuration returns the duration of a decode step with this number of running requests.
func (f *figures) stepDuration(running int) time.Duration {
	return time.Duration((f.stepMs + f.stepMsPerRequest*float64(running)) * float64(time.Millisecond))
}

// usesModel reports whether the service has a server model: it is a load-aware engine service.
func (b *Balancer) usesModel() bool { return b.settings.LoadAware && b.settings.TokensPerEvent > 0 }

// configureModel creates or drops the server model as the settings require; the caller holds mu.
func (b *Balancer) configureModel() {
	if !b.usesModel() {
		b.model = nil
		for _, known := range b.servers {
			known.speed = nil
		}
		return
	}
	if b.model == nil {
		b.model = servermodel.New()
	}
	for _, member := range b.members {
		b.trackSpeed(member)
	}
}

// trackSpeed gives a server its state in the model, a new one if it has restarted; the caller holds mu.
func (b *Balancer) trackSpeed(s *server) {
	if b.usesModel() {
		s.speed = b.model.Track(s.ServerStart)
	}
}

// forgetSpeed removes a server from the model; the caller holds mu.
func (b *Balancer) forgetSpeed(s *server) {
	if b.model != nil {
		b.model.Forget(s.ID)
	}
}

// SpeedReport returns what this instance has measured of the servers' speeds, false if the service has no server model.
func (b *Balancer) SpeedReport(now time.Time) (servermodel.Report, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.usesModel() {
		return servermodel.Report{}, false
	}
	return b.model.Report(now), true
}

// MergeSpeeds replaces what a peer has reported of the servers' speeds. The report has been checked. It is kept also before this instance's first
// request, with which Configure is called.
func (b *Balancer) MergeSpeeds(now time.Time, from ident.Process, report servermodel.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model == nil {
		b.model = servermodel.New()
	}
	b.model.Merge(now, from, report)
	if b.usesModel() {
		b.speed.rate = b.model.Service().Rate
	}
}

// running estimates how many requests run at the server.
func (s *server) running() int {
	running := s.local.Active + s.remote.Active
	if s.Slots > 0 {
		running = min(running, s.Slots)
	}
	return max(running, 1)
}
