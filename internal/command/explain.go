package command

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"vanillapond/internal/explain"
)

type explainCommand struct {
	command
	Logs      []string `long:"log" required:"true" value-name:"FILE" description:"log of a router process; repeatable, - for standard input"`
	Format    string   `long:"format" default:"text" choice:"text" choice:"json" description:"form of the output"`
	Arguments struct {
		Request string `positional-arg-name:"ID" description:"id of the caller's request"`
	} `positional-args:"true" required:"true"`
}

func (c *explainCommand) run(env *environment) error {
	var logs []explain.Log
	for _, path := range c.Logs {
		if path == "-" {
			logs = append(logs, explain.Log{Name: "standard input", Reader: os.Stdin})
			continue
		}
		file, err := os.Open(path) //nolint:gosec // The operator names the file.
		if err != nil {
			return usageError(oops.Wrapf(err, "--log"))
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, explain.Log{Name: filepath.Base(path), Reader: file})
	}
	story, err := explain.Explain(c.Arguments.Request, logs)
	if err != nil {
		return err
	}
	return explainWriter(c.Format)(env.out, story)
}

func explainWriter(format string) func(io.Writer, explain.Story) error {
	if format != "json" {
		return explain.Text
	}
	return func(out io.Writer, story explain.Story) error {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(story)
	}
}
