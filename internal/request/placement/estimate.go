package placement

import (
	"math"
	"time"

	"vanillapond/pkg/ident"
)

const (
	// sendRateMemory is the time constant with which sends are averaged to a rate.
	sendRateMemory = 2 * time.Second
	// senderTTL is how long a peer that is no longer heard counts as sending. It is longer than peerTTL, because an instance that was frozen or cut off
	// drops the reports of peers that go on sending.
	senderTTL = 10 * time.Second
	// maxSenders bounds the peers whose rate of sends is kept.
	maxSenders = 1024
	// unseenRefresh is how long the sums over the peers are used before they are computed again.
	unseenRefresh = 100 * time.Millisecond
	// measurementShare bounds what one server's own figure changes, as a fraction of the requests in flight at the service. It is half of the 0.1 that
	// a false figure may shift, because the change is seen by all instances and followed by their sends.
	measurementShare = 0.05
)

// loadEvidence is what the estimate of a server's load is made of besides the sends that this instance and its peers report.
type loadEvidence struct {
	// backlog is the sum of the prefill tokens at the server over the peers' reports.
	backlog ident.Tokens
	// backlogTimeMS is the sum over the peers' reports of the prefill tokens at the server times the time of the report, in milliseconds since the
	// balancer's base time. With the sum of the tokens it gives their mean age, without a loop over the peers for each decision.
	backlogTimeMS int64
	measured      measurement
}

// addBacklog adds the prefill tokens of a peer's report made at a time; negative tokens remove those of an earlier report.
func (f *loadEvidence) addBacklog(tokens ident.Tokens, atMS int64) {
	f.backlog += tokens
	f.backlogTimeMS += int64(tokens) * atMS
}

// sender is what is known of a peer's sends.
type sender struct {
	perSecond [sendKinds]float64
	// heardAt is when the peer's last report of load or rates arrived.
	heardAt time.Time
}

// sendKind separates sends that use different servers: latency-sensitive streams go to reserved engines.
type sendKind int

const (
	ordinarySend sendKind = iota
	sensitiveSend
	sendKinds
)

// estimates is the state of a load-aware service's estimates; the zero value is ready for use. The balancer's mu guards it.
type estimates struct {
	// base is the time that backlogTimeMS counts from: that of the first report.
	base time.Time
	// senders has an entry for each peer heard within senderTTL, at most maxSenders.
	senders map[ident.Process]sender
	// own counts this instance's sends by kind, decayed with sendRateMemory up to ownAt.
	own   [sendKinds]float64
	ownAt time.Time
	// reportInterval is the mean time between two reports of a peer.
	reportInterval time.Duration
	// rates and rateTimes are the sums over the senders of their rates, and of rate times the time of the last report in seconds since base; meanAge is the
	// mean age of the reports at refreshedAt. They are valid while stale is false.
	rates, rateTimes [sendKinds]float64
	meanAge          time.Duration
	refreshedAt      time.Time
	stale            bool
	// active is the sum of the requests in flight over the servers of the last decision, prefill that of the backlog in peers' reports, and servers the
	// number of servers.
	active  int
	prefill ident.Tokens
	servers int
	// decidedAt is the time of the current decision, and decidedMS the same in milliseconds since base.
	decidedAt time.Time
	decidedMS float64
	// correctionLimit is the largest correction of a server's requests by its measurement in the current decision.
	correctionLimit float64
	// options holds the servers of the current decision; its memory is reused.
	options []option
	balance balance
}

// sinceBase returns a time in milliseconds since base.
func (e *estimates) sinceBase(at time.Time) int64 {
	if e.base.IsZero() {
		e.base = at
	}
	return at.Sub(e.base).Milliseconds()
}

// hear records that a peer's report arrived; previous is the time of the one before, zero if there is none.
func (e *estimates) hear(now time.Time, from ident.Process, previous time.Time) {
	const newest = 0.1 // The weight of the newest interval.
	if gap := now.Sub(previous); !previous.IsZero() && gap > 0 {
		if e.reportInterval == 0 {
			e.reportInterval = gap
		}
		e.reportInterval += time.Duration(newest * float64(min(gap, peerTTL)-e.reportInterval))
	}
	known, found := e.senders[from]
	if !found {
		if len(e.senders) >= maxSenders {
			return
		}
		known.perSecond = e.ownRates(now)
	}
	known.heardAt = now
	e.setSender(from, known)
}

func (e *estimates) setSender(from ident.Process, known sender) {
	if e.senders == nil {
		e.senders = make(map[ident.Process]sender)
	}
	e.senders[from] = known
	e.stale = true
}

// recordSend counts a request that this instance sends.
func (e *estimates) recordSend(now time.Time, kind sendKind) {
	e.own = e.decayed(now)
	e.own[kind]++
	e.ownAt = now
}

func (e *estimates) decayed(now time.Time) [sendKinds]float64 {
	decay := math.Exp(-max(now.Sub(e.ownAt), 0).Seconds() / sendRateMemory.Seconds())
	counts := e.own
	for kind := range counts {
		counts[kind] *= decay
	}
	return counts
}

// ownRates returns this instance's sends per second by kind.
func (e *estimates) ownRates(now time.Time) [sendKinds]float64 {
	rates := e.decayed(now)
	for kind := range rates {
		rates[kind] /= sendRateMemory.Seconds()
	}
	return rates
}

