package holdings

import (
	"math"
	"time"
)

const (
	// paceWindow is the time over which the pace of a holder is averaged.
	paceWindow = time.Second
	// minPace is the pace of a holder that does not move, so that of those the one that holds most goes first.
	minPace = 1 << 10
)

// pace is how fast the bytes of a holder arrive, as an average that forgets exponentially.
type pace struct {
	// moved is the average at movedAt, in bytes per second.
	moved   float64
	movedAt time.Time
}

func (p *pace) move(now time.Time, bytes Bytes) {
	p.moved = p.moved*p.remaining(now) + float64(bytes)/paceWindow.Seconds()
	p.movedAt = now
}

// remaining returns the factor by which the average has decayed since it changed.
func (p *pace) remaining(now time.Time) float64 {
	return math.Exp(-max(now.Sub(p.movedAt), 0).Seconds() / paceWindow.Seconds())
}

// bytesPerSecond returns the pace, which is at least minPace.
func (p *pace) bytesPerSecond(now time.Time) float64 { return minPace + p.moved*p.remaining(now) }
