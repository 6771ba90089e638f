package explain

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/samber/oops"
)

// timeFormat is that of the time of day in log lines.
const timeFormat = "15:04:05.000"

// Pair is a key with its value. A key may occur several times in a line, once for each attempt.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	// Process is the name of the process that wrote the line, or the name of its log if that does not tell.
	Process string `json:"process"`
	// Time is the time of day in UTC.
	Time  string `json:"time"`
	Event string `json:"event"`
	// Pairs are the others of the line, in order.
	Pairs []Pair `json:"pairs"`
	at    time.Time
}

// parse decodes a line. What stands before its time, such as the prefix of a log collector, is left out; a line without a time or an event is
// an error.
func parse(text string) (Line, error) {
	begin := 0
	if !strings.HasPrefix(text, "t=") {
		if begin = strings.Index(text, " t=") + 1; begin == 0 {
			return Line{}, oops.Errorf("found no time")
		}
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[begin:]))
	var line Line
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			switch key, value := string(decoder.Key()), string(decoder.Value()); {
			case key == "t" && line.Time == "":
				line.Time = value
			case key == "event" && line.Event == "":
				line.Event = value
			default:
				line.Pairs = append(line.Pairs, Pair{key, value})
			}
		}
	}
	if err := decoder.Err(); err != nil {
		return Line{}, oops.Wrapf(err, "decode pairs")
	}
	at, err := time.Parse(timeFormat, line.Time)
	if err != nil {
		return Line{}, oops.Wrapf(err, "time of day")
	}
	if line.Event == "" {
		return Line{}, oops.Errorf("found no event")
	}
	line.at = at
	return line, nil
}

// get returns the first value of a key, or an empty string.
func (l Line) get(key string) string {
	for _, pair := range l.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// all returns all values of a key.
func (l Line) all(key string) []string {
	var values []string
	for _, pair := range l.Pairs {
		if pair.Key == key {
			values = append(values, pair.Value)
		}
	}
	return values
}
