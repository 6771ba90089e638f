package placement

import (
	"math/rand/v2"
)

// replayPlan is a load on servers that take requests in turn, chosen by instances that know each other's sends by reports. Times are in milliseconds.
type replayPlan struct {
	instances, servers int
	// ageMS is the mean age of reports: they are sent at this interval and travel for half of it; jitter adds up to as much again, so that some overtake others.
	ageMS  float64
	loss   float64
	jitter bool
	speeds []float64
	kinds  []replayKind
	// utilization is the part of the servers' capacity that the load takes, and burst the same in each second interval of burstSeconds.
	utilization, burst, burstSeconds float64
	seconds                          float64
	// disturb changes what instances do: starts, leaves, freezes and cuts; nil for none. It returns whether an instance sends, and whether it hears others.
	disturb func(at float64, instance int) (sends, hears bool)
	seed    uint64
}

// replayResult is the outcome of a replay.
type replayResult struct {
	late, busiestToMean, idleBesideQueue float64
	// dispersion is the variance of the requests that a server gets in one report interval relative to their mean: 1 with independent random choices, more
	// if servers are preferred and avoided in turns.
	dispersion float64
}

// pickRule picks a server; perfect means that the options hold the servers' true backlogs.
type pickRule struct {
	perfect bool
	pick    func(v *view) int
}

// view is what an instance knows when it decides.
type view struct {
	options   []option
	unseen    float64
	instance  int
	instances int
	key       uint64
	random    *rand.Rand
	own       []float64
}

// replayKind is a kind of request: its mean work in milliseconds at nominal speed, and the time in which it should end.
type replayKind struct{ work, objective float64 }

// deploymentKinds are the streams of the first deployment, with the prefill of their own part of the prompt as the work, in about their proportions.
var deploymentKinds = []replayKind{{26, 1500}, {26, 1500}, {26, 1500}, {16, 500}, {5, 400}}

const (
	// replayWork is the work that instances expect of a request, and costPerMS the cost of a wait of a millisecond, as that of an engine with an
	// objective of a second.
	replayWork = 20
	costPerMS  = waitCost / 1000
	// longQueue is a queue that delays requests noticeably, in milliseconds.
	longQueue = 200
)

type replayReport struct {
	at   float64
	work []float64
}

type replayRun struct {
	plan   replayPlan
	random *rand.Rand
	// freeAt is when each server has done its work. own is each instance's unfinished work by server.
	freeAt []float64
	own    [][]float64
	ends   [][]replayEnd
	// heard is the last report of each sender at each receiver; remote and remoteTime are their sums and the sums times the time.
	heard              [][]replayReport
	remote, remoteTime [][]float64
	pending            []replayDelivery
	deliveredAt        float64
	// rate is the number of requests per millisecond at full utilization, work their mean work.
	rate, work float64
}

type replayEnd struct {
	at, work float64
	server   int
}

type replayDelivery struct {
	at       float64
	from, to int
	report   replayReport
}

func (r *replayRun) speed(server int) float64 { return r.plan.speeds[server%len(r.plan.speeds)] }

func newReplayRun(plan replayPlan) *replayRun {
	r := &replayRun{plan: plan, random: rand.New(rand.NewPCG(plan.seed, 9)), freeAt: make([]float64, plan.servers)}
	for range plan.instances {
		r.own = append(r.own, make([]float64, plan.servers))
		r.remote = append(r.remote, make([]float64, plan.servers))
		r.remoteTime = append(r.remoteTime, make([]float64, plan.servers))
		r.heard = append(r.heard, make([]replayReport, plan.instances))
	}
	r.ends = make([][]replayEnd, plan.instances)
	capacity := 0.0
	for server := range plan.servers {
		capacity += r.speed(server)
	}
	for _, kind := range plan.kinds {
		r.work += kind.work / float64(len(plan.kinds))
	}
	r.rate = capacity / r.work
	return r
}

func (r *replayRun) state(at float64, instance int) (sends, hears bool) {
	if r.plan.disturb == nil {
		return true, true
	}
	return r.plan.disturb(at, instance)
}

// finish removes an instance's work that has ended.
func (r *replayRun) finish(now float64, instance int) {
	kept := r.ends[instance][:0]
	for _, each := range r.ends[instance] {
		if each.at > now {
			kept = append(kept, each)
			continue
		}
		r.own[instance][each.server] -= each.work
	}
	r.ends[instance] = kept
}

// report sends an instance's report to all others.
func (r *replayRun) report(now float64, from int) {
	r.finish(now, from)
	if sends, _ := r.state(now, from); !sends {
		return
	}
	content := replayReport{at: now, work: append([]float64(nil), r.own[from]...)}
	for to := range r.plan.instances {
		if to == from || r.random.Float64() < r.plan.loss {
			continue
		}
		delay := r.plan.ageMS / 2
		if r.plan.jitter {
			delay += r.random.Float64() * r.plan.ageMS
		}
		r.pending = append(r.pending, replayDelivery{at: now + delay, from: from, to: to, report: content})
	}
}

