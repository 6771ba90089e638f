package forward

import (
	"errors"
	"net/http"
	"time"

	"vanillapond/internal/body"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// defaultTimeout is the timeout of requests without a deadline header.
const defaultTimeout = 30 * time.Second

func (c *call) checkHeaders(limits platform.Limits) *refusal {
	size := len(c.request.RequestURI) + len(c.request.Host)
	for name, values := range c.request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	if limits.HeaderBytes > 0 && size > limits.HeaderBytes {
		return deny(http.StatusRequestHeaderFieldsTooLarge, "head is larger than allowed")
	}
	key, ok := platform.Key(c.request.Header)
	if !ok {
		return deny(http.StatusBadRequest, "more than one key or a malformed one")
	}
	c.key = key
	return nil
}

// readBody reads the complete body into memory, so that the request can be retried. A body that arrives after the request's deadline is of no use.
func (c *call) readBody(limits platform.Limits) *refusal {
	config := body.Config{Limit: limits.BodyBytes, Deadline: c.arrived.Add(c.timeout()), Grace: c.forwarder.config.Grace, Account: c.forwarder.config.Holdings}
	if config.Limit <= 0 {
		config.Limit = defaultMaxBody
	}
	var err error
	c.body, err = body.Read(c.writer, c.request, config)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, holdings.ErrNoRoom):
		return &refusal{
			status: http.StatusServiceUnavailable, reason: reasonNoRoom, retryAfter: c.forwarder.config.Holdings.RetryAfter(),
			closesConnection: true, ignoresContext: true,
		}
	case errors.Is(err, body.ErrStopping):
		refused := stopping()
		refused.ignoresContext = true
		return refused
	case errors.Is(err, body.ErrLate):
		// net/http ends the context of all requests of a connection with the first error of reading from it.
		return &refusal{status: http.StatusRequestTimeout, reason: "body came too late", closesConnection: true, ignoresContext: true}
	case errors.Is(err, body.ErrTooLarge):
		return deny(http.StatusRequestEntityTooLarge, "body is larger than allowed")
	default:
		return deny(http.StatusBadRequest, "body is not whole")
	}
}

// reasonNoRoom is the reason of requests whose body had to make room for those of others.
const reasonNoRoom = "no room for the body"

// defaultMaxBody bounds the body in bytes if the configuration sets no limit.
const defaultMaxBody = 8 << 20

// authorize determines the route and the customer from the newest configuration. It runs again before each attempt, because
// the configuration may have changed since.
func (c *call) authorize() *refusal {
	config := c.forwarder.config
	age := config.Current.Age(config.Now())
	table := config.Current.Table()
	route := table.Match(c.request.Host, c.request.URL.EscapedPath())
	if route == nil {
		if age > config.MaxDenyAge() {
			return c.outdated("route is unknown and the configuration is old")
		}
		return deny(http.StatusNotFound, "no such route")
	}
	if c.route == nil || route.Name != c.route.Name || !routesTo(route, c.service) {
		c.service = routes.Pick(route)
	}
	c.route = route
	c.customer = nil
	if !table.NeedsKey(route) {
		return nil
	}
	customer := table.Customer(c.key)
	switch {
	case customer == nil && age > config.MaxDenyAge(), customer != nil && age > config.MaxKeyAge():
		return c.outdated("keys cannot be checked while the configuration is old")
	case customer == nil:
		c.record.Key = routes.Digest(c.key)
		c.record.Withdrawal, _ = table.Withdrawal(c.record.Key)
		return deny(http.StatusUnauthorized, "no such key")
	}
	c.customer = customer
	return nil
}

// routesTo reports whether the route sends requests to the service.
func routesTo(route *platform.Route, service ident.Pool) bool {
	if len(route.Split) == 0 {
		return route.Service == service
	}
	for _, share := range route.Split {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// callerTimeout returns how long the caller waits for the response, from the arrival of the request.
func (c *call) callerTimeout() time.Duration {
	if timeout, stated := platform.Deadline(c.request.Header); stated {
		return timeout
	}
	return defaultTimeout
}

// timeout returns the shorter of the caller's timeout and the route's.
func (c *call) timeout() time.Duration {
	if timeout := c.route.Timeout.Duration(); timeout > 0 {
		return min(c.callerTimeout(), timeout)
	}
	return c.callerTimeout()
}
