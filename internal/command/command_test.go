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
