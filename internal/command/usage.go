package command

import (
	"fmt"

	"vanillapond/pkg/ident"
)

type usageCommand struct {
	command
	operatorOptions
	Customer ident.Customer `long:"customer" required:"true" value-name:"ID" description:"customer whose windows are listed"`
}

func (c *usageCommand) run(env *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Usage(env.ctx, c.Customer)
	if err != nil {
		return err
	}
	for _, window := range response.Windows {
		_, err := fmt.Fprintf(env.out, "window=%d state=%s partner=%s customer=%s requests=%d prompt=%d completion=%d\n",
			window.Window, window.State, window.Partner, window.Customer,
			window.Usage.Requests, window.Usage.Prompt, window.Usage.Completion)
		if err != nil {
			return err
		}
	}
	return nil
}
