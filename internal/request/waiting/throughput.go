package waiting

import "time"

// sentDecay is the factor by which the weight of earlier requests is multiplied with each one that is sent.
const sentDecay = 0.95

// throughput measures how fast waiting requests are sent, in work per time. It counts only the time in which requests wait: otherwise a service with little
// to do would seem slow. The zero value knows nothing.
type throughput struct {
	work, elapsed float64
	// since is the start of the time that is not counted yet, zero while none waits.
	since time.Time
}

func (t *throughput) resume(now time.Time) { t.since = now }

func (t *throughput) pause() { t.since = time.Time{} }

// observe counts a waiting request that is sent.
func (t *throughput) observe(now time.Time, work time.Duration) {
	if t.since.IsZero() {
		return
	}
	t.work = t.work*sentDecay + work.Seconds()
	t.elapsed = t.elapsed*sentDecay + max(now.Sub(t.since), 0).Seconds()
	t.since = now
}

// timeFor returns the time in which an amount of work is sent, 0 if that is not known.
func (t *throughput) timeFor(work time.Duration) time.Duration {
	if t.work <= 0 {
		return 0
	}
	return time.Duration(float64(work) * t.elapsed / t.work)
}
