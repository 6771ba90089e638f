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

// credentialVariable is the environment variable that may hold the operator's credential.
const credentialVariable = "VANILLAPOND_OPERATOR" //nolint:gosec // The name of a variable.

// operatorOptions say how the operators' API is reached.
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
	dialer, err := certificate.NewClientWithAuthority(o.Authority)
	if err != nil {
		return nil, usageError(err)
	}
	return operator.New(operator.Config{BaseURL: o.Entry, Credential: credential, HTTP: dialer}), nil
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

func (c *configGetCommand) run(shell *shell) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Get(shell.ctx)
	if err != nil {
		return err
	}
	return printJSON(shell, answer.Configuration)
}

type configHistoryCommand struct {
	command
	operatorOptions
	Limit int `long:"limit" default:"20" description:"how many patches to list"`
}

func (c *configHistoryCommand) run(shell *shell) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.History(shell.ctx, c.Limit)
	if err != nil {
		return err
	}
	for _, change := range answer.Changes {
		if _, err := fmt.Fprintln(shell.out, change); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(shell.out, "current version %d\n", answer.Version)
	return err
}

type configPatchCommand struct {
	command
	operatorOptions
	File string `long:"file" required:"true" value-name:"FILE" description:"YAML patch"`
}

func (c *configPatchCommand) run(shell *shell) error {
	patch, err := settings.Read[configuration.Patch](c.File)
	if err != nil {
		return usageError(err)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Patch(shell.ctx, operator.PatchRequest{Patch: patch})
	if err != nil {
		return err
	}
	return printAccepted(shell, answer)
}

// printAccepted says which version holds a patch and where it is not in force yet.
func printAccepted(shell *shell, answer *operator.PatchResponse) error {
	if _, err := fmt.Fprintf(shell.out, "version %d\n", answer.Version); err != nil {
		return err
	}
	for _, name := range answer.Missing {
		if _, err := fmt.Fprintf(shell.out, "%s does not hold it; it takes keys by an older version until %s at the latest\n",
			name, answer.StaleUntil.Format(time.RFC3339)); err != nil {
			return err
		}
	}
	return nil
}

func printJSON(shell *shell, value any) error {
	encoder := json.NewEncoder(shell.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
