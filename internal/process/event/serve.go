package event

import (
	"encoding/json"
	"net/http"
)

// PathEvents is the path at which a process's private listener serves its events.
const PathEvents = "/events"

// Timeline is the response to a request for PathEvents: the events that the process keeps.
type Timeline struct {
	Events []Event `json:"events"`
}

// ServeHTTP implements http.Handler: it responds with the kept events, oldest first.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Timeline{Events: r.Events()})
}
