package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/samber/oops"

	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// prefix is the key prefix of the records of failure domains.
const prefix table.Key = "orders/"

// DesiredAction is the start or stop of one endpoint.
type DesiredAction struct {
	Action   platform.Action `json:"action"`
	Pool     ident.Pool      `json:"pool"`
	Endpoint ident.Endpoint  `json:"endpoint"`
}

// Intent is an order that was decided on and is not yet known to be completed.
type Intent struct {
	// ID is the ID of the order, the same each time that it is sent.
	ID string `json:"id"`
	DesiredAction
}

// Record is the stored state of the orders of one failure domain.
type Record struct {
	// LastNumber is the number of the last intent; it only increases.
	LastNumber int64 `json:"last"`
	// Intents are listed in the order in which they are sent.
	Intents []Intent `json:"intents,omitempty"`
	// Stopped are the endpoints whose last completed order was a stop, sorted.
	Stopped []ident.Endpoint `json:"stopped,omitempty"`
	// revision is the revision of the row as read, 0 if the row is absent.
	revision table.Revision
}

// Check returns an error where a field breaks its invariant.
func (r Record) Check() error {
	if !slices.IsSorted(r.Stopped) {
		return oops.Errorf("record.stopped: found unsorted endpoints, want them sorted")
	}
	for _, intent := range r.Intents {
		if intent.Action != platform.ActionStart && intent.Action != platform.ActionStop {
			return oops.Errorf("record.intents.action: found %q, want start or stop", intent.Action)
		}
	}
	return nil
}

// IsStopped reports whether the last completed order of the endpoint was a stop.
func (r Record) IsStopped(endpoint ident.Endpoint) bool {
	_, found := slices.BinarySearch(r.Stopped, endpoint)
	return found
}

// withIntents returns the record with an intent for each action; r itself is unchanged.
func (r Record) withIntents(domain ident.FailureDomain, actions []DesiredAction) Record {
	r.Intents = slices.Clone(r.Intents)
	for _, action := range actions {
		r.LastNumber++
		r.Intents = append(r.Intents, Intent{ID: fmt.Sprintf("%s.%d", domain, r.LastNumber), DesiredAction: action})
	}
	return r
}

// withoutCompleted returns the record after its first count intents were completed; r itself is unchanged.
func (r Record) withoutCompleted(count int) Record {
	r.Stopped = slices.Clone(r.Stopped)
	for _, intent := range r.Intents[:count] {
		index, found := slices.BinarySearch(r.Stopped, intent.Endpoint)
		switch {
		case intent.Action == platform.ActionStop && !found:
			r.Stopped = slices.Insert(r.Stopped, index, intent.Endpoint)
		case intent.Action == platform.ActionStart && found:
			r.Stopped = slices.Delete(r.Stopped, index, index+1)
		}
	}
	r.Intents = slices.Clone(r.Intents[count:])
	return r
}

func key(domain ident.FailureDomain) table.Key { return prefix + table.Key(domain) }

// load reads the record of a failure domain.
func load(ctx context.Context, rows table.Table, domain ident.FailureDomain) (Record, error) {
	result, err := rows.Read(ctx, key(domain))
	if err != nil {
		return Record{}, err
	}
	var record Record
	if result[0].Revision != 0 {
		if err := json.Unmarshal(result[0].Value, &record); err != nil {
			return Record{}, oops.Wrapf(err, "decode %s", result[0].Key)
		}
	}
	record.revision = result[0].Revision
	return record, record.Check()
}

// store writes the record of a failure domain, if the row is unchanged and no other process has acquired the lease.
func store(ctx context.Context, rows table.Table, domain ident.FailureDomain, record Record, condition table.Check) error {
	body, err := json.Marshal(record)
	if err != nil {
		return oops.Wrapf(err, "encode record")
	}
	return rows.Commit(ctx, table.Transaction{
		Checks: []table.Check{condition, {Key: key(domain), Revision: record.revision}},
		Writes: []table.Write{{Key: key(domain), Value: body}},
	})
}
