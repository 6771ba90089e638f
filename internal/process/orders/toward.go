package orders

import (
	"vanillapond/internal/process/platform"
	"vanillapond/pkg/ident"
)

// ScaleTo returns the orders that bring a pool to target running endpoints, as far as there are endpoints.
func ScaleTo(pool ident.Pool, target int, running, stopped []ident.Endpoint) []DesiredAction {
	var wants []DesiredAction
	for _, endpoint := range stopped[:min(max(target-len(running), 0), len(stopped))] {
		wants = append(wants, DesiredAction{Action: platform.ActionStart, Pool: pool, Endpoint: endpoint})
	}
	for _, endpoint := range running[min(target, len(running)):] {
		wants = append(wants, DesiredAction{Action: platform.ActionStop, Pool: pool, Endpoint: endpoint})
	}
	return wants
}
