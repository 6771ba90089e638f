package scaling

// fewestLinked is how many endpoints of a failure domain must be seen to stand for it alone.
const fewestLinked = 4

// ObservedLoad is the load of some endpoints.
type ObservedLoad struct {
	Endpoints int
	// Requests counts the requests that run or wait at these.
	Requests int
}

// ExtrapolateDemand returns the places in use at running endpoints of a failure domain, from those seen there or in all domains.
func ExtrapolateDemand(here, everywhere ObservedLoad, running int) float64 {
	if here.Endpoints < min(running, fewestLinked) {
		here = everywhere
	}
	return float64(here.Requests) * float64(running) / float64(max(here.Endpoints, 1))
}
