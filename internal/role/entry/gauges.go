package entry

// centsPerHour returns the total cost per hour, in cents, of the configured endpoints that are not draining.
func (e *Entry) centsPerHour() float64 {
	current := e.snapshots.Current()
	if current == nil {
		return 0
	}
	var cents int64
	for _, endpoint := range current.Configuration.Endpoints {
		if pool, found := current.Pool(endpoint.Pool); found && !endpoint.Draining {
			cents += pool.CostPerHour
		}
	}
	return float64(cents)
}

// version returns the configuration version in force; 0 before the first one.
func (e *Entry) version() float64 {
	if current := e.snapshots.Current(); current != nil {
		return float64(current.Version())
	}
	return 0
}

// registerGauges registers the gauges that are read on each scrape.
func (e *Entry) registerGauges() {
	e.metrics.Gauge("vanillapond_configuration_version", "Configuration version in force.", e.version)
	e.metrics.Gauge("vanillapond_endpoint_cents_per_hour", "Cost of the endpoints that take work.", e.centsPerHour)
}
