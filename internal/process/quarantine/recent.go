package quarantine

import "time"

// Limits of recentParts.
const (
	// rotationInterval is the age of a generation at which the next one begins.
	rotationInterval = time.Minute
	// maxGenerationParts is the size of a generation at which the next one begins.
	maxGenerationParts = 8192
)

// recentParts remembers parts for one to two rotation intervals, or less if there are many. It keeps two generations.
type recentParts struct {
	current, previous map[Part]struct{}
	startedAt         time.Time
}

func (r *recentParts) add(now time.Time, part Part) {
	if r.current == nil || len(r.current) >= maxGenerationParts {
		r.begin(now)
	}
	r.current[part] = struct{}{}
}

func (r *recentParts) begin(now time.Time) {
	r.previous, r.current, r.startedAt = r.current, make(map[Part]struct{}), now
}

// rotate begins a generation if the current one is old.
func (r *recentParts) rotate(now time.Time) {
	if now.Sub(r.startedAt) > rotationInterval {
		r.begin(now)
	}
}

func (r *recentParts) contains(part Part) bool {
	_, found := r.current[part]
	if !found {
		_, found = r.previous[part]
	}
	return found
}
