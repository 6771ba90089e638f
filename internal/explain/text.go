package explain

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Text writes a story for people.
func Text(out io.Writer, story Story) error {
	text := bufio.NewWriter(out)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(text, format+"\n", values...) }
	for _, try := range story.Tries {
		line("%s request %s at %s: %s, status %s%s, after %s ms", try.Time, try.get("id"), try.Process, try.get("outcome"), try.get("status"),
			withReason(try.get("reason")), try.get("took_ms"))
		if resumes := try.get("resumes"); resumes != "" {
			line("  takes up the stream of request %s", resumes)
		}
		line("  route %q, service %q, customer %q, priority %s; configuration version %s, confirmed %s ms before", try.get("route"), try.get("service"),
			try.get("customer"), try.get("rank"), try.get("version"), try.get("config_age_ms"))
		switch key := try.get("key"); {
		case key != "" && try.get("key_customer") != "":
			line("  key %s was customer %q's, until version %s", key, try.get("key_customer"), try.get("withdrawn_version"))
		case key != "":
			line("  key %s was not valid in any version that the process has had since its start", key)
		}
		for index, attempt := range try.Attempts {
			line("  attempt %d: server %s, %s after %s ms%s", index+1, attempt.Server, attempt.Outcome, attempt.Duration, withReason(attempt.Cause))
		}
		if len(try.Attempts) == 0 {
			line("  no server got it")
		}
		for _, each := range try.Context {
			line("    %s %s%s", each.Time, each.Event, pairs(each))
		}
	}
	for _, question := range story.Questions {
		line("%s %s asked where the stream began:%s", question.Time, question.Process, pairs(question))
	}
	if len(story.Builds) > 1 {
		line("processes of several builds: %s", strings.Join(story.Builds, ", "))
	}
	if story.Dropped > 0 {
		line("%d log lines were dropped by their processes; what is missing here may be among them", story.Dropped)
	}
	return text.Flush()
}

func withReason(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

// pairs returns the pairs of a line, each after a space.
func pairs(line Line) string {
	var text strings.Builder
	for _, pair := range line.Pairs {
		value := pair.Value
		if value == "" || strings.ContainsAny(value, " \"=") {
			value = strconv.Quote(value)
		}
		text.WriteString(" " + pair.Key + "=" + value)
	}
	return text.String()
}
