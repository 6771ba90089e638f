package scaling

// minObservedEndpoints is the number of observed endpoints of a failure domain from which on they are representative of the domain.
const minObservedEndpoints = 4

// ObservedLoad is the load of the endpoints whose load is known to this process.
type ObservedLoad struct {
	Endpoints int
	// Requests is the number of requests that are running or waiting at these endpoints.
	Requests int
}

// ExtrapolateDemand estimates the demand at all running endpoints of a failure domain from the observed load in that domain,
// or from the observed load in all domains if too few endpoints of the domain are observed.
func ExtrapolateDemand(domainLoad, totalLoad ObservedLoad, running int) float64 {
	if domainLoad.Endpoints < min(running, minObservedEndpoints) {
		domainLoad = totalLoad
	}
	return float64(domainLoad.Requests) * float64(running) / float64(max(domainLoad.Endpoints, 1))
}
