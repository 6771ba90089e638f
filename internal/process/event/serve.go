package event

import (
	"encoding/json"
	"net/http"
)

// PathEvents is the path at which a process's private listener serves its events.
const PathEvents = "/events"

// List is a JSON document with events, such as the response to a request for PathEvents.
type List struct {
	Events []Event `json:"events"`
}

// ServeHTTP implements http.Handler: it responds with the kept events, oldest first.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(List{Events: r.Events()})
}
