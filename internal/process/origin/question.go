package origin

import (
	"unicode/utf8"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Knowledge says what an instance knows of a stream's origin.
type Knowledge int

// What an instance may know. The number 2 was that of an instance that had seen one version only: that may be outdated, so it counts as Nothing.
const (
	// Nothing means that the instance does not know the stream, and has not seen several versions.
	Nothing Knowledge = 0
	// Known means that it knows the stream.
	Known Knowledge = 1
	// SeveralVersions means that the service has had several and the stream is not known.
	SeveralVersions Knowledge = 3
)

// Answer is what an instance knows of the origin of a stream.
type Answer struct {
	// Stream and Service are those of the question, and Software is the version if it is Known.
	Origin    `cbor:"1,keyasint"`
	Knowledge Knowledge `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if a field is out of range. The stream of a caller that names no earlier request has no id and is not known.
func (a Answer) Check() error {
	if a.Knowledge == Known && a.Stream == "" || a.Knowledge < Nothing || a.Knowledge > SeveralVersions {
		return oops.Errorf("answer on a stream: found stream %.40q and knowledge %d, want an id of a known stream and a number from %d to %d",
			a.Stream, a.Knowledge, Nothing, SeveralVersions)
	}
	return a.Origin.Check()
}

// Answer returns what this instance knows of the origin of a stream.
func (r *Registry) Answer(id ident.Request, service ident.Pool) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.lookup(newStreamKey(id)); known != nil {
		told := known.toTell(r.config.Now())
		told.Stream = id
		return Answer{Origin: told, Knowledge: Known}
	}
	answer := Answer{Origin: Origin{Stream: id, Service: service}}
	if len(r.recent(r.config.Now(), service)) > 1 {
		answer.Knowledge = SeveralVersions
	}
	return answer
}

// Question is a question to other instances about a stream.
type Question struct {
	stream  ident.Request
	key     streamKey
	service ident.Pool
	// severalSeen is set once an instance has answered that it has seen several versions; guarded by the registry's mu.
	severalSeen bool
	settled     chan struct{}
}

// Ask registers a question to other instances; the caller sends it to them and calls Close at the end.
func (r *Registry) Ask(id ident.Request, service ident.Pool) *Question {
	r.mu.Lock()
	defer r.mu.Unlock()
	question := &Question{stream: id, key: newStreamKey(id), service: service, settled: make(chan struct{})}
	r.waiting[question] = struct{}{}
	return question
}

// maxAskedBytes is the length up to which a question holds the id of a stream itself, which an instance of an earlier version may know.
const maxAskedBytes = 16 << 10

// Subject returns the stream and the service of the question.
func (q *Question) Subject() Origin {
	if len(q.stream) > maxAskedBytes || !utf8.ValidString(string(q.stream)) {
		return Origin{Stream: ident.Request(q.key), Service: q.service}
	}
	return Origin{Stream: q.stream, Service: q.service}
}

// Settled is closed once the stream is known. No other answer settles a question: an instance that is told where the stream began may be told after
// its answer.
func (q *Question) Settled() <-chan struct{} { return q.settled }

// Receive applies an answer of another instance.
func (r *Registry) Receive(answer Answer) {
	if answer.Knowledge == Known {
		r.Merge([]Origin{answer.Origin})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := newStreamKey(answer.Stream)
	for question := range r.waiting {
		if question.key == key && question.service == answer.Service && answer.Knowledge == SeveralVersions {
			question.severalSeen = true
		}
	}
}

// settle ends a question; the caller holds mu.
func (r *Registry) settle(question *Question) {
	delete(r.waiting, question)
	close(question.settled)
}

// Close ends a question and returns where the stream began, if that is certain: an instance knows it, or its service has had one version only. The
// latter is known only if the list of servers is current as of the question or later, for a stream may have begun at a version that joined just before,
// and if none that answered has seen several.
func (r *Registry) Close(question *Question, listCurrent bool) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, question)
	if known := r.lookup(question.key); known != nil {
		found := known.Origin
		found.Stream = question.stream
		return found, true
	}
	began := Origin{Stream: question.stream, Service: question.service}
	software, sole := r.sole(question.service)
	if !listCurrent || !sole || question.severalSeen {
		return began, false
	}
	began.Software = software
	return began, true
}

// HasSoleVersion reports whether a service has had one software version only for as long as a stream may be taken up, as far as is known here.
func (r *Registry) HasSoleVersion(service ident.Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, sole := r.sole(service)
	return sole
}
