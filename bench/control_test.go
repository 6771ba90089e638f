package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// Times of the control measurements.
const (
	settleTime = 5 * time.Second
	idleTime   = 20 * time.Second
)

// reading is what an entry has used so far.
type reading struct {
	at        time.Time
	processor time.Duration
	tableIn   int64
	tableOut  int64
	posts     int64
	links     int64
}

func (r *rig) read() reading {
	now := reading{
		at: time.Now(), processor: processorTime(r.tb, r.entryProcess),
		tableIn: r.table.received.Load(), tableOut: r.table.sent.Load(), posts: r.table.posts.Load(),
	}
	for _, link := range r.links {
		now.links += link.sent.Load() + link.received.Load()
	}
	return now
}

// report gives what was used a second since before.
func (r *rig) report(b *testing.B, before reading) {
	now := r.read()
	seconds := now.at.Sub(before.at).Seconds()
	b.ReportMetric(float64((now.processor-before.processor).Microseconds())/seconds/10000, "core_%")
	b.ReportMetric(float64(now.tableIn+now.tableOut-before.tableIn-before.tableOut)/seconds, "platform_B/s")
	b.ReportMetric(float64(now.posts-before.posts)/seconds, "platform_posts/s")
	b.ReportMetric(float64(now.links-before.links)/seconds, "links_B/s")
	b.ReportMetric(float64(residentBytes(b, r.entryProcess))/(1<<20), "entry_MB")
}

// BenchmarkControlLinks measures what an idle entry spends for each link.
func BenchmarkControlLinks(b *testing.B) {
	for _, links := range []int{2, 12, 24} {
		b.Run(fmt.Sprintf("links_%d", links), func(b *testing.B) {
			r := newRig(b, rigConfig{engines: links, processors: 2, tokenDelay: time.Millisecond, counted: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before := r.read()
				time.Sleep(idleTime)
				r.report(b, before)
			}
		})
	}
}

// BenchmarkControlEntries measures what an entry and a sidecar spend among other entries.
func BenchmarkControlEntries(b *testing.B) {
	for _, entries := range []int{1, 8, 24} {
		b.Run(fmt.Sprintf("entries_%d", entries), func(b *testing.B) {
			r := newRig(b, rigConfig{engines: 1, processors: 2, tokenDelay: time.Millisecond, entries: entries - 1, counted: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before, sidecar := r.read(), processorTime(b, r.sidecarProcess)
				time.Sleep(idleTime)
				r.report(b, before)
				used := processorTime(b, r.sidecarProcess) - sidecar
				b.ReportMetric(float64(used.Microseconds())/idleTime.Seconds()/10000, "sidecar_core_%")
				b.ReportMetric(float64(residentBytes(b, r.sidecarProcess))/(1<<20), "sidecar_MB")
			}
		})
	}
}

// BenchmarkControlCustomers measures what an idle entry holds for each customer.
func BenchmarkControlCustomers(b *testing.B) {
	for _, customers := range []int{100, 1500, 4300} {
		b.Run(fmt.Sprintf("customers_%d", customers), func(b *testing.B) {
			r := newRig(b, rigConfig{engines: 1, processors: 2, tokenDelay: time.Millisecond, customers: customers, counted: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before := r.read()
				time.Sleep(idleTime)
				r.report(b, before)
			}
		})
	}
}

// BenchmarkControlPatches measures what an entry spends for each change of the configuration.
func BenchmarkControlPatches(b *testing.B) {
	const patches = 100
	for _, customers := range []int{100, 1500, 4300} {
		b.Run(fmt.Sprintf("customers_%d", customers), func(b *testing.B) {
			r := newRig(b, rigConfig{engines: 1, processors: 2, tokenDelay: time.Millisecond, customers: customers, counted: true})
			for b.Loop() {
				before := r.read()
				started := time.Now()
				patch(b, r, patches)
				elapsed := time.Since(started)
				now := r.read()
				b.ReportMetric(float64((now.processor-before.processor).Microseconds())/patches, "entry_us/patch")
				b.ReportMetric(float64(now.tableIn+now.tableOut-before.tableIn-before.tableOut)/patches, "platform_B/patch")
				b.ReportMetric(float64(elapsed.Milliseconds())/patches, "ms/patch")
			}
		})
	}
}

// patch applies changes of one key each, one after the other.
func patch(b *testing.B, r *rig, patches int) {
	client := operator.New(operator.Config{BaseURL: "http://" + r.operator, Credential: credential})
	current, err := client.Get(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	base := current.Configuration.Version
	for index := range patches {
		id := fmt.Sprintf("key-%d-%d", base, index)
		answer, err := client.Patch(context.Background(), operator.PatchRequest{Patch: configuration.Patch{
			ID: ident.Patch(id), Base: base,
			Set: configuration.Entities{Keys: []configuration.Key{{
				Digest: ident.DigestKey(id), Customer: "bench", Classes: []ident.Class{"chat"},
			}}},
		}})
		if err != nil {
			b.Fatal(err)
		}
		base = answer.Version
	}
}
