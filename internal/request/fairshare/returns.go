package fairshare

import "time"

// maxReturns is the number of refused requests of which the time to retry after is kept.
const maxReturns = 1024

// returns holds when refused requests should return. The newest refusals are kept.
type returns struct {
	due map[uint64]time.Time
	// order holds the digests of due as a ring, in which next is the oldest one once it is full.
	order []uint64
	next  int
}

func newReturns() returns { return returns{due: make(map[uint64]time.Time)} }

// record records that a request was refused.
func (r *returns) record(now time.Time, digest uint64, retryAfter time.Duration) {
	if _, known := r.due[digest]; !known {
		if len(r.order) < maxReturns {
			r.order = append(r.order, digest)
		} else {
			delete(r.due, r.order[r.next])
			r.order[r.next] = digest
			r.next = (r.next + 1) % maxReturns
		}
	}
	r.due[digest] = now.Add(retryAfter)
}

// early reports whether a request was refused and should return later.
func (r *returns) early(now time.Time, digest uint64) bool {
	due, known := r.due[digest]
	return known && now.Before(due)
}
