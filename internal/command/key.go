package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/settings"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// keyVariable is the environment variable for the key to digest if no file is given.
const keyVariable = "VANILLAPOND_KEY"

// patchAttempts limits how often a patch is sent: on a newer version, or again after a lost response.
const patchAttempts = 8

type keyCommand struct {
	Make     keyMakeCommand     `command:"make"     description:"print a new key and its digest"`
	Digest   keyDigestCommand   `command:"digest"   description:"print the digest of a key from a file or VANILLAPOND_KEY"`
	Issue    keyIssueCommand    `command:"issue"    description:"make a key for a customer and put it in force"`
	Withdraw keyWithdrawCommand `command:"withdraw" description:"withdraw the key with a digest"`
}

type keyMakeCommand struct{ command }

func (*keyMakeCommand) run(env *environment) error {
	key := newKey()
	_, err := fmt.Fprintf(env.out, "key %s\ndigest %s\n", key, ident.DigestKey(key))
	return err
}

func newKey() string { return "vp-" + strings.ToLower(rand.Text()) }

type keyDigestCommand struct {
	command
	File string `long:"file" value-name:"FILE" description:"file that holds the key"`
}

func (c *keyDigestCommand) run(env *environment) error {
	key, err := settings.Secret(c.File, keyVariable)
	if err != nil {
		return usageError(err)
	}
	_, err = fmt.Fprintln(env.out, ident.DigestKey(key))
	return err
}

type keyIssueCommand struct {
	command
	operatorOptions
	Customer ident.Customer `long:"customer" required:"true" description:"customer that the key acts for"`
	Classes  []ident.Class  `long:"class" required:"true" description:"class that the key may use; repeatable, the first is the default"`
	File     string         `long:"key-file" required:"true" value-name:"FILE" description:"new file that gets the key"`
}

// run writes the key to a new file before it adds the key to the configuration, so that a key in force is never lost.
func (c *keyIssueCommand) run(env *environment) error {
	key := newKey()
	file, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return usageError(err)
	}
	_, err = fmt.Fprintln(file, key)
	if err := errors.Join(err, file.Close()); err != nil {
		return oops.Wrapf(err, "key file")
	}
	digest := ident.DigestKey(key)
	if _, err := fmt.Fprintln(env.out, "digest", digest); err != nil {
		return err
	}
	issued := configuration.Key{Digest: digest, Customer: c.Customer, Classes: c.Classes}
	return c.applyToCurrent(env, configuration.Patch{Set: configuration.Entities{Keys: []configuration.Key{issued}}})
}

type keyWithdrawCommand struct {
	command
	operatorOptions
	Digest ident.KeyDigest `long:"digest" required:"true" description:"digest of the key"`
}

func (c *keyWithdrawCommand) run(env *environment) error {
	if err := c.Digest.Check(); err != nil {
		return usageError(err)
	}
	return c.applyToCurrent(env, configuration.Patch{Remove: configuration.Removals{Keys: []ident.KeyDigest{c.Digest}}})
}

// applyToCurrent applies a patch to the current version, whichever that is. The patch must not depend on other changes.
func (o operatorOptions) applyToCurrent(env *environment, patch configuration.Patch) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	patch.ID = ident.Patch(strings.ToLower(ulid.Make().String()))
	response, err := applyPatch(env.ctx, client, patch)
	if err != nil {
		return err
	}
	return printPatchResult(env, response)
}

// applyPatch sends a patch. If the outcome is unknown, since the response was lost, it sends the same patch again; if another
// patch was accepted first, it sends the patch on the new current version.
func applyPatch(ctx context.Context, client *operator.Client, patch configuration.Patch) (*operator.PatchResponse, error) {
	var lastErr error
	hasBase := false
	for range patchAttempts {
		if !hasBase {
			current, err := client.History(ctx, 0)
			if err != nil {
				return nil, err
			}
			patch.Base = current.Version
		}
		response, err := client.Patch(ctx, operator.PatchRequest{Patch: patch})
		if err == nil {
			return response, nil
		}
		lastErr = err
		switch connect.CodeOf(err) {
		case connect.CodeAborted:
			hasBase = false
		case connect.CodeUnknown:
			hasBase = true
		default:
			return nil, err
		}
	}
	return nil, lastErr
}
