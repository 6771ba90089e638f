package forward

import (
	"time"

	"vanillapond/internal/request/placement"
)

// engineLevel returns the priority of the request at an engine; late means that it can't be in time any more.
func (c *call) engineLevel(late bool) placement.PriorityLevel {
	levels := placement.Levels{Priorities: c.forwarder.config.Current.Table().Priorities()}
	return levels.Level(int(c.record.Priority), late)
}

// pick picks the best server for the request. One that can't be in time anywhere waits behind those that can, and for it the time counts that its caller has
// left.
func (c *call) pick(now time.Time, balancer *placement.Balancer) (placement.Choice, bool) {
	c.query.Remaining = c.deadline.Sub(now)
	if !c.query.Engine || c.begun || c.serversTried > 0 {
		return balancer.Pick(now, c.query)
	}
	c.query.PriorityLevel, c.query.Objective, c.query.FirstWithin = c.engineLevel(false), c.route.Objective.Duration(), 0
	choice, found := balancer.Pick(now, c.query)
	if found && now.Add(choice.QueueDelay).After(c.latestStartInTime(choice.Work)) {
		firstWithin := max(c.latestStart(choice.Work).Add(choice.Work.ToFirst).Sub(now), minRemaining)
		c.query.PriorityLevel, c.query.Objective, c.query.FirstWithin = c.engineLevel(true), firstWithin, firstWithin
		choice, found = balancer.Pick(now, c.query)
	}
	return choice, found
}

// latestStart returns the latest time at which a server must start the request so that its caller can use the response.
func (c *call) latestStart(work placement.Work) time.Time {
	caller := placement.Caller{CompleteBy: c.deadline.Add(-minRemaining)}
	if patience := c.route.Patience(); patience > 0 {
		caller.FirstBy = c.arrived.Add(patience - minRemaining)
	}
	return caller.LatestStart(work)
}

// latestStartInTime returns the latest time at which a server must start the request so that it meets the target latency of its route.
func (c *call) latestStartInTime(work placement.Work) time.Time {
	latest := c.latestStart(work)
	if objective := c.route.Objective.Duration(); objective > 0 {
		if inTime := c.arrived.Add(objective - work.ToFirst); inTime.Before(latest) {
			return inTime
		}
	}
	return latest
}
