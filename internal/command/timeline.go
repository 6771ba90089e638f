package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/timeline"
	"vanillapond/pkg/ident"
)

type timelineCommand struct {
	command
	Processes []string       `long:"process" required:"true" value-name:"URL" description:"private address of a process; repeatable"`
	Request   ident.Request  `long:"request" description:"only events of this request"`
	Customer  ident.Customer `long:"customer" description:"only events of this customer"`
	Endpoint  ident.Endpoint `long:"endpoint" description:"only events of this endpoint"`
	Lease     string         `long:"lease" description:"only events of this lease"`
	Version   ident.Version  `long:"version" description:"only events of this configuration version"`
	Name      event.Name     `long:"name" description:"only events of this name"`
	Last      time.Duration  `long:"last" description:"only events of this last time, such as 10m"`
	Format    string         `long:"format" default:"text" choice:"text" choice:"json" choice:"svg" description:"form of the output"`
}

func (c *timelineCommand) run(shell *shell) error {
	var processes [][]event.Event
	for _, process := range c.Processes {
		events, err := fetchEvents(shell, process)
		if err != nil {
			_, _ = fmt.Fprintf(shell.err, "vanillapond: no events of %s, what others saw of it follows: %v\n", process, err)
			continue
		}
		processes = append(processes, events)
	}
	return c.writer()(shell.out, timeline.Merge(c.filter(), processes...))
}

func (c *timelineCommand) filter() timeline.Filter {
	filter := timeline.Filter{
		Request: c.Request, Customer: c.Customer, Endpoint: c.Endpoint, Lease: c.Lease, Version: c.Version, Name: c.Name,
	}
	if c.Last > 0 {
		filter.Since = time.Now().Add(-c.Last)
	}
	return filter
}

func (c *timelineCommand) writer() func(io.Writer, []event.Event) error {
	switch c.Format {
	case "json":
		return timeline.JSON
	case "svg":
		return timeline.Lanes
	default:
		return timeline.Text
	}
}

func fetchEvents(shell *shell, process string) ([]event.Event, error) {
	request, err := http.NewRequestWithContext(shell.ctx, http.MethodGet, process+event.PathEvents, nil)
	if err != nil {
		return nil, oops.Wrapf(err, "request")
	}
	client := &http.Client{Timeout: fetchTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var kept event.List
	if err := json.NewDecoder(response.Body).Decode(&kept); err != nil {
		return nil, oops.Wrapf(err, "decode events")
	}
	return kept.Events, nil
}

// fetchTimeout bounds how long a process may take to give its events, also when it is frozen.
const fetchTimeout = 3 * time.Second
