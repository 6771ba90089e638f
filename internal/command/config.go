package command

import (
	"encoding/json"
	"fmt"
	"time"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/settings"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/operator"
)

// credentialVariable is the environment variable for the operator's credential if no file is given.
const credentialVariable = "VANILLAPOND_OPERATOR" //nolint:gosec // This is the name of a variable, not a credential.

// operatorOptions are the options of commands that use the operators' API.
type operatorOptions struct {
	Entry          string `long:"entry" required:"true" value-name:"URL" description:"operator address of an entry"`
	Authority      string `long:"authority-file" value-name:"FILE" description:"certificates that sign the entry's, for https"`
	CredentialFile string `long:"credential-file" value-name:"FILE" description:"file with the credential; else VANILLAPOND_OPERATOR"`
}

func (o operatorOptions) client() (*operator.Client, error) {
	credential, err := settings.Secret(o.CredentialFile, credentialVariable)
	if err != nil {
		return nil, usageError(err)
	}
	httpClient, err := certificate.NewClientWithAuthority(o.Authority)
	if err != nil {
		return nil, usageError(err)
	}
	return operator.New(operator.Config{BaseURL: o.Entry, Credential: credential, HTTP: httpClient}), nil
}

type configCommand struct {
	Get     configGetCommand     `command:"get"   description:"print the current configuration"`
	Patch   configPatchCommand   `command:"patch" description:"apply a patch to the version that it names"`
	History configHistoryCommand `command:"history" description:"list the last accepted patches"`
}

type configGetCommand struct {
	command
	operatorOptions
}

func (c *configGetCommand) run(env *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Get(env.ctx)
	if err != nil {
		return err
	}
	return printJSON(env, response.Configuration)
}

type configHistoryCommand struct {
	command
	operatorOptions
	Limit int `long:"limit" default:"20" description:"how many patches to list"`
}

func (c *configHistoryCommand) run(env *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.History(env.ctx, c.Limit)
	if err != nil {
		return err
	}
	for _, change := range response.Changes {
		if _, err := fmt.Fprintln(env.out, change); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(env.out, "current version %d\n", response.Version)
	return err
}

type configPatchCommand struct {
	command
	operatorOptions
	File string `long:"file" required:"true" value-name:"FILE" description:"YAML patch"`
}

func (c *configPatchCommand) run(env *environment) error {
	patch, err := settings.Read[configuration.Patch](c.File)
	if err != nil {
		return usageError(err)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Patch(env.ctx, operator.PatchRequest{Patch: patch})
	if err != nil {
		return err
	}
	return printPatchResult(env, response)
}

// printPatchResult prints the version that contains a patch and the processes in which it is not in force yet.
func printPatchResult(env *environment, response *operator.PatchResponse) error {
	if _, err := fmt.Fprintf(env.out, "version %d\n", response.Version); err != nil {
		return err
	}
	for _, name := range response.Missing {
		if _, err := fmt.Fprintf(env.out, "%s does not hold it; it takes keys by an older version until %s at the latest\n",
			name, response.StaleUntil.Format(time.RFC3339)); err != nil {
			return err
		}
	}
	return nil
}

func printJSON(env *environment, value any) error {
	encoder := json.NewEncoder(env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
