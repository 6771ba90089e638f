package command_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/command"
)

func TestRun(t *testing.T) {
	t.Parallel()
	cases := []struct {
		arguments string
		status    int
		// out and err are substrings expected on standard output and standard error.
		out, err string
	}{
		{"--version", command.ExitOK, "vanillapond " + command.Build, ""},
		{"--help", command.ExitOK, "vanillapond timeline --process", ""},
		{"key digest --file /nowhere", command.ExitUsage, "", "no such file"},
		{"entry --settings /nowhere", command.ExitUsage, "", "/nowhere"},
		{"entry", command.ExitUsage, "", "--settings"},
		{"router --check", command.ExitUsage, "", "--settings"},
		{"state --router http://127.0.0.1:1", command.ExitFailed, "", "127.0.0.1:1"},
		{"state", command.ExitUsage, "", "--router"},
		{"explain r1 --log /nowhere", command.ExitUsage, "", "no such file"},
		{"explain --log /nowhere", command.ExitUsage, "", "ID"},
		{"explain r1 --log testdata/router.log", command.ExitOK, "request r1 at front-a: refused, status 503 (no server takes work)", ""},
		{"explain r2 --log testdata/router.log", command.ExitFailed, "", "request r2: no log names it; read 2 lines"},
		{"fly", command.ExitUsage, "", "Unknown command"},
		{"timeline --process http://127.0.0.1:1", command.ExitOK, "", "no events of http://127.0.0.1:1"},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(command.Run(strings.Fields(c.arguments), &out, &errOut), c.status)
			is.True(strings.Contains(out.String(), c.out))
			is.True(strings.Contains(errOut.String(), c.err))
		})
	}
}
