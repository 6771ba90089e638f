package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/platform"
)

// countingSource counts the reads of the list.
type countingSource struct{ length, reads int }

// VMs implements platform.VMs.
func (s *countingSource) VMs(context.Context) ([]platform.VM, error) {
	s.reads++
	return make([]platform.VM, s.length), nil
}

// TestCachedVMs checks how often the list is read within an hour if two users request it every second.
func TestCachedVMs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ length, reads int }{{0, 1800}, {20, 1800}, {50, 900}, {2310, 20}} {
		is := is.New(t)
		now := time.Unix(0, 0)
		source := &countingSource{length: c.length}
		cached := platform.NewCachedVMs(source, func() time.Time { return now })
		for range 3600 {
			for range 2 {
				_, err := cached.VMs(context.Background())
				is.NoErr(err)
			}
			now = now.Add(time.Second)
		}
		is.Equal(source.reads, c.reads)
	}
}
