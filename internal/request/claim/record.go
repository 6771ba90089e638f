// Package claim ensures that requests with the same idempotency key run at most once across all entries.
//
// Before an entry, a process that accepts callers' requests, sends a request, it acquires the claim of the request's key: a row
// in the table service. The owner of the claim sends the request and records the outcome in the row. A repeated request finds
// the row and gets the stored response or a refusal.
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

// Prefix is the prefix of the keys of claims in the table.
const Prefix table.Key = "claim/"

// Retention is how long a claim is kept, and so how long a repeated request is recognized.
const Retention = 24 * time.Hour

// MaxStoredBody is the maximum size of a response body that is stored with a claim, in bytes.
const MaxStoredBody = 64 << 10

// MaxKeyLength is the maximum length of an idempotency key, in bytes.
const MaxKeyLength = 255

// State is the state of a claim.
type State string

// States of a claim.
const (
	// StateSent means that the owner may send the request or has sent it.
	StateSent State = "sent"
	// StateDone means that the request ran and its response is stored.
	StateDone State = "done"
	// StateUnknown means that it is not known whether the request ran.
	StateUnknown State = "unknown"
	// StateReleased means that the request did not run and never will under this claim; another request may use the key.
	StateReleased State = "released"
)

// Response is the stored response of the endpoint.
type Response struct {
	Status int           `json:"status"`
	Header []link.Header `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	// BodyDropped is set if the body was too large to be stored.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Record is a claim as stored in the table.
type Record struct {
	State State `json:"state"`
	// Request is the id of the only request that may run under the claim.
	Request ident.Request `json:"request"`
	// RequestDigest is the digest of the request's class, method, path, query and body.
	RequestDigest string `json:"body"`
	// LeaseMS is the time after the acquisition in which the owner is expected to record the outcome, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// ExpiresUnix is the time after which the claim may be deleted, in Unix seconds.
	ExpiresUnix int64 `json:"expires_unix"`
	// Response is set if and only if the state is done.
	Response *Response `json:"answer,omitempty"`
}

// Check returns an error if the record is not valid.
func (r Record) Check() error {
	switch r.State {
	case StateSent, StateDone, StateUnknown, StateReleased:
	default:
		return oops.Errorf("claim.state: got %q, want sent, done, unknown or released", r.State)
	}
	if r.Request == "" {
		return oops.Errorf("claim.request: empty, want a request id")
	}
	if (r.Response != nil) != (r.State == StateDone) {
		return oops.Errorf("claim.answer: wrong in state %q, want it set in state done and in no other", r.State)
	}
	return nil
}

// Key returns the table key of the claim for a customer's idempotency key.
//
// It starts with two digits of a hash, so that the rows are distributed evenly over the key space.
func Key(customer ident.Customer, idempotencyKey string) table.Key {
	sum := sha256.Sum256([]byte(string(customer) + "\x00" + idempotencyKey))
	digest := hex.EncodeToString(sum[:])
	return Prefix + table.Key(fmt.Sprintf("%s/%s/%s", digest[:2], customer, digest[2:34]))
}

// RequestDigest returns the digest by which a repeated request is compared with the first one that used the key.
func RequestDigest(open *link.Open) string {
	hash := sha256.New()
	for _, part := range []string{string(open.Class), open.Method, open.Path, open.Query} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(open.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// encode returns a record as the value of a row.
func encode(record Record) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // All fields of a record can be encoded as JSON.
	}
	return value
}

// decode returns the record in the value of a row, or an error if it is not valid.
func decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, oops.Wrapf(err, "decode claim")
	}
	return record, record.Check()
}

// writeTransaction returns the transaction that writes a record if the row still has the given revision.
func writeTransaction(key table.Key, revision table.Revision, record Record) table.Transaction {
	return table.Transaction{
		Checks: []table.Check{{Key: key, Revision: revision}},
		Writes: []table.Write{{Key: key, Value: encode(record)}},
	}
}
