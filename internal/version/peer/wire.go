// Package peer lets entries tell one another what they hold of the configuration.
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

// Path is where an entry's inter-process listener takes questions.
const Path = "/peer"

// maxMessage is the greatest size of a question or an answer, in bytes; a whole configuration fits in.
const maxMessage = 32 << 20

// Query asks a peer what it holds, and tells what the asker holds.
type Query struct {
	Process ident.Process       `cbor:"1,keyasint"`
	Address string              `cbor:"2,keyasint"`
	Domain  ident.FailureDomain `cbor:"3,keyasint"`
	// Version is in force at the asker.
	Version ident.Version `cbor:"4,keyasint"`
	// Records are consecutive versions that the peer may lack.
	Records []store.Record `cbor:"5,keyasint,omitempty"`
	Time    event.Time     `cbor:"6,keyasint"`
}

// Check returns an error where a field breaks its invariant.
func (q *Query) Check() error {
	if q.Address == "" {
		return oops.Errorf("question.address: found nothing, want host:port")
	}
	if err := ident.Check("question.process", q.Process); err != nil {
		return err
	}
	return checkVersions(q.Version, q.Records)
}

// Response says what a peer holds.
type Response struct {
	Process ident.Process `cbor:"1,keyasint"`
	// Version is in force at the peer.
	Version ident.Version `cbor:"2,keyasint"`
	// TableAgeMS and DomainMS are the ages of the peer's evidence, in milliseconds; negative means never.
	TableAgeMS  int64 `cbor:"3,keyasint"`
	DomainAgeMS int64 `cbor:"4,keyasint"`
	// Records are the consecutive versions after the asker's.
	Records []store.Record `cbor:"5,keyasint,omitempty"`
	// Configuration is the configuration where the records no longer reach back to the asker's version.
	Configuration *configuration.Configuration `cbor:"6,keyasint,omitempty"`
	Time          event.Time                   `cbor:"7,keyasint"`
}

// Check returns an error where a field breaks its invariant.
func (a *Response) Check() error { return checkVersions(a.Version, a.Records) }

// Evidence returns the peer's evidence.
func (a *Response) Evidence() freshness.Evidence {
	return freshness.Evidence{
		Table: time.Duration(a.TableAgeMS) * time.Millisecond, Domain: time.Duration(a.DomainAgeMS) * time.Millisecond,
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

// decoding bounds what a peer can make a process build.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
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

// message is a wire type that checks itself.
type message[T any] interface {
	*T
	Check() error
}

// decode returns a checked message.
func decode[T any, P message[T]](body []byte) (*T, error) {
	value := new(T)
	if err := decoding.Unmarshal(body, value); err != nil {
		return nil, oops.Wrapf(err, "decode peer message")
	}
	return value, P(value).Check()
}
