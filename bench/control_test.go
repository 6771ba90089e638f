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

func (h *harness) sampleUsage() usageSample {
	sample := usageSample{
		takenAt: time.Now(), cpuTime: cpuTimeOf(h.tb, h.entryProcess),
		platformReceived: h.platformRelay.receivedBytes.Load(), platformSent: h.platformRelay.sentBytes.Load(), platformPosts: h.platformRelay.postCount.Load(),
	}
	for _, link := range h.linkRelays {
		sample.linkBytes += link.sentBytes.Load() + link.receivedBytes.Load()
	}
	return sample
}

// reportUsage reports what the entry has used per second since the sample before, and its resident memory.
func (h *harness) reportUsage(b *testing.B, before usageSample) {
	current := h.sampleUsage()
	seconds := current.takenAt.Sub(before.takenAt).Seconds()
	b.ReportMetric(float64((current.cpuTime-before.cpuTime).Microseconds())/seconds/10000, "core_%")
	b.ReportMetric(float64(current.platformReceived+current.platformSent-before.platformReceived-before.platformSent)/seconds, "platform_B/s")
	b.ReportMetric(float64(current.platformPosts-before.platformPosts)/seconds, "platform_posts/s")
	b.ReportMetric(float64(current.linkBytes-before.linkBytes)/seconds, "links_B/s")
	b.ReportMetric(float64(residentBytes(b, h.entryProcess))/(1<<20), "entry_MB")
}

// BenchmarkControlLinks measures the resources that an idle entry uses with different numbers of links to sidecars.
func BenchmarkControlLinks(b *testing.B) {
	for _, links := range []int{2, 12, 24} {
		b.Run(fmt.Sprintf("links_%d", links), func(b *testing.B) {
			h := newHarness(b, harnessConfig{engines: links, maxProcs: 2, tokenDelay: time.Millisecond, countTraffic: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before := h.sampleUsage()
				time.Sleep(idleTime)
				h.reportUsage(b, before)
			}
		})
	}
}

// BenchmarkControlEntries measures the resources that an idle entry and a sidecar use with different numbers of entries.
func BenchmarkControlEntries(b *testing.B) {
	for _, entries := range []int{1, 8, 24} {
		b.Run(fmt.Sprintf("entries_%d", entries), func(b *testing.B) {
			h := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond, otherEntries: entries - 1, countTraffic: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before, sidecarBefore := h.sampleUsage(), cpuTimeOf(b, h.sidecarProcess)
				time.Sleep(idleTime)
				h.reportUsage(b, before)
				used := cpuTimeOf(b, h.sidecarProcess) - sidecarBefore
				b.ReportMetric(float64(used.Microseconds())/idleTime.Seconds()/10000, "sidecar_core_%")
				b.ReportMetric(float64(residentBytes(b, h.sidecarProcess))/(1<<20), "sidecar_MB")
			}
		})
	}
}

// BenchmarkControlCustomers measures the resources that an idle entry uses with different numbers of configured customers.
func BenchmarkControlCustomers(b *testing.B) {
	for _, customers := range []int{100, 1500, 4300} {
		b.Run(fmt.Sprintf("customers_%d", customers), func(b *testing.B) {
			h := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond, customers: customers, countTraffic: true})
			for b.Loop() {
				time.Sleep(settleTime)
				before := h.sampleUsage()
				time.Sleep(idleTime)
				h.reportUsage(b, before)
			}
		})
	}
}

// BenchmarkControlPatches measures the resources that an entry uses for each change of the configuration.
func BenchmarkControlPatches(b *testing.B) {
	const patches = 100
	for _, customers := range []int{100, 1500, 4300} {
		b.Run(fmt.Sprintf("customers_%d", customers), func(b *testing.B) {
			h := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond, customers: customers, countTraffic: true})
			for b.Loop() {
				before := h.sampleUsage()
				started := time.Now()
				applyPatches(b, h, patches)
				elapsed := time.Since(started)
				current := h.sampleUsage()
				b.ReportMetric(float64((current.cpuTime-before.cpuTime).Microseconds())/patches, "entry_us/patch")
				b.ReportMetric(float64(current.platformReceived+current.platformSent-before.platformReceived-before.platformSent)/patches, "platform_B/patch")
				b.ReportMetric(float64(elapsed.Milliseconds())/patches, "ms/patch")
			}
		})
	}
}

// applyPatches applies configuration patches one after another; each adds one key.
func applyPatches(b *testing.B, h *harness, patches int) {
	client := operator.New(operator.Config{BaseURL: "http://" + h.operatorAddress, Credential: operatorCredential})
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
