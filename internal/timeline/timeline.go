// Package timeline merges the events of all processes into one causal order.
package timeline

import (
	"slices"
	"time"

	"vanillapond/internal/process/event"
	"vanillapond/pkg/ident"
)

// Filter says which events are wanted; an empty field wants all.
type Filter struct {
	Request  ident.Request
	Customer ident.Customer
	Endpoint ident.Endpoint
	Lease    string
	Version  ident.Version
	Name     event.Name
	// Since and Until bound the events' wall time.
	Since time.Time
	Until time.Time
}

// Matches reports whether an event passes the filter.
func (f Filter) Matches(e event.Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Customer, e.Customer) &&
		matches(f.Endpoint, e.Endpoint) &&
		matches(f.Lease, e.Lease) &&
		matches(f.Version, e.Version) &&
		matches(f.Name, e.Name) &&
		f.within(time.UnixMilli(e.Time.WallMS))
}

func matches[T comparable](wanted, found T) bool {
	var all T
	return wanted == all || wanted == found
}

func (f Filter) within(at time.Time) bool {
	return (f.Since.IsZero() || !at.Before(f.Since)) && (f.Until.IsZero() || !at.After(f.Until))
}

// Merge returns the wanted events of all processes, causes before effects.
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
