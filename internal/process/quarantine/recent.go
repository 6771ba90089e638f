package quarantine

import "time"

// Limits of recentParts.
const (
	// rotationInterval is the age of a generation at which the next one begins.
	rotationInterval = time.Minute
	// maxGenerationParts is the size of a generation at which the next one begins.
	maxGenerationParts = 8192
)

// recentParts remembers when it last got each part, for one to two rotation intervals, or less if there are many. It keeps two generations.
type recentParts struct {
	current, previous map[Part]time.Time
	startedAt         time.Time
}

// add adds a part at a time that is not after now.
func (r *recentParts) add(now, at time.Time, part Part) {
	if r.current == nil || len(r.current) >= maxGenerationParts {
		r.begin(now)
	}
	if at.After(r.last(part)) {
		r.current[part] = at
	}
}

func (r *recentParts) begin(now time.Time) {
	r.previous, r.current, r.startedAt = r.current, make(map[Part]time.Time), now
}

// rotate begins a generation if the current one is old.
func (r *recentParts) rotate(now time.Time) {
	if now.Sub(r.startedAt) > rotationInterval {
		r.begin(now)
	}
}

func (r *recentParts) contains(part Part) bool { return !r.last(part).IsZero() }

// last returns the time of a part, or the zero time.
func (r *recentParts) last(part Part) time.Time {
	if at, found := r.current[part]; found {
		return at
	}
	return r.previous[part]
}
