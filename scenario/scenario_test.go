// Package scenario runs the test scripts in testdata, which start the system as separate processes and inject faults.
package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vanillapond": func() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenario(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		Cmds:                commands(),
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
	})
}
