package forward

import (
	"math/rand/v2"
	"time"

	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// reasonOverShare is the reason of requests whose customer has used its share of a service that is short of capacity.
const reasonOverShare = "customer is over its share"

// hasShares reports whether the request's service is shared between its customers.
func (c *call) hasShares() bool {
	return c.forwarder.config.Shares != nil && c.query.Engine && c.forwarder.config.Current.Table().LoadAware(c.service)
}

// checkShare decides whether the request's customer is over its share. The zero decision is that of a service that is not short of capacity.
func (c *call) checkShare(now time.Time, choice placement.Choice) fairshare.Decision {
	if !c.hasShares() || c.shares != nil {
		return fairshare.Decision{}
	}
	decision := c.forwarder.config.Shares(c.service).Decide(now, c.newShareRequest(now, choice))
	c.record.ShareFraction = decision.Fraction
	return decision
}

// countShare counts what admission decided on a request whose customer is not over its share.
func (c *call) countShare(now time.Time, choice placement.Choice, decision admission.Decision) {
	switch {
	case !c.hasShares() || c.shares != nil:
	case decision.Admit:
		c.shares, c.sharedAt, c.shareRequest, c.awaitsEvent = c.forwarder.config.Shares(c.service), now, c.newShareRequest(now, choice), true
		c.shares.Admit(now, c.shareRequest)
	default:
		c.forwarder.config.Shares(c.service).Refused(now)
	}
}

// countFirstEvent counts the request as served in the shares of its service.
func (c *call) countFirstEvent(now time.Time) {
	if c.awaitsEvent {
		c.awaitsEvent = false
		c.shares.Served(now, c.shareRequest.Work)
	}
}

// endShare ends the wait for the first event in the shares of the request's service, and takes the use back if no server ran the request.
func (c *call) endShare() {
	if c.awaitsEvent {
		c.awaitsEvent = false
		c.shares.Dropped(time.Now(), c.sharedAt, c.shareRequest, c.mayHaveRun)
	}
}

// newShareRequest describes the request to the shares of its service.
func (c *call) newShareRequest(now time.Time, choice placement.Choice) fairshare.Request {
	request := fairshare.Request{
		Customer: c.customerName(), Priority: fairshare.PriorityLevel(c.priority()), Work: fairshare.WorkOf(choice.Uncached, c.query.Output),
		QueueDelay: choice.QueueDelay, Waited: now.Sub(c.arrived), Objective: c.query.Objective,
		Random: rand.Float64(), //nolint:gosec // Only spreads load.
	}
	if c.forwarder.config.Instances != nil {
		request.Instances = c.forwarder.config.Instances()
	}
	return request
}

// customerName returns the name of the request's customer, empty on routes without keys.
func (c *call) customerName() ident.Customer {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}
