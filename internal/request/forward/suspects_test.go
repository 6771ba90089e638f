package forward_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/forward"
)

// TestLostLossReport verifies that losses count at another instance although a report of them was lost, each once, and that those that a
// complete response cleared there do not count again.
func TestLostLossReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := forward.NewSuspectList(nil), forward.NewSuspectList(nil)
	a.RecordLoss(now, 7, "s1")
	a.RecordLoss(now, 7, "s2")
	_ = a.Recent(now)
	b.Merge(now, a.Recent(now.Add(time.Second)))
	b.Merge(now, a.Recent(now.Add(time.Second)))
	is.True(!b.Blocked(now, 7))
	b.RecordLoss(now, 7, "s3")
	is.True(b.Blocked(now, 7))
	is.Equal(len(a.Recent(now.Add(time.Minute))), 0)
}

// TestClearedLossesReportedAgain verifies that losses which a complete response has cleared do not count when they are reported again.
func TestClearedLossesReportedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := forward.NewSuspectList(nil), forward.NewSuspectList(nil)
	a.RecordLoss(now, 7, "s1")
	a.RecordLoss(now, 7, "s2")
	b.Merge(now, a.Recent(now))
	b.Clear(7)
	b.Merge(now, []forward.Loss{{Digest: 7, Server: "s1"}, {Digest: 7, Server: "s2"}})
	b.RecordLoss(now, 7, "s3")
	b.RecordLoss(now, 7, "s4")
	is.True(!b.Blocked(now, 7))
	b.RecordLoss(now, 7, "s5")
	is.True(b.Blocked(now, 7))
}
