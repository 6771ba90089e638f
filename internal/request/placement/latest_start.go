package placement

import "time"

// Caller is the time for which the caller of a request can use its response.
type Caller struct {
	// FirstBy is when the caller leaves unless the first bytes have arrived; zero if it waits for them until CompleteBy.
	FirstBy time.Time
	// CompleteBy is when the response must be complete: the earlier of the caller's deadline and the route's timeout.
	CompleteBy time.Time
}

// LatestStart returns the latest time at which a server must start the request so that its caller can use the response.
func (c Caller) LatestStart(work Work) time.Time {
	latest := c.CompleteBy.Add(-max(work.ToFirst, work.ToComplete))
	if first := c.FirstBy.Add(-work.ToFirst); !c.FirstBy.IsZero() && first.Before(latest) {
		return first
	}
	return latest
}
