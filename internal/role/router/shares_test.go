package router

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/process/journal"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
)

// TestCustomerUseFromPeers guards against reports that are lost on the wire, ones with impossible sums that count, and services that peers create
// without bound.
func TestCustomerUseFromPeers(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	r := &Router{
		configuration: &routes.Current{}, shares: newPerService(func(ident.Pool) *fairshare.Controller { return fairshare.New() }), journal: journal.New(journal.Config{Out: &log}),
	}
	now := time.Now()
	sender := fairshare.New()
	sender.Admit(now, fairshare.Request{Customer: "school", Work: 100})
	datagram, err := cbor.Marshal(message{CustomerUse: fairshare.Collect(now, map[ident.Pool]*fairshare.Controller{"engines": sender})})
	is.NoErr(err)
	var received message
	is.NoErr(cbor.Unmarshal(datagram, &received))
	is.Equal(received.CustomerUse["engines"].Customers[0].Asked, []uint64{100})
	r.mergeCustomerUse(now, "peer", received.CustomerUse)
	is.Equal(len(r.shares.all()), 1)
	r.mergeCustomerUse(now, "liar", fairshare.Reports{"other": {Outstanding: 1 << 60}})
	is.Equal(len(r.shares.all()), 1)
	for service := range 200 {
		r.mergeCustomerUse(now, "peer", fairshare.Reports{ident.Pool(strings.Repeat("s", service)): {}})
	}
	is.Equal(len(r.shares.all()), maxSharedServices)
	r.journal.Close(time.Second)
	is.True(strings.Contains(log.String(), "event=peer_report_refused peer=liar"))
}
