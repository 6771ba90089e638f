// Package peer implements the exchange of configuration versions and evidence of freshness between entries.
package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/version/freshness"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Path is the HTTP path at which an entry's inter-process listener serves queries.
const Path = "/peer"

// maxMessage is the maximum size of a query or a response, in bytes; a complete configuration fits.
const maxMessage = 32 << 20

// Query asks a peer what it holds and reports what the sender holds.
type Query struct {
	Process ident.Process       `cbor:"1,keyasint"`
	Address string              `cbor:"2,keyasint"`
	Domain  ident.FailureDomain `cbor:"3,keyasint"`
	// Version is the version in force at the sender.
	Version ident.Version `cbor:"4,keyasint"`
	// Records are consecutive versions that the peer may lack.
	Records []store.Record `cbor:"5,keyasint,omitempty"`
	Time    event.Time     `cbor:"6,keyasint"`
}

// Check returns an error if a field is invalid.
func (q *Query) Check() error {
	if q.Address == "" {
		return oops.Errorf("question.address: found nothing, want host:port")
	}
	if err := ident.Check("question.process", q.Process); err != nil {
		return err
	}
	return checkVersions(q.Version, q.Records)
}

// Response reports what a peer holds.
type Response struct {
	Process ident.Process `cbor:"1,keyasint"`
	// Version is the version in force at the peer, or the last one of Records.
	Version ident.Version `cbor:"2,keyasint"`
	// TableAgeMS and DomainAgeMS are the ages of the peer's evidence, in milliseconds; negative means never.
	TableAgeMS  int64 `cbor:"3,keyasint"`
	DomainAgeMS int64 `cbor:"4,keyasint"`
	// Records are the consecutive versions after the one of the query.
	Records []store.Record `cbor:"5,keyasint,omitempty"`
	// Configuration is the complete configuration if the peer no longer keeps the records after the version of the
	// query.
	Configuration *configuration.Configuration `cbor:"6,keyasint,omitempty"`
	Time          event.Time                   `cbor:"7,keyasint"`
}

// Check returns an error if a field is invalid.
func (r *Response) Check() error { return checkVersions(r.Version, r.Records) }

// Evidence returns the peer's evidence.
func (r *Response) Evidence() freshness.Evidence {
	return freshness.Evidence{
		Table: time.Duration(r.TableAgeMS) * time.Millisecond, Domain: time.Duration(r.DomainAgeMS) * time.Millisecond,
	}
}

// milliseconds rounds an age up, so that it is never understated.
func milliseconds(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

func checkVersions(version ident.Version, records []store.Record) error {
	if version < 0 {
		return oops.Errorf("version: found %d, want 0 or more", version)
	}
	for index, record := range records {
		if record.Version < 1 || (index > 0 && record.Version != records[index-1].Version+1) {
			return oops.Errorf("records[%d]: found version %d, want consecutive ones from 1 on", index, record.Version)
		}
	}
	return nil
}

// decMode limits the resources that decoding a peer's message can use.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	const maxItems = 1 << 20
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 16, MaxArrayElements: maxItems, MaxMapPairs: 256,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// checkedMessage is a message type that can check its own fields.
type checkedMessage[T any] interface {
	*T
	Check() error
}

// decode decodes and checks a message.
func decode[T any, P checkedMessage[T]](body []byte) (*T, error) {
	value := new(T)
	if err := decMode.Unmarshal(body, value); err != nil {
		return nil, oops.Wrapf(err, "decode peer message")
	}
	return value, P(value).Check()
}
