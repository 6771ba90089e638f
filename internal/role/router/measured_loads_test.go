package router

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"vanillapond/internal/process/journal"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// TestMeasuredLoadsInDatagram guards against datagrams that outgrow their limit, and against peers that lose the figures of a service: those of two load-aware
// services pass through a datagram, a service that is not load-aware adds nothing, and a report that no instance sends is refused alone.
func TestMeasuredLoadsInDatagram(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	sender, receiver := newMeasuredRouter(), newMeasuredRouter()
	report := placement.LoadReport{OrdinaryPerSecond: 7}
	for index := range placement.MaxMeasurements {
		report.Measurements = append(report.Measurements, placement.Measurement{Server: serverName(index), Active: index})
	}
	for _, service := range []ident.Pool{"first", "second"} {
		sender.balancers.get(service).Merge(now, "third", report)
	}
	outgoing := message{Process: "sender", Measured: sender.measuredLoads(now)}
	is.Equal(len(outgoing.Measured), 2)
	datagram, err := cbor.Marshal(outgoing)
	is.NoErr(err)
	is.True(len(datagram) < maxMessageBytes/8)
	var received message
	is.NoErr(cbor.Unmarshal(datagram, &received))
	received.Measured["other"] = placement.LoadReport{OrdinaryPerSecond: math.NaN()}
	var log bytes.Buffer
	receiver.journal = journal.New(journal.Config{Out: &log})
	(&gossip{router: receiver}).mergeMeasured(now, received)
	for _, service := range []ident.Pool{"first", "second"} {
		passedOn, _ := receiver.balancers.get(service).Report(now, placement.MaxMeasurements)
		is.Equal(len(passedOn.Measurements), placement.MaxMeasurements/2)
	}
	receiver.journal.Close(time.Second)
	is.True(bytes.Contains(log.Bytes(), []byte("peer_report_refused")))
}

func serverName(index int) ident.Endpoint { return ident.Endpoint(fmt.Sprint("server-", index)) }

// newMeasuredRouter returns a router with two load-aware services of many servers, and one that is not load-aware.
func newMeasuredRouter() *Router {
	router := &Router{balancers: newPerService(func(ident.Pool) *placement.Balancer { return placement.New(1) })}
	for _, service := range []ident.Pool{"first", "second", "other"} {
		balancer := router.balancers.get(service)
		balancer.Configure(placement.Settings{LoadAware: service != "other"})
		balancer.Update(placement.Generation{Servers: 1}, func() []placement.Candidate {
			var list []placement.Candidate
			for index := range placement.MaxMeasurements {
				list = append(list, placement.Candidate{ServerStart: ident.ServerStart{ID: serverName(index)}, Slots: 8})
			}
			return list
		})
	}
	return router
}

// TestBalanceMetrics guards against samples that are not counted by service.
func TestBalanceMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := newBalanceMetrics(registry)
	m.observe("chat", placement.Balance{})
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 0)
	m.observe("chat", placement.Balance{Sampled: true, Imbalance: 1.4, OverloadedBesideIdle: true})
	families, err = registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 2)
	is.Equal(families[0].GetMetric()[0].GetHistogram().GetSampleSum(), 1.4)
	is.Equal(families[1].GetMetric()[0].GetCounter().GetValue(), 1.0)
}
