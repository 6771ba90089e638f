package event

import (
	"encoding/json"
	"net/http"
)

// PathEvents is where a process's private listener gives its events.
const PathEvents = "/events"

// List is the kept part of one process's events.
type List struct {
	Events []Event `json:"events"`
}

// ServeHTTP implements http.Handler: it answers with the kept events, oldest first.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(List{Events: r.Events()})
}
