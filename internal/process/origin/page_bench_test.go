package origin_test

import (
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"vanillapond/internal/process/origin"
	"vanillapond/pkg/ident"
)

// BenchmarkHandover measures what one instance of a fleet of 410 does for one that joins, with the streams that it knows a minute after a release began:
// 44 streams a second of its own, and twice as many of others.
func BenchmarkHandover(b *testing.B) {
	const processes, streams = 410, 3 * 44 * 60
	all := make([]ident.Process, processes)
	for index := range all {
		all[index] = ident.Process("router-" + strconv.Itoa(index))
	}
	h := newOriginHarness()
	h.observe("v1", "v2")
	for index := range streams {
		h.Begin(origin.Origin{Stream: ident.Request("9c41d07be2a3" + strconv.Itoa(10_000+index)), Service: "pond-models", Software: "v1"})
	}
	size, datagrams, joins := 0, 0, 0
	for b.Loop() {
		joining := all[joins%processes]
		joins++
		for position := origin.Position(0); ; {
			page := h.Page(position, func(stream ident.Request) bool { return origin.IsKeeper(stream, joining, all) })
			datagram, err := cbor.Marshal(page)
			if err != nil {
				b.Fatal(err)
			}
			size, datagrams = size+len(datagram), datagrams+1
			if position = page.Next; page.Complete {
				break
			}
		}
	}
	b.ReportMetric(float64(size)/float64(joins), "bytes/join")
	b.ReportMetric(float64(datagrams)/float64(joins), "datagrams/join")
}
