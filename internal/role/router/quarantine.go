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
	// verdictRefreshInterval is the time between two writes of a verdict on a part with which requests still arrive.
	verdictRefreshInterval = quarantine.TTL / 4
	// maxPendingVerdicts bounds the verdicts that wait to be written.
	maxPendingVerdicts = 256
)

// verdictRow is a verdict in the store.
type verdictRow struct {
	quarantine.Verdict
	// EndsUnixMS is when the verdict ends if no further request with the part arrives, in Unix milliseconds of the agreed time.
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
		r.enqueueVerdict(quarantine.VerdictReport{Verdict: event.Verdict})
	}
}

// enqueueVerdict has a verdict written to the store. If too many wait, it is left to gossip.
func (r *Router) enqueueVerdict(report quarantine.VerdictReport) {
	select {
	case r.pendingVerdicts <- report:
	default:
		r.journal.Log("verdict_not_stored", "part", strconv.FormatUint(uint64(report.Verdict.Part), 16), "waiting", maxPendingVerdicts)
	}
}

// storeVerdicts writes verdicts to the store until the context is done. It retries a failed write until the store responds.
func (r *Router) storeVerdicts(ctx context.Context) {
	refresh := time.NewTicker(verdictRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case report := <-r.pendingVerdicts:
			ends := r.peers.AgreedTime().Add(quarantine.TTL - time.Duration(report.SeenMS)*time.Millisecond)
			for ctx.Err() == nil && !r.storeVerdict(ctx, verdictRow{report.Verdict, ends.UnixMilli()}) {
				clock.Sleep(ctx, storeTimeout, r.health.storeRecovered())
			}
		case <-refresh.C:
			for _, report := range r.quarantine.Verdicts(time.Now()) {
				if r.ownsTrials(report.Verdict.Part) {
					r.enqueueVerdict(report)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// storeVerdict writes a row unless the store holds a newer verdict, or the same one for about as long, and reports whether that is done.
func (r *Router) storeVerdict(ctx context.Context, row verdictRow) bool {
	key := verdictKey(row.Part)
	rows, err := r.store.Read(ctx, key)
	if err == nil && rows[0].Revision != 0 {
		stored, decodeErr := decodeVerdict(rows[0].Value)
		lasting := stored.EndsUnixMS > row.EndsUnixMS-verdictRefreshInterval.Milliseconds()/2
		if decodeErr == nil && (stored.IsNewerThan(row.Verdict) || stored.Verdict == row.Verdict && lasting) {
			return true
		}
	}
	if err == nil {
		var value []byte
		if value, err = json.Marshal(row); err == nil {
			err = r.store.Commit(ctx, table.Transaction{
				Checks: []table.Check{{Key: key, Revision: rows[0].Revision}}, Writes: []table.Write{{Key: key, Value: value}},
			})
		}
	}
	if err != nil {
		r.journal.Log("verdict_unwritten", "part", strconv.FormatUint(uint64(row.Part), 16), "err", err)
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
	now, ended := time.Now(), []table.Row(nil)
	for _, change := range update.Changes {
		if change.Deleted {
			continue
		}
		row, err := decodeVerdict(change.Value)
		if err != nil {
			r.journal.Log("verdict_unreadable", "key", change.Key, "err", err)
			continue
		}
		remaining := time.Duration(row.EndsUnixMS-r.peers.AgreedTime().UnixMilli()) * time.Millisecond
		if remaining <= 0 {
			if update.Snapshot {
				ended = append(ended, change.Row)
			}
			continue
		}
		r.quarantine.MergeVerdict(now, quarantine.VerdictReport{
			Verdict: row.Verdict, SeenMS: max(quarantine.TTL-remaining, 0).Milliseconds(),
		})
	}
	if len(ended) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.store.Commit(ctx, table.Removal(ended)); err != nil {
		r.journal.Log("ended_verdicts_not_removed", "rows", len(ended), "err", err)
	}
}

// rewriteVerdicts writes the known quarantines again after the store came back from an older copy.
func (r *Router) rewriteVerdicts() {
	for _, report := range r.quarantine.Verdicts(time.Now()) {
		r.enqueueVerdict(report)
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
