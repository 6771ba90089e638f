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

// checkShare counts the request as demand of its customer and decides whether the customer is over its share. The zero decision is that of a
// service that is not short of capacity.
func (c *call) checkShare(now time.Time, choice placement.Choice) fairshare.Decision {
	if !c.hasShares() {
		return fairshare.Decision{}
	}
	decision := c.forwarder.config.Shares(c.service).Decide(now, c.shareRequest(now, choice))
	c.demandCounted = true
	c.record.ShareFraction = decision.Fraction
	return decision
}

// countShare counts what admission decided on a request whose customer is not over its share.
func (c *call) countShare(now time.Time, choice placement.Choice, decision admission.Decision) {
	switch {
	case !c.hasShares():
	case decision.Admit:
		c.forwarder.config.Shares(c.service).Admit(now, c.shareRequest(now, choice))
	default:
		c.forwarder.config.Shares(c.service).Refused(now, c.shareRequest(now, choice), decision.RetryAfter)
	}
}

func (c *call) shareRequest(now time.Time, choice placement.Choice) fairshare.Request {
	request := fairshare.Request{
		Customer: c.customerName(), Priority: fairshare.PriorityLevel(c.query.PriorityLevel), Work: fairshare.WorkOf(choice.Uncached, c.query.Output),
		Digest: c.digest, QueueDelay: choice.QueueDelay, Waited: now.Sub(c.arrived), Objective: c.query.Objective, Counted: c.demandCounted,
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
