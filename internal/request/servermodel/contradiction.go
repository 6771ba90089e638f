package servermodel

import "time"

// Cause says in which way a server's load header is false.
type Cause int

// Causes.
const (
	// Malformed headers cannot be read.
	Malformed Cause = iota
	// WorkOutOfRange is a work figure beyond a factor of 4 around the normal one.
	WorkOutOfRange
	// WorkContradicted is a work figure that the times of responses do not follow.
	WorkContradicted
	// RunningContradicted is a number of requests below a quarter of this instance's own that run there.
	RunningContradicted
	// SlotsContradicted is a number of slots that differs by more than a factor of 4 from the registered one.
	SlotsContradicted
	// OtherIncarnation is a header of a request that was sent before the server restarted.
	OtherIncarnation
	causes
)

var causeNames = [causes]string{
	"malformed", "work_out_of_range", "work_contradicted", "running_contradicted", "slots_contradicted", "other_incarnation",
}

func (c Cause) String() string { return causeNames[c] }

// Finding is a false load header of a server.
type Finding struct {
	Cause Cause
	// First is set for the first one with this cause since the server started.
	First bool
}

// Load is the load header of a response, with what this instance knows about the server.
type Load struct {
	// Requests are the running and waiting requests, Slots those that run at a time.
	Requests, Slots int
	// WorkPercent is how long work takes now, 100 as normal; 0 if the header does not say.
	WorkPercent float64
	// OwnRunning counts this instance's requests that certainly run at the server, and RegisteredSlots is its registered number of slots.
	OwnRunning, RegisteredSlots int
}

// ObserveLoad records a load header. It returns in which way it is false, together with contradictions that later samples have shown.
func (s *Server) ObserveLoad(now time.Time, load Load) []Finding {
	if load.WorkPercent != 0 && !s.work.observe(now, load.WorkPercent, true) {
		s.notice(WorkOutOfRange)
	}
	// Streams that have just ended at the server may still be running here, so smaller differences prove nothing.
	const factor = 4
	if load.OwnRunning > factor*(load.Requests+1) {
		s.notice(RunningContradicted)
	}
	if load.RegisteredSlots > 0 && (load.Slots > factor*load.RegisteredSlots || load.RegisteredSlots > factor*load.Slots) {
		s.notice(SlotsContradicted)
	}
	return s.findings()
}

// ObserveFalseLoad records a load header that was found to be false otherwise.
func (s *Server) ObserveFalseLoad(cause Cause) []Finding {
	s.notice(cause)
	return s.findings()
}

func (s *Server) notice(cause Cause) { s.pending[cause] = true }

// findings returns what was noticed since the last call.
func (s *Server) findings() []Finding {
	var found []Finding
	for cause, pending := range s.pending {
		if pending {
			found = append(found, Finding{Cause: Cause(cause), First: !s.noticed[cause]})
			s.noticed[cause], s.pending[cause] = true, false
		}
	}
	return found
}
