package router

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/follow"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

const (
	// quarantineTable holds the verdicts on prompt parts, for instances that start and for those that hear no gossip.
	quarantineTable = "quarantine"
	// verdictRetention is how long a verdict is kept in the store after it was written.
	verdictRetention = 24 * time.Hour
	// maxPendingVerdicts bounds the verdicts that wait to be written.
	maxPendingVerdicts = 256
)

// verdictRow is a verdict in the store.
type verdictRow struct {
	quarantine.Verdict
	// EndsUnixMS is when the row may be deleted, in Unix milliseconds of the agreed time.
	EndsUnixMS int64 `json:"ends_unix_ms"`
}

func verdictKey(part quarantine.Part) table.Key {
	return table.Key(quarantineTable + "/" + strconv.FormatUint(uint64(part), 16))
}

// recordQuarantine logs and counts a change, and has verdicts of this instance written to the store.
func (r *Router) recordQuarantine(event quarantine.Event) {
	r.metrics.quarantineEvents.WithLabelValues(event.Name).Inc()
	r.journal.Log(event.Name, "part", strconv.FormatUint(uint64(event.Part), 16), "quarantined", event.Quarantined,
		"sequence", event.Sequence, "trials", event.Trials, "crashes", event.Crashes, "server", event.Server.ID, "from_peer", event.FromPeer)
	if event.FromPeer || event.Sequence == 0 {
		return
	}
	switch event.Name {
	case "part_quarantined", "part_trial", "part_cleared":
		r.enqueueVerdict(event.Verdict)
	}
}

// enqueueVerdict has a verdict written to the store. If too many wait, it is left to gossip.
func (r *Router) enqueueVerdict(verdict quarantine.Verdict) {
	select {
	case r.pendingVerdicts <- verdict:
	default:
		r.journal.Log("verdict_not_stored", "part", strconv.FormatUint(uint64(verdict.Part), 16), "waiting", maxPendingVerdicts)
	}
}

// storeVerdicts writes verdicts to the store until the context is done. It retries a failed write until the store responds.
func (r *Router) storeVerdicts(ctx context.Context) {
	for {
		select {
		case verdict := <-r.pendingVerdicts:
			for ctx.Err() == nil && !r.storeVerdict(ctx, verdict) {
				clock.Sleep(ctx, storeTimeout, r.health.storeRecovered())
			}
		case <-ctx.Done():
			return
		}
	}
}

// storeVerdict writes a verdict unless the store holds a newer one, and reports whether that is done.
func (r *Router) storeVerdict(ctx context.Context, verdict quarantine.Verdict) bool {
	key := verdictKey(verdict.Part)
	rows, err := r.store.Read(ctx, key)
	if err == nil && rows[0].Revision != 0 {
		if stored, decodeErr := decodeVerdict(rows[0].Value); decodeErr == nil && !verdict.IsNewerThan(stored.Verdict) {
			return true
		}
	}
	if err == nil {
		var value []byte
		if value, err = json.Marshal(verdictRow{
			Verdict: verdict, EndsUnixMS: r.peers.AgreedTime().Add(verdictRetention).UnixMilli(),
		}); err == nil {
			err = r.store.Commit(ctx, table.Transaction{
				Checks: []table.Check{{Key: key, Revision: rows[0].Revision}}, Writes: []table.Write{{Key: key, Value: value}},
			})
		}
	}
	if err != nil {
		r.journal.Log("verdict_unwritten", "part", strconv.FormatUint(uint64(verdict.Part), 16), "err", err)
	}
	return err == nil
}

func decodeVerdict(value []byte) (verdictRow, error) {
	var row verdictRow
	if err := json.Unmarshal(value, &row); err != nil {
		return verdictRow{}, oops.Wrapf(err, "verdict on a prompt part")
	}
	return row, row.Check()
}

// applyVerdicts applies verdicts from the store, and deletes rows that have ended from a complete list.
func (r *Router) applyVerdicts(update follow.Update) {
	now, ended := time.Now(), []table.Write(nil)
	for _, change := range update.Changes {
		if change.Deleted {
			continue
		}
		row, err := decodeVerdict(change.Value)
		if err != nil {
			r.journal.Log("verdict_unreadable", "key", change.Key, "err", err)
			continue
		}
		if update.Snapshot && row.EndsUnixMS < r.peers.AgreedTime().UnixMilli() {
			ended = append(ended, table.Write{Key: change.Key, Delete: true})
			continue
		}
		r.quarantine.MergeVerdict(now, row.Verdict)
	}
	if len(ended) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.store.Commit(ctx, table.Transaction{Writes: ended[:min(len(ended), maxPendingVerdicts/4)]}); err != nil {
		r.journal.Log("ended_verdicts_not_removed", "rows", len(ended), "err", err)
	}
}

// rewriteVerdicts writes the known quarantines again after the store came back from an older copy.
func (r *Router) rewriteVerdicts() {
	for _, verdict := range r.quarantine.Verdicts() {
		r.enqueueVerdict(verdict)
	}
}

// ownsTrials reports whether this instance makes the trials of a prompt part: the instance with the highest rendezvous hash does.
func (r *Router) ownsTrials(part quarantine.Part) bool {
	own := trialRank(part, r.incarnation)
	for _, peer := range r.peers.Peers() {
		if trialRank(part, peer.Incarnation) > own {
			return false
		}
	}
	return true
}

func trialRank(part quarantine.Part, incarnation ident.Incarnation) uint64 {
	var key strings.Builder
	key.WriteString(strconv.FormatUint(uint64(part), 16))
	key.WriteByte('/')
	key.WriteString(string(incarnation))
	return xxhash.Sum64String(key.String())
}
