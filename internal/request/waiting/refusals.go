package waiting

import (
	"time"

	"vanillapond/pkg/ident"
)

const (
	// maxRefusals bounds the refusals that a service remembers.
	maxRefusals = 1024
	// returnTolerance is how much earlier than its Retry-After a caller may return, because the header is rounded.
	returnTolerance = resolution
)

// refusalKey identifies the requests that are taken for repetitions of a refused one.
type refusalKey struct {
	customer ident.Customer
	digest   uint64
}

// refusals remembers when refused callers were asked to return; the zero value remembers none. When it is full, the oldest refusal is forgotten.
type refusals struct {
	byKey map[refusalKey]refusal
	// order holds the refusals from the oldest to the newest, in a ring that begins at the index oldest once it has maxRefusals. Those that are not in
	// byKey any more stay until they are overwritten, so byKey has no more entries than order.
	order    []orderedRefusal
	oldest   int
	sequence uint64
}

type refusal struct {
	returnAt time.Time
	sequence uint64
}

type orderedRefusal struct {
	key      refusalKey
	sequence uint64
}

// standing returns the standing of a request that arrives now. A refusal is forgotten when its caller has returned.
func (r *refusals) standing(now time.Time, request Request) Standing {
	key := refusalKey{request.Customer, request.Digest}
	known, found := r.byKey[key]
	switch {
	case !found:
		return Fresh
	case now.Before(known.returnAt.Add(-returnTolerance)):
		return Early
	default:
		delete(r.byKey, key)
		return Returned
	}
}

// remaining returns for how long the caller of an earlier refusal of the request is still asked to wait; 0 if there is none.
func (r *refusals) remaining(now time.Time, request Request) time.Duration {
	return max(r.byKey[refusalKey{request.Customer, request.Digest}].returnAt.Sub(now), 0)
}

// record remembers a refusal.
func (r *refusals) record(request Request, returnAt time.Time) {
	if r.byKey == nil {
		r.byKey = make(map[refusalKey]refusal)
	}
	r.sequence++
	added := orderedRefusal{refusalKey{request.Customer, request.Digest}, r.sequence}
	if len(r.order) < maxRefusals {
		r.order = append(r.order, added)
	} else {
		if forgotten := r.order[r.oldest]; r.byKey[forgotten.key].sequence == forgotten.sequence {
			delete(r.byKey, forgotten.key)
		}
		r.order[r.oldest] = added
		r.oldest = (r.oldest + 1) % maxRefusals
	}
	r.byKey[added.key] = refusal{returnAt, r.sequence}
}
