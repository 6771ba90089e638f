package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeartbeatInterval holds that rows are written often enough for reports and seldom enough for the store, whatever the fleet's size.
func TestHeartbeatInterval(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fleet  int
		writes float64
		beat   time.Duration
	}{
		{1, 400, time.Second},
		{4, 400, time.Second},
		{30, 1200, 3 * time.Second},
		{300, 1200, 3300 * time.Millisecond},
		{300, 400, 7500 * time.Millisecond},
		{30, 0, 3 * time.Second},
	} {
		is := is.New(t)
		is.Equal(Config{MaxHeartbeatInterval: 3300 * time.Millisecond, WritesPerSecond: c.writes}.beat(c.fleet), c.beat)
	}
}
