// Command x5 is an experiment.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"vanillapond/review/testbed"
)

func main() { testbed.Main(run) }

func run(bed *testbed.Bed, trouble bool) ([]string, error) {
	runs := &testbed.Runs{}
	router, err := bed.StartIssuance(runs, func(_ int, c *testbed.ServerConfig) { c.Slots = 40 })
	if err != nil {
		return nil, err
	}
	var n, bad, unsent, none atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(85 * time.Second)
	for i := range 150 {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); {
				conn, err := testbed.Connect(router.Callers)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.ExpFloat64() * 0.8 * float64(time.Second)))
					k++
					id := fmt.Sprintf("%d-%d", i, k)
					r := testbed.Issue(id, "c"+id, make([]byte, 600))
					if _, err := conn.Write(r.Encode()); err != nil {
						unsent.Add(1)
						break
					}
					a := conn.Receive("POST", 3*time.Second)
					n.Add(1)
					if a.Status == 0 || a.Err != nil {
						none.Add(1)
						time.Sleep(100 * time.Millisecond)
						if len(runs.Of(id)) > 0 {
							bad.Add(1)
							fmt.Println("ran, no answer", id, a)
						}
						break
					}
					if a.Status != 200 {
						fmt.Println(id, a)
					}
					if a.Header.Get("Connection") == "close" {
						break
					}
				}
				conn.Close()
			}
		})
	}
	for time.Now().Before(end.Add(-9 * time.Second)) {
		time.Sleep(time.Second)
		router.Signal(syscall.SIGTERM)
		<-router.Done()
		router.Start()
	}
	wg.Wait()
	fmt.Println("requests", n.Load(), "no answer", none.Load(), "unsent", unsent.Load(), "ran without answer", bad.Load())
	return nil, nil
}
