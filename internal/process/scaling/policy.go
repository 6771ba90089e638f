// Package scaling decides how many endpoints of a pool run in a failure domain.
//
// The capacity of an endpoint is its number of slots: how many requests it runs at a time. Demand is measured in slots.
package scaling

import (
	"math"
	"time"
)

// Parameters of the policy.
const (
	// forecastHorizon is how far ahead demand is forecast: about the time that an endpoint takes to start.
	forecastHorizon = 60 * time.Second
	// levelTimeConstant and trendTimeConstant are the time constants of the exponential smoothing of demand and of its trend.
	levelTimeConstant = 10 * time.Second
	trendTimeConstant = 60 * time.Second
	// scaleDownDelay is how long fewer endpoints must have been sufficient before one is stopped.
	scaleDownDelay = 5 * time.Minute
	// targetLoad is the planned utilization of slots.
	targetLoad = 0.8
	// attainmentGoal is the fraction of requests within their latency target below which one more endpoint is required.
	attainmentGoal = 0.95
	// minRequests is the number of requests below which the attainment is ignored.
	minRequests = 20
	// roundingTolerance keeps floating-point errors from rounding up to one more endpoint.
	roundingTolerance = 1e-9
)

// PoolConfig is the configuration of a pool.
type PoolConfig struct {
	// Min and Max bound the number of endpoints of the pool in this failure domain.
	Min, Max int
	// Slots is the number of requests that one endpoint runs at a time; at least 1.
	Slots int
	// Domains is the number of failure domains that run the pool; at least 1.
	Domains int
	// CostPerHour is the price of one running endpoint in cents. Endpoints without a price are never stopped.
	CostPerHour int64
}

// Sample is one measurement of a pool.
type Sample struct {
	// Demand is the number of requests that are running or waiting in this failure domain.
	Demand float64
	// TopTierDemand is the number of requests of the top tiers that are running or waiting in all failure domains.
	TopTierDemand float64
	// Requests is the number of requests that ended since the last sample, Attained the number of those within their latency target.
	Requests, Attained int
}

// Policy decides for one pool in one failure domain. It is deterministic: equal samples at equal times lead to equal decisions.
type Policy struct {
	// hasSample says that there was a sample; lastSampleAt is the time of the last one, as a duration since an arbitrary
	// fixed moment.
	hasSample    bool
	lastSampleAt time.Duration
	// level is the smoothed demand in slots; trend is its change per second.
	level, trend float64
	// requests and attained are exponentially decaying counts.
	requests, attained float64
	// target is the last decision; excessSince is since when fewer endpoints have been sufficient.
	target      int
	excessSince time.Duration
	// lastBoost is when a low attainment last required one more endpoint.
	lastBoost time.Duration
}

// New returns a policy that starts with the given number of running endpoints.
func New(running int) *Policy {
	return &Policy{target: running}
}

// Target takes a sample and returns the number of endpoints to run. now is the time since an arbitrary fixed moment.
func (p *Policy) Target(now time.Duration, pool PoolConfig, sample Sample) int {
	p.observe(now, sample)
	p.target = pool.clamp(p.target)
	required := pool.clamp(max(pool.MinForDomainLoss(sample.TopTierDemand), p.required(now, pool)))
	switch {
	case required >= p.target:
		p.target = required
		p.excessSince = now
	case pool.CostPerHour == 0:
		p.excessSince = now
	case now-p.excessSince >= scaleDownDelay:
		p.target--
		p.excessSince = now
	}
	return p.target
}

// MinForDomainLoss returns the number of endpoints that the top tiers need here after the loss of one failure domain.
func (p PoolConfig) MinForDomainLoss(topTierDemand float64) int {
	remainingDomains := max(p.Domains-1, 1)
	return ceil(topTierDemand / float64(p.Slots) / float64(remainingDomains))
}

func (p PoolConfig) clamp(count int) int { return min(max(count, p.Min), p.Max) }

// observe updates the smoothed demand, its trend and the attainment.
func (p *Policy) observe(now time.Duration, sample Sample) {
	if !p.hasSample {
		p.hasSample = true
		p.lastSampleAt, p.excessSince, p.lastBoost = now, now, now-forecastHorizon
		p.level = sample.Demand
	}
	elapsed := now - p.lastSampleAt
	p.lastSampleAt = now
	previous := p.level
	p.level += smoothingWeight(elapsed, levelTimeConstant) * (sample.Demand - p.level)
	if elapsed > 0 {
		p.trend += smoothingWeight(elapsed, trendTimeConstant) * ((p.level-previous)/elapsed.Seconds() - p.trend)
	}
	retained := 1 - smoothingWeight(elapsed, trendTimeConstant)
	p.requests = p.requests*retained + float64(sample.Requests)
	p.attained = p.attained*retained + float64(sample.Attained)
}

// required returns the number of endpoints that the forecast and the attainment require.
func (p *Policy) required(now time.Duration, pool PoolConfig) int {
	// The level lags behind a steady rise by levelTimeConstant.
	forecast := p.level + max(p.trend, 0)*(forecastHorizon+levelTimeConstant).Seconds()
	count := ceil(forecast / targetLoad / float64(pool.Slots))
	missesGoal := p.requests >= minRequests && p.attained < attainmentGoal*p.requests
	highLoad := p.level >= targetLoad*float64(p.target*pool.Slots)
	if missesGoal && highLoad && now-p.lastBoost >= forecastHorizon {
		p.lastBoost = now
		count = max(count, p.target+1)
	}
	return count
}

// smoothingWeight returns the weight of the newest value in exponential smoothing, given the time since the last value.
func smoothingWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

func ceil(value float64) int { return int(math.Ceil(value - roundingTolerance)) }
