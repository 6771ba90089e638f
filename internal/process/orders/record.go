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

// prefix is where the records of failure domains are kept.
const prefix table.Key = "orders/"

// DesiredAction asks for an endpoint to be started or stopped.
type DesiredAction struct {
	Action   platform.Action `json:"action"`
	Pool     ident.Pool      `json:"pool"`
	Endpoint ident.Endpoint  `json:"endpoint"`
}

// Intent is an order that was decided and is not yet known to be carried out.
type Intent struct {
	// ID is the order's, the same for every sending.
	ID string `json:"id"`
	DesiredAction
}

// Record is what is known of the orders to one failure domain.
type Record struct {
	// LastNumber numbers intents; it only goes up.
	LastNumber int64 `json:"last"`
	// Intents are in the order in which they are sent.
	Intents []Intent `json:"intents,omitempty"`
	// Stopped are the endpoints whose last order carried out was to stop, sorted.
	Stopped []ident.Endpoint `json:"stopped,omitempty"`
	// revision is the row's as read, 0 where it is absent.
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

// IsStopped reports whether the endpoint's last order carried out was to stop.
func (r Record) IsStopped(endpoint ident.Endpoint) bool {
	_, found := slices.BinarySearch(r.Stopped, endpoint)
	return found
}

// with returns the record with an intent for each want; r itself is unchanged.
func (r Record) with(domain ident.FailureDomain, wants []DesiredAction) Record {
	r.Intents = slices.Clone(r.Intents)
	for _, want := range wants {
		r.LastNumber++
		r.Intents = append(r.Intents, Intent{ID: fmt.Sprintf("%s.%d", domain, r.LastNumber), DesiredAction: want})
	}
	return r
}

// without returns the record after its first count intents were carried out; r itself is unchanged.
func (r Record) without(count int) Record {
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

// load reads a domain's record.
func load(ctx context.Context, rows table.Table, domain ident.FailureDomain) (Record, error) {
	read, err := rows.Read(ctx, key(domain))
	if err != nil {
		return Record{}, err
	}
	var record Record
	if read[0].Revision != 0 {
		if err := json.Unmarshal(read[0].Value, &record); err != nil {
			return Record{}, oops.Wrapf(err, "decode %s", read[0].Key)
		}
	}
	record.revision = read[0].Revision
	return record, record.Check()
}

// store writes a domain's record if it is unchanged and the lease is still the holder's.
func store(ctx context.Context, rows table.Table, domain ident.FailureDomain, record Record, held table.Check) error {
	body, err := json.Marshal(record)
	if err != nil {
		return oops.Wrapf(err, "encode record")
	}
	return rows.Commit(ctx, table.Transaction{
		Checks: []table.Check{held, {Key: key(domain), Revision: record.revision}},
		Writes: []table.Write{{Key: key(domain), Value: body}},
	})
}
