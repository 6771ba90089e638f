package orders

import (
	"vanillapond/internal/process/platform"
	"vanillapond/pkg/ident"
)

// ScaleTo returns the actions that bring a pool to target running endpoints, or as close to it as the number of endpoints allows.
func ScaleTo(pool ident.Pool, target int, running, stopped []ident.Endpoint) []DesiredAction {
	var actions []DesiredAction
	for _, endpoint := range stopped[:min(max(target-len(running), 0), len(stopped))] {
		actions = append(actions, DesiredAction{Action: platform.ActionStart, Pool: pool, Endpoint: endpoint})
	}
	for _, endpoint := range running[min(target, len(running)):] {
		actions = append(actions, DesiredAction{Action: platform.ActionStop, Pool: pool, Endpoint: endpoint})
	}
	return actions
}
