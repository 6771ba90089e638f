package router

import (
	"fmt"
	"reflect"

	"vanillapond/platform"
)

// bounds returns the bounds that are in force.
func (r *Router) bounds() platform.Bounds { return *r.currentBounds.Load() }

// Reload takes over changed settings, as far as a running process can, and logs each field that differs.
//
// The times for keys, configuration and stopping are in force at once; other fields want a restart.
func (r *Router) Reload(settings platform.Settings, err error) {
	if err != nil {
		r.journal.Log("reload", "outcome", "kept", "err", err)
		return
	}
	changed := changedFields("", reflect.ValueOf(r.settings), reflect.ValueOf(settings))
	bounds := settings.Bounds
	r.currentBounds.Store(&bounds)
	r.journal.Log("reload", "outcome", "read", "changed", len(changed), "fields", fmt.Sprint(changed))
}

// changedFields names the fields in which two values of one struct type differ.
func changedFields(prefix string, before, after reflect.Value) []string {
	var changed []string
	for index := range before.NumField() {
		name := prefix + before.Type().Field(index).Name
		switch old, current := before.Field(index), after.Field(index); {
		case old.Kind() == reflect.Struct:
			changed = append(changed, changedFields(name+".", old, current)...)
		case !old.Equal(current):
			changed = append(changed, name)
		}
	}
	return changed
}
