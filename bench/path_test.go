package bench

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load of one entry in a deployment of the target size.
const (
	entryRequestsPerSecond = 44
	entryTokensPerSecond   = 18800
	maxLoadFactor          = 10
)

// BenchmarkAddedFirstToken compares the time to first token through entry and sidecar with that of the engine alone.
func BenchmarkAddedFirstToken(b *testing.B) {
	h := newHarness(b, harnessConfig{engines: 1, maxProcs: 2, tokenDelay: time.Millisecond})
	for b.Loop() {
		routed, direct := histogram(), histogram()
		for range 2000 {
			recordFirstToken(b, direct, h.engineAddresses[0])
			recordFirstToken(b, routed, h.entryAddress)
		}
		for _, quantile := range []float64{50, 99} {
			added := routed.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
			b.ReportMetric(float64(added), fmt.Sprintf("added_us_p%.0f", quantile))
			b.ReportMetric(float64(direct.ValueAtQuantile(quantile)), fmt.Sprintf("direct_us_p%.0f", quantile))
		}
	}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func recordFirstToken(b *testing.B, into *hdrhistogram.Histogram, address string) {
	elapsed, err := firstToken(address, 2)
	if err != nil {
		b.Fatal(err)
	}
	_ = into.RecordValue(elapsed.Microseconds())
}

// BenchmarkEntryShare measures the CPU time of an entry and a sidecar at multiples of one entry's target load.
func BenchmarkEntryShare(b *testing.B) {
	for _, factor := range []int{1, 3, maxLoadFactor} {
		b.Run(fmt.Sprintf("share_x%d", factor), func(b *testing.B) {
			h := newHarness(b, harnessConfig{engines: 2, maxProcs: 2, tokenDelay: 10 * time.Millisecond})
			for b.Loop() {
				runLoad(b, h, factor)
			}
		})
	}
}

// runLoad sends requests at a constant rate for 10 seconds, waits until they have ended, and reports the results.
func runLoad(b *testing.B, h *harness, factor int) {
	const seconds = 10
	tokens := entryTokensPerSecond / entryRequestsPerSecond
	requests := entryRequestsPerSecond * factor * seconds
	var failedRequests, completedRequests atomic.Int64
	var group sync.WaitGroup
	entryBefore := cpuTimeOf(b, h.entryProcess)
	sidecarBefore := cpuTimeOf(b, h.sidecarProcess)
	started := time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(entryRequestsPerSecond*factor))
	defer ticker.Stop()
	for range requests {
		<-ticker.C
		group.Go(func() {
			if err := readStream(h.entryAddress, tokens); err != nil {
				failedRequests.Add(1)
				return
			}
			completedRequests.Add(1)
		})
	}
	group.Wait()
	elapsed := time.Since(started)
	entryCPUTime := cpuTimeOf(b, h.entryProcess) - entryBefore
	sidecarCPUTime := cpuTimeOf(b, h.sidecarProcess) - sidecarBefore
	relayedTokens := float64(completedRequests.Load()) * float64(tokens)
	b.ReportMetric(float64(failedRequests.Load()), "failed")
	b.ReportMetric(relayedTokens/elapsed.Seconds(), "tokens/s")
	b.ReportMetric(float64(entryCPUTime.Microseconds())/relayedTokens, "entry_us/token")
	b.ReportMetric(2*float64(sidecarCPUTime.Microseconds())/relayedTokens, "sidecar_us/token")
	b.ReportMetric(entryCPUTime.Seconds()/elapsed.Seconds(), "entry_cores")
	b.ReportMetric(float64(residentBytes(b, h.entryProcess))/(1<<20), "entry_MB")
}

// BenchmarkStreamMemory measures the entry's memory for each open stream.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 2000
	h := newHarness(b, harnessConfig{engines: 2, maxProcs: 2, tokenDelay: 500 * time.Millisecond})
	for b.Loop() {
		before := residentBytes(b, h.entryProcess)
		bodies := openStreams(b, h.entryAddress, streams)
		used := residentBytes(b, h.entryProcess) - before
		b.ReportMetric(float64(used)/streams/1024, "KB/stream")
		for _, body := range bodies {
			_ = body.Close()
		}
	}
}

// openStreams opens streams concurrently and returns them when the response headers of all have arrived.
func openStreams(b *testing.B, address string, streams int) []io.ReadCloser {
	bodies := make([]io.ReadCloser, streams)
	var group sync.WaitGroup
	for index := range streams {
		group.Go(func() {
			body, err := openStream(address, 100)
			if err != nil {
				b.Error(err)
				return
			}
			bodies[index] = body
		})
	}
	group.Wait()
	if b.Failed() {
		b.FailNow()
	}
	return bodies
}
