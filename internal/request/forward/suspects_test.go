package forward_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/forward"
	"vanillapond/pkg/ident"
)

// crashOf returns the crash of a server as a connection shows it that was opened shortly before.
func crashOf(server ident.Endpoint, at time.Time) forward.Crash {
	return forward.Crash{
		Server:   ident.ServerStart{ID: server, StartedUnixMS: at.Add(-time.Second).UnixMilli()},
		OpenedAt: at.Add(-10 * time.Millisecond), BrokenAt: at,
	}
}

// TestLostLossReport verifies that losses count at another instance although a report of them was lost, each once, and that those that a
// complete response cleared there do not count again.
func TestLostLossReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }}), forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }})
	a.RecordLoss(now, 7, crashOf("s1", now))
	a.RecordLoss(now, 7, crashOf("s2", now))
	_ = a.Recent(now)
	b.Merge(now, a.Recent(now.Add(time.Second)))
	b.Merge(now, a.Recent(now.Add(time.Second)))
	is.True(!b.Blocked(now, 7))
	b.RecordLoss(now, 7, crashOf("s3", now))
	is.True(b.Blocked(now, 7))
	is.Equal(len(a.Recent(now.Add(time.Minute))), 0)
}

// TestClearedLossesReportedAgain verifies that losses which a complete response has cleared do not count when they are reported again.
func TestClearedLossesReportedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }}), forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }})
	a.RecordLoss(now, 7, crashOf("s1", now))
	a.RecordLoss(now, 7, crashOf("s2", now))
	b.Merge(now, a.Recent(now))
	b.Clear(7)
	b.Merge(now, []forward.Loss{{Digest: 7, Server: "s1"}, {Digest: 7, Server: "s2"}})
	b.RecordLoss(now, 7, crashOf("s3", now))
	b.RecordLoss(now, 7, crashOf("s4", now))
	is.True(!b.Blocked(now, 7))
	b.RecordLoss(now, 7, crashOf("s5", now))
	is.True(b.Blocked(now, 7))
}

// TestStartedInstanceLearnsBlockedRequests guards against requests that crash three servers once more at each instance that starts: losses were
// reported for 3 s only.
func TestStartedInstanceLearnsBlockedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }}), forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }})
	for _, server := range []ident.Endpoint{"s1", "s2", "s3"} {
		a.RecordLoss(now, 7, crashOf(server, now))
	}
	a.RecordLoss(now, 8, crashOf("s1", now))
	later := now.Add(30 * time.Second)
	b.Merge(later, a.BlockedLosses(later))
	is.True(b.Blocked(later, 7))
	is.True(!b.Blocked(later, 8))
	// Reports that go back and forth do not extend the time for which it is blocked.
	for at := later; at.Before(now.Add(61 * time.Second)); at = at.Add(time.Second) {
		a.Merge(at, b.BlockedLosses(at))
		b.Merge(at, a.BlockedLosses(at))
	}
	is.True(!b.Blocked(now.Add(61*time.Second), 7))
	is.Equal(len(b.BlockedLosses(now.Add(61*time.Second))), 0)
	b.Merge(later, []forward.Loss{{Digest: 9, Server: "s1", AgeMS: -1}, {Digest: 9, Server: "s2", AgeMS: 1 << 60}})
	is.Equal(len(b.Recent(later)), 0)
}

// TestBlockedLossesAreBounded checks that a report stays short, however many requests are blocked.
func TestBlockedLossesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	list := forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return now }})
	for digest := range uint64(1000) {
		for _, server := range []ident.Endpoint{"s1", "s2", "s3", "s4"} {
			list.RecordLoss(now, digest, crashOf(server, now))
		}
	}
	is.True(len(list.BlockedLosses(now)) <= 64*3)
}