// deliver applies the reports that have arrived; one that was overtaken by a newer one is dropped.
func (r *replayRun) deliver(now float64) {
	if now-r.deliveredAt < 1 {
		return
	}
	r.deliveredAt = now
	kept := r.pending[:0]
	for _, each := range r.pending {
		if each.at > now {
			kept = append(kept, each)
			continue
		}
		last := r.heard[each.to][each.from]
		if _, hears := r.state(now, each.to); !hears || last.at > each.report.at {
			continue
		}
		for server := range r.freeAt {
			work, before := each.report.work[server], 0.0
			if last.work != nil {
				before = last.work[server]
			}
			r.remote[each.to][server] += work - before
			r.remoteTime[each.to][server] += work*each.report.at - before*last.at
		}
		r.heard[each.to][each.from] = each.report
	}
	r.pending = kept
}

// expire removes the reports that are older than peerTTL.
func (r *replayRun) expire(now float64, instance int) {
	for from, last := range r.heard[instance] {
		if last.work == nil || now-last.at <= milliseconds(peerTTL) {
			continue
		}
		for server, work := range last.work {
			r.remote[instance][server] -= work
			r.remoteTime[instance][server] -= work * last.at
		}
		r.heard[instance][from].work = nil
	}
}

// view returns what an instance knows.
func (r *replayRun) view(now float64, instance int, perfect bool) *view {
	r.finish(now, instance)
	r.expire(now, instance)
	v := &view{instance: instance, instances: r.plan.instances, random: r.random, own: r.own[instance]}
	for server := range r.freeAt {
		speed := r.speed(server)
		backlog := max(r.freeAt[server]-now, 0) * speed
		if !perfect {
			remote, own := r.remote[instance][server], max(r.own[instance][server], 0)
			if remote > 1e-6 {
				age := now - r.remoteTime[instance][server]/remote
				remote = max(remote-speed*age*remote/(remote+own), 0)
			}
			backlog = max(remote, 0) + own
		}
		v.options = append(v.options, option{cost: (backlog + replayWork) / speed * costPerMS, perCost: speed / (replayWork * costPerMS)})
	}
	for from, last := range r.heard[instance] {
		if from != instance {
			v.unseen += r.rate * r.plan.utilization / float64(r.plan.instances) * min(now-last.at, milliseconds(peerTTL))
		}
	}
	return v
}

// replayChoices plays a load under a rule.
func replayChoices(plan replayPlan, rule pickRule) replayResult {
	r := newReplayRun(plan)
	arrivals := rand.New(rand.NewPCG(plan.seed, 1))
	var result replayResult
	requests, late, samples, idle := 0, 0, 0, 0.0
	counts := make([]float64, plan.servers)
	squares, means := 0.0, 0.0
	nextReport := make([]float64, plan.instances)
	for index := range nextReport {
		nextReport[index] = arrivals.Float64() * plan.ageMS
	}
	nextSample, nextWindow := 0.0, plan.ageMS
	for now := 0.0; now < plan.seconds*1000; {
		utilization := plan.utilization
		if int(now/1000/plan.burstSeconds)%2 == 1 {
			utilization = plan.burst
		}
		now += arrivals.ExpFloat64() / (r.rate * utilization)
		for index := range nextReport {
			for ; nextReport[index] <= now; nextReport[index] += plan.ageMS {
				r.report(nextReport[index], index)
			}
		}
		r.deliver(now)
		for ; nextSample <= now; nextSample += 10 {
			longest, sum, free := 0.0, 0.0, 0
			for _, at := range r.freeAt {
				queue := max(at-now, 0)
				longest, sum = max(longest, queue), sum+queue
				if queue == 0 {
					free++
				}
			}
			samples++
			if sum > 0 {
				result.busiestToMean += longest * float64(plan.servers) / sum
			}
			if longest > longQueue {
				idle += float64(free) / float64(plan.servers)
			}
		}
		for ; nextWindow <= now; nextWindow += plan.ageMS {
			for server, count := range counts {
				expected := r.rate * utilization * plan.ageMS * r.speed(server) / (r.rate * r.work)
				squares += (count - expected) * (count - expected)
				means += expected
				counts[server] = 0
			}
		}
		instance := arrivals.IntN(plan.instances)
		kind := plan.kinds[arrivals.IntN(len(plan.kinds))]
		work := arrivals.ExpFloat64() * kind.work
		key := arrivals.Uint64()
		if sends, _ := r.state(now, instance); !sends {
			continue
		}
		v := r.view(now, instance, rule.perfect)
		v.key = key
		server := rule.pick(v)
		counts[server]++
		r.freeAt[server] = max(r.freeAt[server], now) + work/r.speed(server)
		r.own[instance][server] += work
		r.ends[instance] = append(r.ends[instance], replayEnd{at: r.freeAt[server], work: work, server: server})
		requests++
		if r.freeAt[server]-now > kind.objective {
			late++
		}
	}
	result.late = float64(late) / float64(requests)
	result.busiestToMean /= float64(samples)
	result.idleBesideQueue = idle / float64(samples)
	result.dispersion = squares / means
	return result
}
