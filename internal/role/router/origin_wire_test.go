package router

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/process/origin"
	"vanillapond/pkg/ident"
)

// earlierOrigin, earlierAnswer and earlierMessage are what instances told each other of streams before they handed them over.
type earlierOrigin struct {
	Stream   ident.Request  `cbor:"1,keyasint"`
	Service  ident.Pool     `cbor:"2,keyasint"`
	Software ident.Software `cbor:"3,keyasint"`
}

type earlierAnswer struct {
	earlierOrigin `cbor:"1,keyasint"`
	Knowledge     int `cbor:"2,keyasint,omitempty"`
}

type earlierMessage struct {
	Began     []earlierOrigin `cbor:"1,keyasint,omitempty"`
	Questions []earlierOrigin `cbor:"2,keyasint,omitempty"`
	Answers   []earlierAnswer `cbor:"3,keyasint,omitempty"`
}

// TestEarlierVersionReadsOrigins guards against an upgrade in which routers of two versions do not understand each other's messages about streams.
func TestEarlierVersionReadsOrigins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	began := origin.Origin{Stream: "x", Service: "s", Software: "v1", AgeMS: 7}
	datagram, err := cbor.Marshal(originMessage{
		Began: []origin.Origin{began}, Questions: []origin.Origin{{Stream: "y", Service: "s"}},
		Answers:      []origin.Answer{{Origin: began, Knowledge: origin.Known}},
		PageQuestion: &origin.PageQuestion{From: "a", To: "b", Position: 3}, Page: &origin.Page{From: "a", Streams: []origin.Origin{began}},
	})
	is.NoErr(err)
	var earlier earlierMessage
	is.NoErr(cbor.Unmarshal(datagram, &earlier))
	told := earlierOrigin{Stream: "x", Service: "s", Software: "v1"}
	is.Equal(earlier, earlierMessage{
		Began: []earlierOrigin{told}, Questions: []earlierOrigin{{Stream: "y", Service: "s"}}, Answers: []earlierAnswer{{told, 1}},
	})
	datagram, err = cbor.Marshal(earlier)
	is.NoErr(err)
	var received originMessage
	is.NoErr(cbor.Unmarshal(datagram, &received))
	is.NoErr(received.Check())
	began.AgeMS = 0
	is.Equal(received.Began, []origin.Origin{began})
	is.Equal(received.Answers, []origin.Answer{{Origin: began, Knowledge: origin.Known}})
	is.True(received.Page == nil && received.PageQuestion == nil)
	for _, wrong := range []originMessage{
		{Began: []origin.Origin{{Stream: "x", AgeMS: -1}}},
		{Page: &origin.Page{Position: 2, Next: 1}},
		{Page: &origin.Page{Streams: make([]origin.Origin, origin.MaxBatch+1)}},
		{Page: &origin.Page{Streams: []origin.Origin{{Service: "s"}}}},
	} {
		is.True(wrong.Check() != nil)
	}
}
