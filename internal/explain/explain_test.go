package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/explain"
)

// Logs of two router instances; the first one has the prefix of a log collector.
const (
	logA = `host-1 vp[7]: t=10:00:00.000 event=start process=front-a build=0.1.0
host-1 vp[7]: t=10:00:01.000 event=store_lost call=/rows-get err="context deadline exceeded"
host-1 vp[7]: t=10:00:09.000 event=server_crashed server=i-1 service=s err="connection reset"
host-1 vp[7]: t=10:00:09.100 event=server_crashed server=i-9 service=s err="connection reset"
host-1 vp[7]: t=10:00:09.200 event=store_regained call=/rows-get
host-1 vp[7]: t=10:00:10.000 event=request id=r1 route=chat service=s customer=school rank=2 outcome=cut status=200 reason="server gave no whole answer" took_ms=3000 version=7 config_age_ms=40 server=i-1 software=v1 sent=lost sent_ms=900 err="unexpected EOF" server=i-2 software=v1 sent=lost sent_ms=2000
out of memory
host-1 vp[7]: t=10:00:12.000 event=log_dropped kind=request_served lines=12
`
	logB = `t=10:00:00.000 event=start process=front-b build=0.2.0
t=10:00:10.500 event=stream_origin stream=r1 service=s found=true software=v1 asked=1 took=1ms
t=10:00:11.000 event=request id=r2 route=chat service=s customer=school rank=2 outcome=served status=200 reason= took_ms=500 version=7 config_age_ms=30 server=i-3 software=v1 sent=done sent_ms=490 resumes=r1
t=10:00:11.500 event=request id=r3 route= service= customer= rank=0 outcome=denied status=401 reason="no such key" took_ms=0 version=7 config_age_ms=30 key=0a1b key_customer=school withdrawn_version=6
`
)

func explained(t *testing.T, request string) explain.Story {
	t.Helper()
	story, err := explain.Explain(request, []explain.Log{
		{Name: "a.log", Reader: strings.NewReader(logA)}, {Name: "b.log", Reader: strings.NewReader(logB)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return story
}

// TestStreamOverTwoInstances checks that the attempts of a request, what happened to its servers and the store meanwhile, and the request that took its
// stream up at another instance are joined.
func TestStreamOverTwoInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	story := explained(t, "r1")
	is.Equal(len(story.Tries), 2)
	first, second := story.Tries[0], story.Tries[1]
	is.Equal(first.Process, "front-a")
	is.Equal(first.Attempts, []explain.Attempt{
		{Server: "i-1", Outcome: "lost", Duration: "900", Cause: "unexpected EOF"}, {Server: "i-2", Outcome: "lost", Duration: "2000"},
	})
	var context []string
	for _, line := range first.Context {
		context = append(context, line.Event)
	}
	is.Equal(context, []string{"server_crashed", "store_regained"})
	is.Equal(second.Process, "front-b")
	is.Equal(len(second.Attempts), 1)
	is.Equal(len(story.Questions), 1)
	is.Equal(story.Builds, []string{"0.1.0", "0.2.0"})
	is.Equal(story.Dropped, 12)
	is.Equal(story.Unreadable, 1)
}

func TestText(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var text bytes.Buffer
	is.NoErr(explain.Text(&text, explained(t, "r1")))
	for _, want := range []string{
		"10:00:10.000 request r1 at front-a: cut, status 200 (server gave no whole answer), after 3000 ms",
		"  attempt 1: server i-1, lost after 900 ms (unexpected EOF)",
		`10:00:09.000 server_crashed server=i-1 service=s err="connection reset"`,
		"  takes up the stream of request r1",
		"processes of several builds: 0.1.0, 0.2.0",
		"12 log lines were dropped",
	} {
		is.True(strings.Contains(text.String(), want)) // the text has the wanted part
	}
	text.Reset()
	is.NoErr(explain.Text(&text, explained(t, "r3")))
	is.True(strings.Contains(text.String(), "denied, status 401 (no such key)"))
	is.True(strings.Contains(text.String(), "no server got it"))
	is.True(strings.Contains(text.String(), `key 0a1b was customer "school"'s, until version 6`))
}

func TestUnknownRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := explain.Explain("nowhere", []explain.Log{{Name: "a.log", Reader: strings.NewReader(logA)}})
	is.True(err != nil)
	is.Equal(err.Error(), "request nowhere: no log names it; read 8 lines of 1 logs, 12 lines were dropped by their processes, 1 are not theirs")
}

// TestLongLine checks that a line that exceeds the limit is an error, not the silent end of a log.
func TestLongLine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := explain.Explain("r", []explain.Log{{Name: "a.log", Reader: strings.NewReader("t=" + strings.Repeat("x", 2<<20))}})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "a.log"))
}

func FuzzExplain(f *testing.F) {
	f.Add(logA)
	f.Add(logB)
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = explain.Explain("r1", []explain.Log{{Name: "log", Reader: strings.NewReader(text)}})
	})
}
