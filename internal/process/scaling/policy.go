// Package scaling decides how many endpoints a pool runs in a failure domain.
package scaling

import (
	"math"
	"time"
)

// Times and shares of the policy.
const (
	// horizon is how far demand is forecast: about the time that an endpoint takes to start.
	horizon = 60 * time.Second
	// levelTime and trendTime are over what demand and its trend are smoothed.
	levelTime = 10 * time.Second
	trendTime = 60 * time.Second
	// calm is how long fewer endpoints must have been enough before one is stopped.
	calm = 5 * time.Minute
	// targetLoad is the share of an endpoint's places that is planned to be in use.
	targetLoad = 0.8
	// attainedGoal is the share of requests within their target below which one endpoint more is wanted.
	attainedGoal = 0.95
	// fewestRequests is how many requests an attainment needs to count.
	fewestRequests = 20
	// rounding keeps sums of floating point from asking for one endpoint more.
	rounding = 1e-9
)

// PoolConfig are a pool's, from the configuration.
type PoolConfig struct {
	// Min and Max bound the endpoints of the pool in this failure domain.
	Min, Max int
	// Slots is how many requests one endpoint runs at a time; at least 1.
	Slots int
	// Domains is how many failure domains run the pool; at least 1.
	Domains int
	// CostPerHour is the price of one running endpoint, in cents; what is free is never stopped.
	CostPerHour int64
}

// Sample is what was seen of a pool at one moment.
type Sample struct {
	// Demand is how many places in this failure domain are in use or waited for.
	Demand float64
	// TopTierDemand is how many places in all failure domains the top tiers use or wait for.
	TopTierDemand float64
	// Requests is how many requests ended since the last sample, Attained how many of them within their target.
	Requests, Attained int
}

// Policy decides for one pool in one failure domain; the same samples at the same times lead to the same decisions.
type Policy struct {
	// started says that there was a sample; last is its time, as a duration since any fixed moment.
	started bool
	last    time.Duration
	// level is the smoothed demand, in places; trend is its change a second.
	level, trend float64
	// requests and attained are faded counts.
	requests, attained float64
	// target is the last decision; lowerSince is since when fewer were enough.
	target     int
	lowerSince time.Duration
	// relieved is when the attainment last asked for one endpoint more.
	relieved time.Duration
}

// New returns a policy that starts from running endpoints.
func New(running int) *Policy {
	return &Policy{target: running}
}

// Target takes a sample and returns how many endpoints to run; now counts from any fixed moment.
func (p *Policy) Target(now time.Duration, rules PoolConfig, sample Sample) int {
	p.observe(now, sample)
	p.target = rules.bound(p.target)
	wanted := rules.bound(max(rules.MinForDomainLoss(sample.TopTierDemand), p.wanted(now, rules)))
	switch {
	case wanted >= p.target:
		p.target = wanted
		p.lowerSince = now
	case rules.CostPerHour == 0:
		p.lowerSince = now
	case now-p.lowerSince >= calm:
		p.target--
		p.lowerSince = now
	}
	return p.target
}

// MinForDomainLoss returns how many endpoints the top tiers need here once one failure domain is lost.
func (r PoolConfig) MinForDomainLoss(top float64) int {
	left := max(r.Domains-1, 1)
	return ceil(top / float64(r.Slots) / float64(left))
}

func (r PoolConfig) bound(count int) int { return min(max(count, r.Min), r.Max) }

// observe smooths demand, its trend and attainment.
func (p *Policy) observe(now time.Duration, sample Sample) {
	if !p.started {
		p.started = true
		p.last, p.lowerSince, p.relieved = now, now, now-horizon
		p.level = sample.Demand
	}
	elapsed := now - p.last
	p.last = now
	before := p.level
	p.level += fade(elapsed, levelTime) * (sample.Demand - p.level)
	if elapsed > 0 {
		p.trend += fade(elapsed, trendTime) * ((p.level-before)/elapsed.Seconds() - p.trend)
	}
	kept := 1 - fade(elapsed, trendTime)
	p.requests = p.requests*kept + float64(sample.Requests)
	p.attained = p.attained*kept + float64(sample.Attained)
}

// wanted returns what the forecast and the attainment ask for.
func (p *Policy) wanted(now time.Duration, rules PoolConfig) int {
	// The level lags behind a steady rise by levelTime.
	forecast := p.level + max(p.trend, 0)*(horizon+levelTime).Seconds()
	count := ceil(forecast / targetLoad / float64(rules.Slots))
	missed := p.requests >= fewestRequests && p.attained < attainedGoal*p.requests
	full := p.level >= targetLoad*float64(p.target*rules.Slots)
	if missed && full && now-p.relieved >= horizon {
		p.relieved = now
		count = max(count, p.target+1)
	}
	return count
}

// fade returns the weight of the newest value after a time.
func fade(elapsed, over time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/over.Seconds())
}

func ceil(value float64) int { return int(math.Ceil(value - rounding)) }
