// Package timeline merges the event logs of several processes into one causally ordered log and prints it.
package timeline

import (
	"slices"
	"time"

	"vanillapond/internal/process/event"
	"vanillapond/pkg/ident"
)

// Filter selects events; a field with its zero value selects all.
type Filter struct {
	Request  ident.Request
	Customer ident.Customer
	Endpoint ident.Endpoint
	Lease    string
	Version  ident.Version
	Name     event.Name
	// Since and Until limit the wall time of events, both inclusive.
	Since time.Time
	Until time.Time
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(e event.Event) bool {
	return matchesField(f.Request, e.Request) &&
		matchesField(f.Customer, e.Customer) &&
		matchesField(f.Endpoint, e.Endpoint) &&
		matchesField(f.Lease, e.Lease) &&
		matchesField(f.Version, e.Version) &&
		matchesField(f.Name, e.Name) &&
		f.within(time.UnixMilli(e.Time.WallMS))
}

func matchesField[T comparable](wanted, found T) bool {
	var zero T
	return wanted == zero || wanted == found
}

func (f Filter) within(at time.Time) bool {
	return (f.Since.IsZero() || !at.Before(f.Since)) && (f.Until.IsZero() || !at.After(f.Until))
}

// Merge returns the selected events of all processes in the order of their hybrid logical time, which puts causes before effects.
func Merge(filter Filter, processes ...[]event.Event) []event.Event {
	var merged []event.Event
	for _, events := range processes {
		for _, e := range events {
			if filter.Matches(e) {
				merged = append(merged, e)
			}
		}
	}
	slices.SortStableFunc(merged, func(a, b event.Event) int { return a.Time.Compare(b.Time) })
	return merged
}
