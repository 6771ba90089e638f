package command

import (
	"encoding/json"
	"fmt"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

type accountCommand struct {
	command
	operatorOptions
	Partner ident.Partner `long:"partner" required:"true" value-name:"ID" description:"partner whose final statement is made"`
}

// run prints the statement in its canonical form on one line and its digest on the next.
func (c *accountCommand) run(env *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Account(env.ctx, c.Partner)
	if err != nil {
		return err
	}
	body, err := json.Marshal(response.Account)
	if err != nil {
		return oops.Wrapf(err, "encode account")
	}
	_, err = fmt.Fprintf(env.out, "%s\nsha256 %s\n", body, response.Digest)
	return err
}
