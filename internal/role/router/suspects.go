package router

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
	"vanillapond/internal/request/forward"
	"vanillapond/pkg/ident"
)

const (
	// suspectsTable holds the requests that crashed servers and are blocked, for instances that start when none is left that knows them.
	suspectsTable = "suspects"
	// maxPendingSuspects bounds the blocked requests that wait to be written.
	maxPendingSuspects = 64
	// maxSuspectServers bounds the servers in a row.
	maxSuspectServers = 16
)

// suspectRow is a blocked request in the store; its key holds the digest.
type suspectRow struct {
	// Servers are those that were lost while they ran the request, one for each loss. Earlier versions read and write them alone.
	Servers []ident.Endpoint `json:"servers"`
	// Losses say more of the losses; they are as many as Servers, or none.
	Losses []suspectRowLoss `json:"losses,omitempty"`
	// EndsUnixMS is when the losses do not count any more, in Unix milliseconds of the agreed time.
	EndsUnixMS int64 `json:"ends_unix_ms"`
}

// suspectRowLoss is one loss of a server, in Unix milliseconds as in forward.Loss.
type suspectRowLoss struct {
	StartedUnixMS int64 `json:"started_unix_ms"`
	OpenedUnixMS  int64 `json:"opened_unix_ms"`
	BrokenUnixMS  int64 `json:"broken_unix_ms"`
}

// Check returns an error if a field is out of range.
func (s suspectRow) Check() error {
	if len(s.Servers) == 0 || len(s.Servers) > maxSuspectServers {
		return oops.Errorf("request that crashed servers: found %d servers, want 1 to %d", len(s.Servers), maxSuspectServers)
	}
	if len(s.Losses) != 0 && len(s.Losses) != len(s.Servers) {
		return oops.Errorf("request that crashed servers: found %d losses, want none or %d, as many as servers", len(s.Losses), len(s.Servers))
	}
	return nil
}

// newSuspectRow returns the row of a request that is blocked for these losses.
func newSuspectRow(losses []forward.Loss, endsUnixMS int64) suspectRow {
	row := suspectRow{EndsUnixMS: endsUnixMS}
	for _, loss := range losses {
		row.Servers = append(row.Servers, loss.Server)
		row.Losses = append(row.Losses, suspectRowLoss{loss.StartedUnixMS, loss.OpenedUnixMS, loss.BrokenUnixMS})
	}
	return row
}

// losses returns the losses of the request with this digest, which counts as a suspect for the remaining time in milliseconds.
func (s suspectRow) losses(digest uint64, remaining int64) []forward.Loss {
	losses := make([]forward.Loss, len(s.Servers))
	for index, server := range s.Servers {
		losses[index] = forward.Loss{Digest: digest, Server: server, AgeMS: forward.SuspectTTL.Milliseconds() - remaining}
		if len(s.Losses) > 0 {
			timed := s.Losses[index]
			losses[index].StartedUnixMS, losses[index].OpenedUnixMS, losses[index].BrokenUnixMS = timed.StartedUnixMS, timed.OpenedUnixMS, timed.BrokenUnixMS
		}
	}
	return losses
}

// recordSuspect logs and counts a change, and has a request that this instance saw to be blocked written to the store.
func (r *Router) recordSuspect(event forward.SuspectEvent) {
	r.metrics.suspectEvents.WithLabelValues(event.Name).Inc()
	r.journal.Log(event.Name, "digest", strconv.FormatUint(event.Digest, 16), "server", event.Server.ID,
		"started_unix_ms", event.Server.StartedUnixMS, "losses", event.Losses)
	if event.Name != forward.LossRecorded || !event.Blocked {
		return
	}
	select {
	case r.pendingSuspects <- event.Digest:
	default:
		r.journal.Log("suspect_not_stored", "digest", strconv.FormatUint(event.Digest, 16), "waiting", maxPendingSuspects)
	}
}

// keepSuspects reads the blocked requests of instances before this one, and writes those of its own until the context is done.
func (r *Router) keepSuspects(ctx context.Context) {
	r.untilDone(ctx, r.readSuspects)
	for {
		select {
		case digest := <-r.pendingSuspects:
			r.untilDone(ctx, func(ctx context.Context) error { return r.writeSuspect(ctx, digest) })
		case <-ctx.Done():
			return
		}
	}
}

// untilDone repeats a call to the store until it succeeds or the context is done.
func (r *Router) untilDone(ctx context.Context, call func(context.Context) error) {
	for err := call(ctx); err != nil && ctx.Err() == nil; err = call(ctx) {
		r.journal.Log("suspects_unsynced", "err", err)
		clock.Sleep(ctx, storeTimeout, r.health.storeRecovered())
	}
}

// readSuspects merges the rows, and deletes those that have ended.
func (r *Router) readSuspects(ctx context.Context) error {
	batch, err := r.store.List(ctx, suspectsTable)
	if err != nil {
		return err
	}
	now, agreed, ended := time.Now(), r.peers.AgreedTime().UnixMilli(), []table.Row(nil)
	for _, change := range batch.Changes {
		losses, err := decodeSuspect(change, agreed)
		if err != nil {
			r.journal.Log("suspect_unreadable", "key", change.Key, "err", err)
			continue
		}
		if len(losses) == 0 {
			ended = append(ended, change.Row)
		}
		r.suspects.Merge(now, losses)
	}
	if len(ended) == 0 {
		return nil
	}
	return r.store.Commit(ctx, table.Removal(ended))
}

// decodeSuspect returns the losses that a row holds, none if they do not count any more.
func decodeSuspect(change table.Change, agreedUnixMS int64) ([]forward.Loss, error) {
	digest, err := strconv.ParseUint(string(change.Key[len(suspectsTable)+1:]), 16, 64)
	if err != nil {
		return nil, oops.Wrapf(err, "digest of a request that crashed servers")
	}
	var row suspectRow
	if err := json.Unmarshal(change.Value, &row); err != nil {
		return nil, oops.Wrapf(err, "request that crashed servers")
	}
	if err := row.Check(); err != nil {
		return nil, err
	}
	remaining := min(row.EndsUnixMS-agreedUnixMS, forward.SuspectTTL.Milliseconds())
	if remaining <= 0 {
		return nil, nil
	}
	return row.losses(digest, remaining), nil
}

// writeSuspect writes a request while it is blocked, unless the row has changed meanwhile: the write may be performed late.
func (r *Router) writeSuspect(ctx context.Context, digest uint64) error {
	key := table.Key(suspectsTable + "/" + strconv.FormatUint(digest, 16))
	rows, err := r.store.Read(ctx, key)
	if err != nil {
		return err
	}
	losses := r.suspects.BlockedLossesOf(time.Now(), digest)
	if len(losses) == 0 {
		return nil
	}
	remaining := forward.SuspectTTL - time.Duration(losses[0].AgeMS)*time.Millisecond
	value, err := json.Marshal(newSuspectRow(losses, r.peers.AgreedTime().Add(remaining).UnixMilli()))
	if err != nil {
		return oops.Wrapf(err, "encode a request that crashed servers")
	}
	return r.store.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: key, Revision: rows[0].Revision}}, Writes: []table.Write{{Key: key, Value: value}},
	})
}
