// Package claim makes requests with an idempotency key run at most once over all entries.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Prefix is where claims stand in the table.
const Prefix table.Key = "claim/"

// Retention is how long a claim is kept and a repeat is recognized.
const Retention = 24 * time.Hour

// MaxStoredBody is the greatest size of an answer's body that is kept, in bytes.
const MaxStoredBody = 64 << 10

// MaxKeyLength is the greatest length of an idempotency key, in bytes.
const MaxKeyLength = 255

// State is how far a claimed request has come.
type State string

// States of a claim.
const (
	// StateSent says that the owner may send the request, or has sent it.
	StateSent State = "sent"
	// StateDone says that the request ran and its answer is kept.
	StateDone State = "done"
	// StateUnknown says that the request may have run and nobody knows.
	StateUnknown State = "unknown"
	// StateReleased says that the request did not run and never will under this claim; the key is free.
	StateReleased State = "released"
)

// Response is what the endpoint answered.
type Response struct {
	Status int           `json:"status"`
	Header []link.Header `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// BodyDropped says that the body was too large to be kept.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Record is a claim as the table keeps it.
type Record struct {
	State State `json:"state"`
	// Request is the one request that may run under the claim.
	Request ident.Request `json:"request"`
	// RequestDigest is the digest of the request's class, method, path, query and body.
	RequestDigest string `json:"body"`
	// LeaseMS is how long after the claim the owner may still record an outcome, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// ExpiresUnix is when the claim may be forgotten, in Unix seconds.
	ExpiresUnix int64 `json:"expires_unix"`
	// Response is set exactly if the state is done.
	Response *Response `json:"answer,omitempty"`
}

// Check returns an error where a field breaks its invariant.
func (r Record) Check() error {
	switch r.State {
	case StateSent, StateDone, StateUnknown, StateReleased:
	default:
		return oops.Errorf("claim.state: found %q, want sent, done, unknown or released", r.State)
	}
	if r.Request == "" {
		return oops.Errorf("claim.request: found nothing, want a request id")
	}
	if (r.Response != nil) != (r.State == StateDone) {
		return oops.Errorf("claim.answer: found it in state %q, want it exactly in state done", r.State)
	}
	return nil
}

// Key returns the row of a customer's idempotency key; the first part spreads the rows evenly.
func Key(customer ident.Customer, idempotencyKey string) table.Key {
	sum := sha256.Sum256([]byte(string(customer) + "\x00" + idempotencyKey))
	digest := hex.EncodeToString(sum[:])
	return Prefix + table.Key(fmt.Sprintf("%s/%s/%s", digest[:2], customer, digest[2:34]))
}

// RequestDigest returns the digest that binds a key to one request.
func RequestDigest(open *link.Open) string {
	hash := sha256.New()
	for _, part := range []string{string(open.Class), open.Method, open.Path, open.Query} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(open.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// encode returns the row's value.
func encode(record Record) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // A record holds nothing that JSON cannot express.
	}
	return value
}

// decode reads a row's value.
func decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, oops.Wrapf(err, "decode claim")
	}
	return record, record.Check()
}

// write returns the transaction that puts a record in place of one revision of the row.
func write(key table.Key, revision table.Revision, record Record) table.Transaction {
	return table.Transaction{
		Checks: []table.Check{{Key: key, Revision: revision}},
		Writes: []table.Write{{Key: key, Value: encode(record)}},
	}
}
