// Package explain joins what the logs of all router instances say about one request.
//
// Lines hold the time of day only: logs of several days are to be given day by day.
package explain

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"
)

const (
	// contextTime is how long before a request what happened to its servers and to the store is shown.
	contextTime = 5 * time.Second
	// maxContext bounds the lines that are shown as the context of one request.
	maxContext = 40
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// maxRecent bounds the lines of a log that are kept as possible context of a later line.
	maxRecent = 1 << 14
)

// Log is the log of one process.
type Log struct {
	// Name names the log where its lines do not tell the process.
	Name   string
	Reader io.Reader
}

// Story is what the logs say about a request.
type Story struct {
	Request string `json:"request"`
	// Tries are the caller's requests: the one with the id, and those that take up its stream, in order.
	Tries []Try `json:"tries"`
	// Questions are the lines about where a stream of the tries began.
	Questions []Line `json:"questions,omitempty"`
	// Builds are the builds of the processes, each once; more than one may write different pairs.
	Builds []string `json:"builds,omitempty"`
	// Lines and Dropped count the lines that were read, and those that processes say they dropped.
	Lines   int `json:"lines"`
	Dropped int `json:"dropped"`
	// Unreadable counts the lines that are not a process's.
	Unreadable int `json:"unreadable"`
}

// Try is one request of a caller at one instance.
type Try struct {
	Line
	// Attempts are the attempts at servers, in order.
	Attempts []Attempt `json:"attempts,omitempty"`
	// Context holds the lines of the instance, from shortly before the request until its end, that are about its servers, the configuration or
	// the store.
	Context []Line `json:"context,omitempty"`
}

// Attempt is one attempt at a server.
type Attempt struct {
	Server   string `json:"server"`
	Outcome  string `json:"outcome"`
	Duration string `json:"duration_ms"`
	// Cause is the error that ended the attempt, if any.
	Cause string `json:"cause,omitempty"`
}

// dependencyEvents are the events about what all requests of an instance depend on.
var dependencyEvents = map[string]bool{
	"start": true, "stopping": true, "readiness": true, "store_lost": true, "store_regained": true, "store_restored": true,
	"feed_failed": true, "configuration": true, "configuration_behind": true, "log_dropped": true,
}

// Explain reads logs and returns what they say about a request. An error says that no log names it, and how much was read.
func Explain(request string, logs []Log) (Story, error) {
	story := Story{Request: request}
	for _, each := range logs {
		if err := story.read(each); err != nil {
			return Story{}, err
		}
	}
	if len(story.Tries) == 0 {
		return Story{}, oops.Errorf("request %s: no log names it; read %d lines of %d logs, %d lines were dropped by their processes, %d are not theirs",
			request, story.Lines, len(logs), story.Dropped, story.Unreadable)
	}
	byTime := func(a, b Line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(story.Tries, func(a, b Try) int { return byTime(a.Line, b.Line) })
	slices.SortStableFunc(story.Questions, byTime)
	slices.Sort(story.Builds)
	story.Builds = slices.Compact(story.Builds)
	return story, nil
}

// read adds what a log says.
func (s *Story) read(from Log) error {
	process := from.Name
	var recent []Line
	lines := bufio.NewScanner(from.Reader)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		s.Lines++
		line, err := parse(lines.Text())
		if err != nil {
			s.Unreadable++
			continue
		}
		if line.Event == "start" {
			process = cmp.Or(line.get("process"), process)
			s.Builds = append(s.Builds, line.get("build"))
		}
		line.Process = process
		s.add(line, recent)
		if recent = append(recent, line); len(recent) > maxRecent {
			recent = slices.Clone(recent[maxRecent/2:])
		}
	}
	return oops.Wrapf(lines.Err(), "read log %s after %d lines", from.Name, s.Lines)
}

// add adds a line if it is about the request; recent are the lines before it.
func (s *Story) add(line Line, recent []Line) {
	switch {
	case line.Event == "request" && (line.get("id") == s.Request || line.get("resumes") == s.Request):
		s.Tries = append(s.Tries, newTry(line, recent))
	case line.Event == "stream_origin" && line.get("stream") == s.Request:
		s.Questions = append(s.Questions, line)
	case line.Event == "log_dropped":
		dropped, _ := strconv.Atoi(line.get("lines"))
		s.Dropped += dropped
	}
}

// newTry returns a try from its line, which is written at its end.
func newTry(line Line, recent []Line) Try {
	try := Try{Line: line}
	for _, pair := range line.Pairs {
		last := len(try.Attempts) - 1
		switch {
		case pair.Key == "server":
			try.Attempts = append(try.Attempts, Attempt{Server: pair.Value})
		case last < 0:
		case pair.Key == "sent":
			try.Attempts[last].Outcome = pair.Value
		case pair.Key == "sent_ms":
			try.Attempts[last].Duration = pair.Value
		case pair.Key == "err":
			try.Attempts[last].Cause = pair.Value
		}
	}
	took, _ := strconv.Atoi(line.get("took_ms"))
	begin := line.at.Add(-time.Duration(took)*time.Millisecond - contextTime)
	servers := line.all("server")
	for _, each := range recent {
		about := dependencyEvents[each.Event] || each.Event != "request" && slices.Contains(servers, each.get("server"))
		if about && !each.at.Before(begin) && !each.at.After(line.at) {
			try.Context = append(try.Context, each)
		}
	}
	try.Context = try.Context[max(len(try.Context)-maxContext, 0):]
	return try
}
