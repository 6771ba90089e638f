package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"vanillapond/internal/process/event"
)

// Text writes one line per event.
func Text(w io.Writer, events []event.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, formatLine(e)); err != nil {
			return err
		}
	}
	return nil
}

// JSON writes the events as an indented JSON document.
func JSON(w io.Writer, events []event.Event) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(event.List{Events: events})
}

// formatLine returns the event's time, process and name, followed by its known attributes.
func formatLine(e event.Event) string {
	timestamp := time.UnixMilli(e.Time.WallMS).UTC().Format("15:04:05.000")
	fields := []string{fmt.Sprintf("%s %-14s %-24s", timestamp, e.Process, e.Name)}
	for _, attribute := range e.AllAttributes() {
		fields = append(fields, attribute.Key+"="+attribute.Value)
	}
	return strings.TrimRight(strings.Join(fields, " "), " ")
}
