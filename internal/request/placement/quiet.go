package placement

import "time"

// How many engines are kept for streams with short pauses.
const (
	// minQuietLoad is the part of an engine's slots that paced streams fill before another engine is kept for them, and
	// maxQuietLoad that part where the other engines are busy for busyTime: then they need every engine.
	minQuietLoad = 0.3
	maxQuietLoad = 0.7
	busyTime     = 500 * time.Millisecond
	// quietRoom is how many more paced streams are made room for than run: they come in bursts.
	quietRoom = 1.2
	// minQuiet engines are kept so that the loss of one leaves another.
	minQuiet = 2
	// maxQuietShare is the part of all engines that may be kept.
	maxQuietShare = 0.25
	// shrinkAfter is how long fewer engines must be enough before one is given back: hysteresis, because streams that
	// already run stay where they are.
	shrinkAfter = 4 * time.Second
)

// quiet is how many engines are kept for paced streams.
//
// Load pattern: streams of short prompts with short pauses beside prompts that take several steps to read. Mixed on one
// engine, each long prompt makes all such streams there late; apart, a few engines serve all of them.
type quiet struct {
	engines int
	// enough is when fewer engines were last too few.
	enough time.Time
	// busy is the mean of the engines' backlogs as parts of busyTime, each at most 1, so that one hot engine counts little.
	busy float64
}

// mark chooses the engines for the paced streams that run and for an arriving one; every entry comes to nearly the same
// choice, because all keep the servers in one order.
func (q *quiet) mark(now time.Time, options []*server, arriving bool, speed *speed) {
	paced, slots := 0, 0
	busy := 0.0
	full := float64(speed.tokens(busyTime)) / countedShare
	if arriving {
		paced = 1
	}
	for _, each := range options {
		paced += each.work.LatencySensitive
		slots += each.Slots
		busy += min(float64(each.work.Prefill.Total())/full, 1)
	}
	q.busy = busy / float64(len(options))
	if paced == 0 && q.engines == 0 {
		return
	}
	load := minQuietLoad + (maxQuietLoad-minQuietLoad)*q.busy
	perEngine := max(load*float64(slots)/float64(len(options)), 1)
	needed := max(int(quietRoom*float64(paced)/perEngine+1), minQuiet)
	needed = min(needed, int(maxQuietShare*float64(len(options))))
	switch {
	case needed >= q.engines:
		q.engines, q.enough = needed, now
	case now.Sub(q.enough) > shrinkAfter:
		q.engines, q.enough = q.engines-1, now
	}
	for _, each := range options[:min(q.engines, len(options))] {
		each.quiet = true
	}
}
