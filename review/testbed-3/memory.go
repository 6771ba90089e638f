package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/platform"
)

func init() { testCases["long-ids"] = longIDs }

// longIDs sends streams whose requests are within the limits and have long ids, and watches the memory of the router.
func longIDs(ctx context.Context, b *bed, trouble bool) (verdict, error) {
	const (
		key       = "n2ctnfzs989anu6wsjnb"
		idBytes   = 15_000
		clients   = 8
		perSecond = 160
		pressing  = 80 * time.Second
	)
	b.omitRuns = true
	b.configure(platform.Configuration{
		Routes: []platform.Route{newStreamRoute("/draft/", engineService, 4000)}, Services: []platform.Service{engineService}, Customers: tenant(key),
	})
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if err := b.addServer(id, "v1", engineService, engineSlots, answerShortStream); err != nil {
			return verdict{}, err
		}
	}
	if err := b.startRouters(ctx); err != nil {
		return verdict{}, err
	}
	r := b.routers[0]
	pressCtx, stop := context.WithTimeout(ctx, pressing)
	defer stop()
	crowd := &crowd{idBytes: idBytes, trouble: trouble}
	var working sync.WaitGroup
	for range clients {
		working.Go(func() { crowd.press(pressCtx, r, key, clients*time.Second/perSecond) })
	}
	peak, alive := watchMemory(pressCtx, b, r, crowd)
	stop()
	working.Wait()
	if peak == 0 || crowd.served.Load() == 0 {
		return verdict{}, errorf("the memory of the router could not be read, or no stream was served: %d KiB, %d streams", peak, crowd.served.Load())
	}
	text := sprintf("the router took %d KiB at its peak, its machine has %d KiB; it runs: %v; %d streams were served and %d not",
		peak, memoryMB<<10, alive, crowd.served.Load(), crowd.failed.Load())
	return verdict{broken: !alive || peak > memoryMB<<10, text: text}, nil
}

// crowd is a number of clients that take short streams; with trouble, their ids are long.
type crowd struct {
	idBytes        int
	trouble        bool
	served, failed atomic.Int64
}

// press takes one stream after the other, at most one in each interval, until the context is done.
func (c *crowd) press(ctx context.Context, r *router, key string, interval time.Duration) {
	const deadline = 4 * time.Second
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		one := call{
			method: http.MethodPost, path: "/draft/1", key: key, deadline: deadline, body: "{}", id: newAttempt(),
			prompt: newPrompt(3),
		}
		if c.trouble {
			one.id += strings.Repeat("0", c.idBytes-len(one.id))
		}
		if answer := send(ctx, client, r, one); answer.status == http.StatusOK {
			c.served.Add(1)
		} else {
			c.failed.Add(1)
		}
		<-ticker.C
	}
}

// watchMemory returns the most memory that a router takes, in KiB, and whether it still runs. It ends early once that is more than its machine has.
func watchMemory(ctx context.Context, b *bed, r *router, c *crowd) (peak int, alive bool) {
	const watching = 100 * time.Millisecond
	for reported := time.Now(); ctx.Err() == nil && peak <= memoryMB<<10; {
		now, err := residentKiB(r.pid())
		if err == nil {
			peak = max(peak, now)
		}
		if time.Since(reported) > time.Second {
			reported = time.Now()
			b.record.line("router %s: %d KiB resident, %d streams served, %d not", r.name, now, c.served.Load(), c.failed.Load())
		}
		select {
		case <-r.ended():
			return peak, false
		case <-time.After(watching):
		}
	}
	return peak, true
}

// residentKiB returns the resident memory of a process.
func residentKiB(pid int) (int, error) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		}
	}
	return 0, errorf("no resident memory of process %d", pid)
}

// answerShortStream answers with a stream of one event.
func answerShortStream(_ *server, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(platform.HeaderServerLoad, "6,0,64")
	_, _ = io.WriteString(w, "id: 1\ndata: v1 piece 1\n\n")
}
