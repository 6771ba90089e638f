package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/origin"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

const (
	// softwareTable holds the software versions that each service has had, for instances that start.
	softwareTable = "software"
	// softwareWriteSpread is the time for each instance of the fleet over which all but one delay their look at the rows after a change, so that
	// they find that another has written it; maxSoftwareWriteSpread bounds it, since until then they begin no streams at a new version.
	softwareWriteSpread    = 20 * time.Millisecond
	maxSoftwareWriteSpread = time.Second
	// softwareTolerance is the difference of a time for which alone a row is not written: instances notice a change at different times.
	softwareTolerance = time.Second
	// firstStartHistory is how far back the history of a system reaches that starts for the first time.
	firstStartHistory = 24 * time.Hour
)

// softwareRow is the history of a service's software versions, in milliseconds of the store's clock.
type softwareRow struct {
	SinceMS int64                    `json:"since_ms"`
	Present []ident.Software         `json:"present"`
	GoneMS  map[ident.Software]int64 `json:"gone_ms,omitempty"`
}

// storeClock converts readings of the local clock to the store's.
type storeClock struct{ offset time.Duration }

func (c storeClock) toStore(at clock.Reading) int64 {
	return (time.Duration(at) + c.offset).Milliseconds()
}

// toLocal returns a reading that is not after now: a later one means that the store's clock was restarted.
func (c storeClock) toLocal(ms int64, now clock.Reading) clock.Reading {
	return min(clock.Reading(time.Duration(ms)*time.Millisecond-c.offset), now)
}

// observeSoftware records the software versions of the registered servers, and has them written to the store if they have changed.
func (r *Router) observeSoftware() {
	present := r.servers.SoftwareVersions()
	r.origins.known.ObserveVersions(present)
	if r.rememberSoftware(present) {
		r.requestSoftwareSync()
	}
}

// rememberSoftware reports whether versions differ from those of the last call.
func (r *Router) rememberSoftware(present map[ident.Pool][]ident.Software) bool {
	changed := r.lastSoftware == nil || !maps.EqualFunc(r.lastSoftware, present, slices.Equal)
	r.lastSoftware = present
	return changed
}

// requestSoftwareSync has the histories compared with the store.
func (r *Router) requestSoftwareSync() {
	select {
	case r.softwareChanged <- struct{}{}:
	default:
	}
}

// syncSoftware reads the histories from the store, and writes those that are out of date, whenever the versions change, until the context is
// done. It retries a failed call until the store responds.
func (r *Router) syncSoftware(ctx context.Context) {
	for first := true; ; first = false {
		select {
		case <-r.softwareChanged:
		case <-ctx.Done():
			return
		}
		if share := r.peers.Share(); !first && share.Rank > 0 {
			spread := min(softwareWriteSpread*time.Duration(share.Count), maxSoftwareWriteSpread)
			clock.Sleep(ctx, rand.N(spread), nil) //nolint:gosec // Spreads load only.
		}
		for err := r.mergeSoftware(ctx); err != nil && ctx.Err() == nil; err = r.mergeSoftware(ctx) {
			if errors.Is(err, table.ErrConflict) {
				// Another instance has just written what this one may not know yet.
				clock.Sleep(ctx, rand.N(softwareWriteSpread), nil) //nolint:gosec // Spreads load only.
				continue
			}
			r.journal.Log("software_unsynced", "err", err)
			clock.Sleep(ctx, storeTimeout, r.health.storeRecovered())
		}
	}
}

// mergeSoftware merges the histories with those in the store, in both directions.
func (r *Router) mergeSoftware(ctx context.Context) error {
	sent := clock.Boot()
	batch, err := r.store.List(ctx, softwareTable)
	if err != nil {
		return err
	}
	now := clock.Boot()
	storeTime := storeClock{offset: batch.ServiceTime - time.Duration(now)}
	stored := make(map[ident.Pool]softwareRow)
	revisions := make(map[ident.Pool]table.Revision)
	for _, change := range batch.Changes {
		service := ident.Pool(strings.TrimPrefix(string(change.Key), softwareTable+"/"))
		revisions[service] = change.Revision
		var row softwareRow
		if err := json.Unmarshal(change.Value, &row); err != nil {
			r.journal.Log("software_unreadable", "service", service, "err", err)
			continue
		}
		stored[service] = row
		r.origins.known.SetStored(service, row.versions())
		history := row.history(storeTime, now)
		history.AsOf = sent
		r.origins.known.MergeHistory(service, history)
	}
	if len(batch.Changes) == 0 && r.settings.FirstStart {
		for service := range r.origins.known.Histories() {
			r.origins.known.MergeHistory(service, origin.History{AsOf: sent, Since: now.Add(-firstStartHistory)})
		}
	}
	var failed error
	for service, history := range r.origins.known.Histories() {
		row := newSoftwareRow(history, storeTime)
		if known, found := stored[service]; found && known.covers(row) {
			continue
		}
		if err := r.writeSoftware(ctx, service, row, revisions[service]); err != nil {
			// The rows of other services are still written.
			failed = errors.Join(failed, err)
			continue
		}
		r.origins.known.SetStored(service, row.versions())
	}
	return failed
}

func (r *Router) writeSoftware(ctx context.Context, service ident.Pool, row softwareRow, revision table.Revision) error {
	value, err := json.Marshal(row)
	if err != nil {
		return oops.Wrapf(err, "encode the software versions of %s", service)
	}
	key := table.Key(softwareTable + "/" + string(service))
	r.journal.Log("software_versions", "service", service, "present", fmt.Sprint(row.Present), "gone", len(row.GoneMS))
	return r.store.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: key, Revision: revision}}, Writes: []table.Write{{Key: key, Value: value}},
	})
}

func newSoftwareRow(history origin.History, storeTime storeClock) softwareRow {
	row := softwareRow{SinceMS: storeTime.toStore(history.Since), Present: history.Present, GoneMS: make(map[ident.Software]int64)}
	for version, at := range history.Gone {
		row.GoneMS[version] = storeTime.toStore(at)
	}
	return row
}

// history returns the history that a row holds.
func (s softwareRow) history(storeTime storeClock, now clock.Reading) origin.History {
	history := origin.History{
		Since: storeTime.toLocal(s.SinceMS, now), Present: s.Present, Gone: make(map[ident.Software]clock.Reading),
	}
	for version, at := range s.GoneMS {
		history.Gone[version] = storeTime.toLocal(at, now)
	}
	return history
}

// versions returns all versions that the row holds.
func (s softwareRow) versions() []ident.Software {
	return slices.AppendSeq(slices.Clone(s.Present), maps.Keys(s.GoneMS))
}

// covers reports whether the row needs no change to say what another does. It may hold further versions that are gone, or later times of them.
func (s softwareRow) covers(other softwareRow) bool {
	tolerance := softwareTolerance.Milliseconds()
	if !slices.Equal(s.Present, other.Present) || s.SinceMS > other.SinceMS+tolerance {
		return false
	}
	for version, at := range other.GoneMS {
		if known, found := s.GoneMS[version]; !found || known < at-tolerance {
			return false
		}
	}
	return true
}
