package placement

// Levels maps the priorities of a service's requests to those that its engines distinguish.
//
// Load pattern: more work than the engines do. In the order of arrival, it would make every request of a priority late. Of the requests with the same
// priority, those that can be in time therefore come before those that will be late in any case, and these take what the others leave. Engines keep this
// order over the requests of all instances, which none of them knows alone.
type Levels struct {
	// Priorities is the number of priorities that occur, at least 1. Where engines distinguish too few levels for both kinds of request of each, the most urgent
	// priorities have one level each, because too much work delays the least urgent requests first.
	Priorities int
}

// Level returns the level of a request with a priority, from 0, the highest. late means that it can't be in time any more.
func (l Levels) Level(priority int, late bool) PriorityLevel {
	const kinds = 2
	undivided := max(kinds*l.Priorities-PriorityLevels, 0)
	level := max(priority, 0)
	if level >= undivided {
		level = undivided + kinds*(level-undivided)
		if late {
			level++
		}
	}
	return PriorityLevel(min(level, PriorityLevels-1))
}
