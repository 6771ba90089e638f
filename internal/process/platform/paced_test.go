package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/platform"
)

// source counts how often the list is read.
type source struct{ length, reads int }

// VMs implements platform.VMs.
func (s *source) VMs(context.Context) ([]platform.VM, error) {
	s.reads++
	return make([]platform.VM, s.length), nil
}

// TestCachedVMs holds how often two parts that ask each second let the list be read in an hour.
func TestCachedVMs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ length, reads int }{{0, 1800}, {20, 1800}, {50, 900}, {2310, 20}} {
		is := is.New(t)
		now := time.Unix(0, 0)
		list := &source{length: c.length}
		paced := platform.NewCachedVMs(list, func() time.Time { return now })
		for range 3600 {
			for range 2 {
				_, err := paced.VMs(context.Background())
				is.NoErr(err)
			}
			now = now.Add(time.Second)
		}
		is.Equal(list.reads, c.reads)
	}
}
