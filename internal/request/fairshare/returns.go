package fairshare

import "time"

// maxReturns is the number of refused requests that are remembered.
const maxReturns = 1024

// refusal is what is remembered of a refused request.
type refusal struct {
	// due is when the request should return.
	due time.Time
	// counted reports whether the request was counted as demand, so that its repetitions are not.
	counted bool
}

// returns holds the newest refusals by the digest of the request.
type returns struct {
	refusals map[uint64]refusal
	// order holds the digests in the order of their first refusals as a ring, in which next is the oldest one once it is full. Those of requests
	// that were admitted since are left in it.
	order []uint64
	next  int
}

func newReturns() returns { return returns{refusals: make(map[uint64]refusal)} }

// record records that a request was refused.
func (r *returns) record(digest uint64, refused refusal) {
	if _, known := r.refusals[digest]; !known {
		if len(r.order) < maxReturns {
			r.order = append(r.order, digest)
		} else {
			delete(r.refusals, r.order[r.next])
			r.order[r.next] = digest
			r.next = (r.next + 1) % maxReturns
		}
	}
	r.refusals[digest] = refused
}

// counted reports whether a refused request was counted as demand.
func (r *returns) counted(digest uint64) bool { return r.refusals[digest].counted }

// remove removes a request that was admitted, and reports whether it was counted as demand.
func (r *returns) remove(digest uint64) bool {
	counted := r.refusals[digest].counted
	delete(r.refusals, digest)
	return counted
}

// early reports whether a request was refused and should return later.
func (r *returns) early(now time.Time, digest uint64) bool {
	refused, known := r.refusals[digest]
	return known && now.Before(refused.due)
}
