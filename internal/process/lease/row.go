package lease

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// prefix is the key prefix of the rows of leases.
const prefix table.Key = "lease/"

// Holder is the row that names the holder. It changes only when the lease is acquired or released, and is never deleted, so that
// Fence only increases.
type Holder struct {
	Process     ident.Process     `json:"process"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Fence       ident.Fence       `json:"fence"`
	// TermMS is the holder's term in milliseconds, for processes that are configured with another term.
	TermMS int64 `json:"term_ms"`
	// Released says that the holder has released the lease and no longer acts under it.
	Released bool `json:"released,omitempty"`
}

// Check returns an error where a field breaks its invariant.
func (h Holder) Check() error {
	if h.Fence < 1 {
		return oops.Errorf("holder.fence: found %d, want at least 1", h.Fence)
	}
	if h.TermMS < 1 {
		return oops.Errorf("holder.term_ms: found %d, want at least 1", h.TermMS)
	}
	return nil
}

// Heartbeat is the row that each acquisition, renewal and release changes.
type Heartbeat struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// Round numbers the attempts of one incarnation.
	Round int64 `json:"round"`
}

// Rows are both rows of a lease, read from one consistent state.
type Rows struct {
	Holder    Holder
	Heartbeat Heartbeat
	// HolderRevision is 0 exactly if the lease was never acquired.
	HolderRevision    table.Revision
	HeartbeatRevision table.Revision
	// Era is the table's era in which the rows were read.
	Era table.Era
}

// fenceEraBits is the number of low bits of a fencing number that count the acquisitions of one era. At one acquisition each three
// seconds they last for more than a year.
const fenceEraBits = 24

// fenceFloor returns a number that is below all fencing numbers of an era and not below those of earlier eras.
func fenceFloor(era table.Era) ident.Fence { return ident.Fence(era) << fenceEraBits }

// outdated reports whether the holder acquired the lease in an earlier era. A later acquisition may then have been lost, so the rows
// grant nothing.
func (r Rows) outdated() bool { return r.Holder.Fence <= fenceFloor(r.Era) && r.Era > 0 }

// HolderKey returns the key of a lease's holder row.
func HolderKey(name string) table.Key { return prefix + table.Key(name) + "/holder" }

// HeartbeatKey returns the key of a lease's heartbeat row.
func HeartbeatKey(name string) table.Key { return prefix + table.Key(name) + "/heartbeat" }

// decodeRows decodes the rows of a lease; rows holds the holder row, then the heartbeat row.
func decodeRows(rows []table.Row) (Rows, error) {
	const rowCount = 2
	if len(rows) != rowCount {
		return Rows{}, oops.Errorf("lease: found %d rows, want %d", len(rows), rowCount)
	}
	decoded := Rows{HolderRevision: rows[0].Revision, HeartbeatRevision: rows[1].Revision, Era: rows[0].Era}
	if decoded.HolderRevision == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(rows[0].Value, &decoded.Holder); err != nil {
		return Rows{}, oops.Wrapf(err, "decode %s", rows[0].Key)
	}
	if err := decoded.Holder.Check(); err != nil {
		return Rows{}, oops.Wrapf(err, "decode %s", rows[0].Key)
	}
	if err := json.Unmarshal(rows[1].Value, &decoded.Heartbeat); err != nil {
		return Rows{}, oops.Wrapf(err, "decode %s", rows[1].Key)
	}
	return decoded, nil
}

func milliseconds(term time.Duration) int64 { return max(term.Milliseconds(), 1) }
