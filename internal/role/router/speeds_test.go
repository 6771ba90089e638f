package router

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/process/journal"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

// speedRouter returns a router with a load-aware service of this many servers that have all been measured.
func speedRouter(log *bytes.Buffer, servers int) *Router {
	r := &Router{
		journal:   journal.New(journal.Config{Out: log}),
		balancers: newPerService(func(ident.Pool) *placement.Balancer { return placement.New(1) }),
	}
	balancer := r.balancers.get("s")
	balancer.Configure(placement.Settings{LoadAware: true, TokensPerEvent: 5})
	candidates := make([]placement.Candidate, servers)
	for index := range candidates {
		candidates[index] = placement.Candidate{
			ServerStart: ident.ServerStart{ID: ident.Endpoint(fmt.Sprintf("i-%010x", index)), StartedUnixMS: 1_784_000_000_000}, Slots: 64,
		}
	}
	balancer.Update(placement.Generation{Servers: 1}, func() []placement.Candidate { return candidates })
	now := time.Now()
	for _, candidate := range candidates {
		for took := range 40 {
			query := placement.Query{Engine: true, Prompt: 1000}
			attempt := balancer.StartAttempt(now, query, placement.Choice{Server: candidate.ID})
			attempt.ReportLoad(now, placement.ReportedLoad{Slots: 64, WorkPercent: 250})
			attempt.FirstEvent(now.Add(time.Duration(1+took*took) * time.Millisecond))
			attempt.End(now, placement.Succeeded)
		}
	}
	return r
}

// TestSpeedReportsFit guards against gossip messages that are too long to be sent because of the speeds, and against lost figures on the way.
func TestSpeedReportsFit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var log bytes.Buffer
	r := speedRouter(&log, 300)
	sent := message{Process: "p", Speeds: r.speedReports(time.Now())}
	is.Equal(len(sent.Speeds["s"].Servers), maxSpeedServers)
	datagram := r.encode(sent)
	is.True(len(datagram) > 0 && len(datagram) <= maxMessageBytes/2)
	received := speedRouter(&log, 1)
	(&gossip{router: received}).mergeSpeeds(time.Now(), sent)
	r.journal.Close(time.Second)
	received.journal.Close(time.Second)
	is.Equal(log.String(), "")
}

// TestLossesFit guards against gossip messages that are too long to be sent because of the losses after crashes of several servers.
func TestLossesFit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var log bytes.Buffer
	r := speedRouter(&log, 300)
	now := time.Now()
	suspects := forward.NewSuspectList(forward.SuspectConfig{})
	for digest := range uint64(1000) {
		for server := range 3 {
			suspects.RecordLoss(now, 1<<60+digest, forward.Crash{
				Server:   ident.ServerStart{ID: ident.Endpoint(fmt.Sprintf("i-%020d", server)), StartedUnixMS: 1_784_000_000_000},
				OpenedAt: now.Add(-time.Second), BrokenAt: now,
			})
		}
	}
	losses := append(suspects.Recent(now), suspects.BlockedLosses(now)...)
	sent := message{Process: "p", Speeds: r.speedReports(now), Losses: losses}
	whole, err := cbor.Marshal(sent)
	is.NoErr(err)
	is.True(len(whole) > maxMessageBytes) // Otherwise there is nothing to leave out.
	var received message
	is.NoErr(cbor.Unmarshal(r.encode(sent), &received))
	is.Equal(len(received.Speeds["s"].Servers), maxSpeedServers)
	is.True(len(received.Losses) > 0)
	is.Equal(received.Losses[len(received.Losses)-1], losses[len(losses)-1])
	r.journal.Close(time.Second)
	is.Equal(log.String(), "")
}

// TestInvalidSpeedReportIsRefused guards against reports out of range that reach the model.
func TestInvalidSpeedReportIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var log bytes.Buffer
	r := speedRouter(&log, 1)
	(&gossip{router: r}).mergeSpeeds(time.Now(), message{Process: "p", Speeds: map[ident.Pool]servermodel.Report{"s": {}}})
	r.journal.Close(time.Second)
	is.True(strings.Contains(log.String(), "peer_report_refused"))
}
