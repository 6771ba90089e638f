package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"vanillapond/internal/process/listener"
	"vanillapond/internal/stub/authoritystub"
	"vanillapond/internal/stub/enginestub"
	"vanillapond/internal/stub/platformstub"
	"vanillapond/internal/stub/servicestub"
	"vanillapond/pkg/ident"
)

// exitCrash is the exit status of an engine stub that crashes on a request because of an injected fault.
const exitCrash = 3

type stubCommand struct {
	Platform stubPlatformCommand `command:"platform" description:"stand-in of the platform"`
	Engine   stubEngineCommand   `command:"engine"   description:"stand-in of a model engine"`
	Service  stubServiceCommand  `command:"service"  description:"stand-in of a plain service"`
	// Authority writes certificates for local tests.
	Authority stubAuthorityCommand `command:"authority" description:"write a stand-in authority and a certificate for loopback"`
}

type listenOptions struct {
	Listen string `long:"listen" required:"true" value-name:"HOST:PORT" description:"address to listen on"`
}

type stubPlatformCommand struct {
	command
	listenOptions
	ChecksFence bool `long:"checks-fence" description:"refuse orders with an old fencing number"`
}

func (c *stubPlatformCommand) run(env *environment) error {
	return serveStub(env, c.Listen, platformstub.New(platformstub.Config{ChecksFence: c.ChecksFence}).Handler())
}

type stubEngineCommand struct {
	command
	listenOptions
	TokenDelay time.Duration `long:"token-delay" default:"1ms" description:"time between two tokens"`
	Slots      int           `long:"slots" description:"requests that generate at a time; 0 means no bound"`
	KVTokens   int64         `long:"kv-tokens" description:"tokens that the running requests may hold; 0 means no bound"`
	Prefill    int64         `long:"prefill" description:"prompt tokens read a second; 0 means at once"`
	Prefixes   int           `long:"prefixes" description:"cached prompt beginnings"`
}

func (c *stubEngineCommand) run(env *environment) error {
	crash := func() { os.Exit(exitCrash) }
	return serveStub(env, c.Listen, enginestub.New(enginestub.Config{
		TokenDelay: c.TokenDelay, Crash: crash, Log: env.errOut,
		Batching: enginestub.Batching{
			Slots: c.Slots, KVTokens: ident.Tokens(c.KVTokens), PrefillPerSecond: ident.Tokens(c.Prefill), CachedPrefixes: c.Prefixes,
		},
	}).Handler())
}

type stubServiceCommand struct {
	command
	listenOptions
}

func (c *stubServiceCommand) run(env *environment) error {
	return serveStub(env, c.Listen, servicestub.New(servicestub.Config{Log: env.errOut}).Handler())
}

type stubAuthorityCommand struct {
	command
	Directory string `long:"directory" required:"true" value-name:"DIR" description:"where the PEM files go"`
}

func (c *stubAuthorityCommand) run(*environment) error { return authoritystub.Write(c.Directory) }

func serveStub(env *environment, address string, handler http.Handler) error {
	started, err := listener.Start(env.ctx, listener.Config{Address: address, Handler: handler})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(env.errOut, "event=stub_started listen="+started.Address())
	<-env.ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(env.ctx), stopTimeout)
	defer cancel()
	started.Drain(ctx)
	return nil
}
