package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"vanillapond/internal/process/event"
)

// Text writes one line an event.
func Text(w io.Writer, events []event.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, line(e)); err != nil {
			return err
		}
	}
	return nil
}

// JSON writes the events as a document with a list.
func JSON(w io.Writer, events []event.Event) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(event.List{Events: events})
}

// line returns the event's time, process and name, then what is known of it.
func line(e event.Event) string {
	stamp := time.UnixMilli(e.Time.WallMS).UTC().Format("15:04:05.000")
	parts := []string{fmt.Sprintf("%s %-14s %-24s", stamp, e.Process, e.Name)}
	for _, pair := range e.AllAttributes() {
		parts = append(parts, pair.Key+"="+pair.Value)
	}
	return strings.TrimRight(strings.Join(parts, " "), " ")
}
