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

// Times of the measurements of control traffic: the system runs without requests for settleTime and is then measured for idleTime.
const (
	settleTime = 5 * time.Second
	idleTime   = 20 * time.Second
)

// usageSample holds the resources that an entry has used since its start.
type usageSample struct {
	takenAt          time.Time
	cpuTime          time.Duration
	platformReceived int64
	platformSent     int64
	platformPosts    int64
	linkBytes        int64
}

func (r *harness) sampleUsage() usageSample {
	now := usageSample{
		takenAt: time.Now(), cpuTime: cpuTimeOf(r.tb, r.entryProcess),
		platformReceived: r.platformRelay.receivedBytes.Load(), platformSent: r.platformRelay.sentBytes.Load(), platformPosts: r.platformRelay.postCount.Load(),
	}
	for _, link := range r.linkRelays {
		now.linkBytes += link.sentBytes.Load() + link.receivedBytes.Load()
	}
	return now
}

// reportUsage reports what the entry has used per second since the sample before, and its resident memory.
func (r *harness) reportUsage(b *testing.B, before usageSample) {
	now := r.sampleUsage()
	seconds := now.takenAt.Sub(before.takenAt).Seconds()
	b.ReportMetric(float64((now.cpuTime-before.cpuTime).Microseconds())/seconds/10000, "core_%")
	b.ReportMetric(float64(now.platformReceived+now.platformSent-before.platformReceived-before.platformSent)/seconds, "platform_B/s")
	b.ReportMetric(float64(now.platformPosts-before.platformPosts)/seconds, "platform_posts/s")
	b.ReportMetric(float64(now.linkBytes-before.linkBytes)/seconds, "links_B/s")
	b.ReportMetric(float64(residentBytes(b, r.entryProcess))/(1<<20), "entry_MB")
}

// BenchmarkControlLinks measures the resources that an idle entry uses with different numbers of links to sidecars.
func BenchmarkControlLinks(b *testing.B) {
	for _, links := range []int{2, 12, 24} {
		b.Run(fmt.Sprintf("links_%d", links), func(b *testing.B) {
			r := newHarness(b, harnessConfig{engines: links, maxProcs: 2, tokenDelay: time.Millisecond, countTraffic: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before := r.sampleUsage()
				time.Sleep(idleTime)
				r.reportUsage(b, before)
			}
		})
	}
}

// BenchmarkControlEntries measures the resources that an idle entry and a sidecar use with different numbers of entries.
func BenchmarkControlEntries(b *testing.B) {
	for _, entries := range []int{1, 8, 24} {
		b.Run(fmt.Sprintf("entries_%d", entries), func(b *testing.B) {
			r := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond, otherEntries: entries - 1, countTraffic: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before, sidecar := r.sampleUsage(), cpuTimeOf(b, r.sidecarProcess)
				time.Sleep(idleTime)
				r.reportUsage(b, before)
				used := cpuTimeOf(b, r.sidecarProcess) - sidecar
				b.ReportMetric(float64(used.Microseconds())/idleTime.Seconds()/10000, "sidecar_core_%")
				b.ReportMetric(float64(residentBytes(b, r.sidecarProcess))/(1<<20), "sidecar_MB")
			}
		})
	}
}

// BenchmarkControlCustomers measures the resources that an idle entry uses with different numbers of configured customers.
func BenchmarkControlCustomers(b *testing.B) {
	for _, customers := range []int{100, 1500, 4300} {
		b.Run(fmt.Sprintf("customers_%d", customers), func(b *testing.B) {
			r := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond, customers: customers, countTraffic: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before := r.sampleUsage()
				time.Sleep(idleTime)
				r.reportUsage(b, before)
			}
		})
	}
}

// BenchmarkControlPatches measures the resources that an entry uses for each change of the configuration.
func BenchmarkControlPatches(b *testing.B) {
	const patches = 100
	for _, customers := range []int{100, 1500, 4300} {
		b.Run(fmt.Sprintf("customers_%d", customers), func(b *testing.B) {
			r := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond, customers: customers, countTraffic: true})
			for b.Loop() {
				before := r.sampleUsage()
				started := time.Now()
				applyPatches(b, r, patches)
				elapsed := time.Since(started)
				now := r.sampleUsage()
				b.ReportMetric(float64((now.cpuTime-before.cpuTime).Microseconds())/patches, "entry_us/patch")
				b.ReportMetric(float64(now.platformReceived+now.platformSent-before.platformReceived-before.platformSent)/patches, "platform_B/patch")
				b.ReportMetric(float64(elapsed.Milliseconds())/patches, "ms/patch")
			}
		})
	}
}

// applyPatches applies configuration patches one after another; each adds one key.
func applyPatches(b *testing.B, r *harness, patches int) {
	client := operator.New(operator.Config{BaseURL: "http://" + r.operatorAddress, Credential: operatorCredential})
	current, err := client.Get(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	base := current.Configuration.Version
	for index := range patches {
		id := fmt.Sprintf("key-%d-%d", base, index)
		response, err := client.Patch(context.Background(), operator.PatchRequest{Patch: configuration.Patch{
			ID: ident.Patch(id), Base: base,
			Set: configuration.Entities{Keys: []configuration.Key{{
				Digest: ident.DigestKey(id), Customer: "bench", Classes: []ident.Class{"chat"},
			}}},
		}})
		if err != nil {
			b.Fatal(err)
		}
		base = response.Version
	}
}