// unseen returns the expected number of requests of a kind that the peers have sent since their last reports, which no estimate contains.
func (e *estimates) unseen(now time.Time, kind sendKind) float64 {
	if e.stale || now.Sub(e.refreshedAt) > unseenRefresh {
		e.refresh(now)
	}
	return max(e.rates[kind]*now.Sub(e.base).Seconds()-e.rateTimes[kind], 0)
}

// refresh computes the sums over the senders and drops those that are gone. A peer that is silent while others are heard is gone; if none is heard, this
// instance is cut off and they go on sending.
func (e *estimates) refresh(now time.Time) {
	e.stale, e.refreshedAt = false, now
	cutOff := true
	for _, known := range e.senders {
		cutOff = cutOff && now.Sub(known.heardAt) > peerTTL
	}
	e.rates, e.rateTimes, e.meanAge = [sendKinds]float64{}, [sendKinds]float64{}, 0
	for process, known := range e.senders {
		age := now.Sub(known.heardAt)
		if age > senderTTL || age > peerTTL && !cutOff {
			delete(e.senders, process)
			continue
		}
		e.meanAge += age
		for kind, rate := range known.perSecond {
			e.rates[kind] += rate
			e.rateTimes[kind] += rate * known.heardAt.Sub(e.base).Seconds()
		}
	}
	if len(e.senders) > 0 {
		e.meanAge /= time.Duration(len(e.senders))
	}
}

// estimate sets a server's load from all router instances and its speed. reportAge is the mean age of the peers' reports; at a load-aware service it is not
// used: each report is drained by its own age and the
// server's own rate, and the server's newest measurement corrects the number of requests. The load is written in place, because copies of it take a third of
// a decision's time.
func (b *Balancer) estimate(now time.Time, known *server, reportAge time.Duration) {
	known.figures = b.figures(now, known)
	load := &known.load
	*load = known.remote
	if !b.settings.LoadAware {
		load.Prefill.drain(known.figures.tokensIn(reportAge))
		load.add(known.local)
		return
	}
	if b.estimates.decidedAt != now {
		b.estimates.begin(now)
	}
	if known.evidence.backlog > 0 {
		load.Prefill.drain(b.finishedSince(known))
	}
	if known.local.Active > 0 {
		load.add(known.local)
	}
	if known.evidence.measured.excess == 0 {
		return
	}
	if correction := b.correction(now, known); correction != 0 {
		load.Active = max(load.Active+correction, 0)
		level := lowestBusy(&load.Prefill)
		load.Prefill[level] = max(load.Prefill[level]+ident.Tokens(correction)*b.estimates.meanBacklog(), 0)
	}
}

// lowestBusy returns the lowest priority with a backlog, 0 if there is none.
func lowestBusy(backlog *PrefillTokens) PriorityLevel {
	for level := PriorityLevel(PriorityLevels - 1); level > 0; level-- {
		if backlog[level] > 0 {
			return level
		}
	}
	return 0
}

// begin prepares the decisions at a time.
func (e *estimates) begin(now time.Time) {
	e.decidedAt, e.decidedMS, e.correctionLimit = now, milliseconds(now.Sub(e.base)), 0
	if e.servers == 0 {
		return
	}
	const deviations = 2 // A Poisson count exceeds its mean by more than two deviations in 1 of 40 cases.
	perServer := (e.unseen(now, ordinarySend) + e.unseen(now, sensitiveSend)) / float64(e.servers)
	e.correctionLimit = min(1+perServer+deviations*math.Sqrt(perServer), measurementShare*float64(e.active))
}

// finishedSince estimates how many of the tokens that peers reported for a server it has prefilled since. The server's rate is divided between the peers' and
// this instance's backlog; the latter is exact and needs no correction.
func (b *Balancer) finishedSince(known *server) ident.Tokens {
	backlog := float64(known.evidence.backlog)
	ageMS := b.estimates.decidedMS - float64(known.evidence.backlogTimeMS)/backlog
	finished := known.figures.rate * max(ageMS, 0)
	if known.local.Active > 0 {
		finished *= backlog / (backlog + float64(max(known.local.Prefill.Total(), 0)))
	}
	return ident.Tokens(finished)
}

// correction returns the number of requests by which the server's newest measurement differs from the estimate at that time. It counts less as newer reports of
// the peers include what the measurement showed, and is limited to what peers can have sent unseen and to measurementShare of the service's requests.
func (b *Balancer) correction(now time.Time, known *server) int {
	e := &b.estimates
	measured := known.evidence.measured
	remaining := 1 - now.Sub(measured.at).Seconds()/max(e.reportInterval, time.Millisecond).Seconds()
	if remaining <= 0 {
		return 0
	}
	return int(math.Round(remaining * min(max(float64(measured.excess), -e.correctionLimit), e.correctionLimit)))
}

// meanBacklog returns the mean prefill backlog per request in flight.
func (e *estimates) meanBacklog() ident.Tokens {
	return e.prefill / ident.Tokens(max(e.active, 1))
}

// figureAge returns the age of the newest figure about a server's load at peers: its measurement or the mean of the peers' reports.
func (b *Balancer) figureAge(now time.Time, known *server) time.Duration {
	age := b.estimates.meanAge + now.Sub(b.estimates.refreshedAt)
	if measured := known.evidence.measured.at; !measured.IsZero() && (len(b.estimates.senders) == 0 || now.Sub(measured) < age) {
		return now.Sub(measured)
	}
	if len(b.estimates.senders) == 0 {
		return 0
	}
	return age
}
