package origin

import (
	"maps"
	"slices"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Knowledge says what an instance knows of a stream's origin.
type Knowledge int

// What an instance may know.
const (
	// Nothing means that the instance has not watched the servers for long enough, or has no recent list of them.
	Nothing Knowledge = iota
	// Known means that it knows the stream.
	Known
	// SoleVersion means that the service has had one version only.
	SoleVersion
	// SeveralVersions means that the service has had several and the stream is not known.
	SeveralVersions
)

// Answer is what an instance knows of the origin of a stream.
type Answer struct {
	// Stream and Service are those of the question, and Software is the version if it is Known or the SoleVersion.
	Origin    `cbor:"1,keyasint"`
	Knowledge Knowledge `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if a field is out of range. The stream of a caller that names no earlier request has no id and is not known.
func (a Answer) Check() error {
	if a.Knowledge == Known && a.Stream == "" || a.Knowledge < Nothing || a.Knowledge > SeveralVersions {
		return oops.Errorf("answer on a stream: found stream %.40q and knowledge %d, want an id of a known stream and a number from %d to %d",
			a.Stream, a.Knowledge, Nothing, SeveralVersions)
	}
	return nil
}

// Answer returns what this instance knows of the origin of a stream. fresh means that its list of servers is up to date; otherwise a service may
// have versions that it has not seen.
func (r *Registry) Answer(id ident.Request, service ident.Pool, fresh bool) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer(id, service, fresh)
}

// answer is Answer; the caller holds mu.
func (r *Registry) answer(id ident.Request, service ident.Pool, fresh bool) Answer {
	if known, found := r.lookup(id); found {
		return Answer{Origin: known, Knowledge: Known}
	}
	answer := Answer{Origin: Origin{Stream: id, Service: service}}
	if len(r.recent(r.config.Now(), service)) > 1 {
		answer.Knowledge = SeveralVersions
	} else if software, sole := r.sole(service); sole && fresh {
		answer.Software, answer.Knowledge = software, SoleVersion
	}
	return answer
}

// Question is a question to other instances about a stream.
type Question struct {
	stream  ident.Request
	service ident.Pool
	// unanswered is the number of instances that have not answered; guarded by the registry's mu.
	unanswered int
	// answers are those that have come, by instance; guarded by the registry's mu.
	answers map[ident.Process]Answer
	settled chan struct{}
}

// Ask registers a question to a number of instances; the caller sends it to them and calls Close at the end.
func (r *Registry) Ask(id ident.Request, service ident.Pool, instances int) *Question {
	r.mu.Lock()
	defer r.mu.Unlock()
	question := &Question{
		stream: id, service: service, unanswered: instances, answers: make(map[ident.Process]Answer), settled: make(chan struct{}),
	}
	r.waiting[question] = struct{}{}
	return question
}

// Settled is closed once the stream is known, or all instances have answered and the answers name one version. It stays open if they leave the
// version undecided: an instance that is told where the stream began may be told after its answer.
func (q *Question) Settled() <-chan struct{} { return q.settled }

// Receive applies an answer of another instance.
func (r *Registry) Receive(from ident.Process, answer Answer) {
	if answer.Knowledge == Known {
		r.Merge([]Origin{answer.Origin})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for question := range r.waiting {
		if _, repeated := question.answers[from]; repeated || question.stream != answer.Stream || question.service != answer.Service {
			continue
		}
		question.answers[from] = answer
		question.unanswered--
		if _, decided := soleVersion(slices.Collect(maps.Values(question.answers))); decided && question.unanswered <= 0 {
			r.settle(question)
		}
	}
}

// settle ends a question; the caller holds mu.
func (r *Registry) settle(question *Question) {
	delete(r.waiting, question)
	close(question.settled)
}

// View says how recent an instance's list of servers is.
type View struct {
	// Fresh means that the list is as recent as the feed shows; a cut that nobody has noticed yet may hide a new version.
	Fresh bool
	// Confirmed means that the store has responded just now.
	Confirmed bool
}

// Close ends a question and returns where the stream began, if that is certain: an instance knows it, or the service has had one
// version only, of which this instance or one that answered is sure, and none that answered has seen several. An instance to which no other
// answers may be cut off, so that it trusts its list only if it is confirmed.
func (r *Registry) Close(question *Question, view View) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, question)
	own := r.answer(question.stream, question.service, view.Fresh && (view.Confirmed || len(question.answers) > 0))
	if own.Knowledge == Known {
		return own.Origin, true
	}
	software, found := soleVersion(append(slices.Collect(maps.Values(question.answers)), own))
	return Origin{Stream: question.stream, Service: question.service, Software: software}, found
}

// soleVersion returns the only software version that answers on an unknown stream name, if they agree.
func soleVersion(answers []Answer) (software ident.Software, found bool) {
	for _, answer := range answers {
		switch {
		case answer.Knowledge == SeveralVersions, answer.Knowledge == SoleVersion && found && answer.Software != software:
			return "", false
		case answer.Knowledge == SoleVersion:
			software, found = answer.Software, true
		}
	}
	return software, found
}
