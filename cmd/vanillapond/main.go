// Command vanillapond routes language-model traffic with service levels and priorities.
package main

import (
	"os"

	"vanillapond/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
