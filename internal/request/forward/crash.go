package forward

import (
	"time"

	"vanillapond/internal/connection/servers"
	"vanillapond/pkg/ident"
)

// Crash is the crash of a server as one connection shows it. The server that had accepted the connection ran from OpenedAt to BrokenAt at least, whichever start of it
// the list of servers names: that may be outdated.
type Crash struct {
	Server             ident.ServerStart
	OpenedAt, BrokenAt time.Time
}

// sameCrashGap is the gap between two connections to one server up to which they may have broken in one crash. It allows for the difference of the instances' agreed
// times; a server takes longer to start again.
const sameCrashGap = 500 * time.Millisecond

// crash is a Crash in the agreed time, by which all instances tell crashes apart.
type crash struct {
	server ident.ServerStart
	// openedUnixMS and brokenUnixMS are 0 if an earlier version reported the crash.
	openedUnixMS, brokenUnixMS int64
}

// newCrash returns a crash; offset is the agreed time less that of this instance.
func newCrash(observed Crash, offset time.Duration) crash {
	if observed.OpenedAt.IsZero() {
		observed.OpenedAt = observed.BrokenAt
	}
	return crash{
		server: observed.Server, openedUnixMS: observed.OpenedAt.Add(offset).UnixMilli(), brokenUnixMS: observed.BrokenAt.Add(offset).UnixMilli(),
	}
}

func (c crash) isTimed() bool { return c.brokenUnixMS > 0 }

// isBefore reports whether the crash is known to have come before a time.
func (c crash) isBefore(unixMS int64) bool { return c.isTimed() && c.brokenUnixMS < unixMS }

// isSame reports whether two reports are of one crash. Each connection lies within the life of one start of the server, so that those of one crash overlap. What an
// earlier version reported counts once for a server.
func (c crash) isSame(other crash) bool {
	if c.server.ID != other.server.ID {
		return false
	}
	if !c.isTimed() || !other.isTimed() {
		return true
	}
	gap := sameCrashGap.Milliseconds()
	return c.openedUnixMS <= other.brokenUnixMS+gap && other.openedUnixMS <= c.brokenUnixMS+gap
}

// loss returns the loss of a request in the crash, for other instances; age is how long ago the request last lost a server.
func (c crash) loss(digest uint64, age time.Duration) Loss {
	return Loss{
		Digest: digest, Server: c.server.ID, AgeMS: max(age, 0).Milliseconds(),
		StartedUnixMS: c.server.StartedUnixMS, OpenedUnixMS: c.openedUnixMS, BrokenUnixMS: c.brokenUnixMS,
	}
}

// crash returns the crash that a loss names.
func (l Loss) crash() crash {
	return crash{
		server:       ident.ServerStart{ID: l.Server, StartedUnixMS: l.StartedUnixMS},
		openedUnixMS: l.OpenedUnixMS, brokenUnixMS: l.BrokenUnixMS,
	}
}

// recordBreak records that a connection to a server broke while the server may have run the request. If the server has crashed, that counts against the
// request, and against the parts of its prompt unless the server had answered it for long. A check that takes longer goes on in the background.
func (c *call) recordBreak(server *servers.Server, openedAt time.Time, cause error) {
	c.breakCause = cause
	crash := Crash{Server: server.Start(), OpenedAt: openedAt, BrokenAt: time.Now()}
	parts, digest, config := c.parts, c.digest, c.forwarder.config
	if !c.firstEventAt.IsZero() && crash.BrokenAt.Sub(c.firstEventAt) > beginTime {
		parts = nil
	}
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		if !config.HasCrashed(server, cause) {
			return
		}
		if !c.completed.Load() {
			config.Suspects.RecordLoss(time.Now(), digest, crash)
		}
		if len(parts) > 0 {
			config.Quarantine.RecordCrash(time.Now(), crash.Server, parts)
		}
	}()
	wait := time.NewTimer(crashCheckWait)
	defer wait.Stop()
	select {
	case <-recorded:
	case <-wait.C:
	case <-c.ctx.Done():
	}
}
