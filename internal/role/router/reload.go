package router

import (
	"fmt"
	"reflect"

	"vanillapond/platform"
)

// bounds returns the operator's bounds in force, as of the last reload.
func (r *Router) bounds() platform.Bounds { return *r.currentBounds.Load() }

// Reload applies changed settings as far as a running process can, and logs the fields that differ. If err is set, the settings
// could not be read and the current ones stay in force.
//
// Changes to the bounds for key revocation, stale configuration and graceful shutdown take effect at once; all other fields
// require a restart.
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

// changedFields returns the names of the fields in which two values of the same struct type differ.
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
