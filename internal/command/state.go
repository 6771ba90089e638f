package command

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/samber/oops"

	"vanillapond/internal/role/router"
)

type stateCommand struct {
	command
	Router string `long:"router" required:"true" value-name:"URL" description:"metrics address of a router, such as http://10.1.0.19:9464"`
	Format string `long:"format" default:"text" choice:"text" choice:"json" description:"form of the output"`
}

func (c *stateCommand) run(env *environment) error {
	request, err := http.NewRequestWithContext(env.ctx, http.MethodGet, c.Router+router.PathState, nil)
	if err != nil {
		return usageError(oops.Wrapf(err, "--router"))
	}
	client := &http.Client{Timeout: fetchTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return oops.Errorf("%s: returned status %d, want 200: is it the metrics address of a router?", c.Router, response.StatusCode)
	}
	var state router.State
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return oops.Wrapf(err, "decode the state of %s", c.Router)
	}
	if c.Format == "json" {
		encoder := json.NewEncoder(env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(state)
	}
	return writeState(env.out, state)
}

// writeState prints a router's state as lines of key=value pairs, and its servers as a table.
func writeState(out io.Writer, state router.State) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	line("process=%s incarnation=%s build=%s ready=%t reason=%q", state.Process, state.Incarnation, state.Build, state.Ready, state.Reason)
	line("version=%d config_age_ms=%d servers_age_ms=%d store_lost=%t", state.Version, state.ConfigAgeMS, state.ServersAgeMS, state.StoreLost)
	line("fence=%d usage_open=%d", state.Fence, state.UnreportedWindows)
	for _, service := range slices.Sorted(maps.Keys(state.RetriesRemaining)) {
		line("service=%s repeats_left=%.1f", service, state.RetriesRemaining[service])
	}
	for _, peer := range state.Peers {
		line("peer=%s incarnation=%s address=%s", peer.Process, peer.Incarnation, peer.Address)
	}
	line("server\tservice\taddress\tdomain\tstate\town\tactive\tslots\tprefill\tfailures\toverdue\tout_ms\tmissing")
	for _, server := range state.Servers {
		line("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t%t", server.Server, server.Service, server.Address, server.Domain, server.State,
			server.Local, server.Active, server.Slots, server.Prefill, server.Failures, server.Overdue, server.EjectedMS, server.Missing)
	}
	return table.Flush()
}
