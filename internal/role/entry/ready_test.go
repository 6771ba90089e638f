package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReadiness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	linked := false
	r := &readiness{linked: func() bool { return linked }}
	now := time.Unix(1, 0)
	is.True(!r.ready(false, now))
	is.True(!r.ready(true, now.Add(time.Hour)))
	now = now.Add(time.Hour)
	is.True(!r.ready(true, now.Add(linkTimeout-1)))
	linked = true
	is.True(r.ready(true, now.Add(linkTimeout-1)))
	linked = false
	is.True(r.ready(true, now.Add(linkTimeout-1)))
	r.drain()
	is.True(!r.ready(true, now.Add(linkTimeout)))
	r = &readiness{linked: func() bool { return false }}
	is.True(!r.ready(true, now))
	is.True(r.ready(true, now.Add(linkTimeout)))
}
