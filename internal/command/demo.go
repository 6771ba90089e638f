package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/role/entry"
	"vanillapond/internal/role/sidecar"
	"vanillapond/internal/stub/enginestub"
	"vanillapond/internal/stub/platformstub"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// Parameters of the demo, which listens only on loopback.
const (
	demoKey           = "demo-key"
	demoCredential    = "demo-operator"
	demoListenAddress = "127.0.0.1:0"
	// demoReadyTimeout limits the time until the first successful response.
	demoReadyTimeout = 5 * time.Second
	// demoWindow is the length of a billing window, in seconds.
	demoWindow = 60
	demoBody   = `{"model":"pond-small","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a course outline."}]}`
)

type demoCommand struct {
	command
	Listen string `long:"listen" default:"127.0.0.1:8080" value-name:"HOST:PORT" description:"callers' address"`
	Once   bool   `long:"once" description:"end after the first answer"`
}

func (c *demoCommand) run(env *environment) error {
	demo := &demo{env: env}
	defer demo.stop()
	if err := demo.start(c.Listen); err != nil {
		return err
	}
	if err := demo.sendRequest(); err != nil {
		return err
	}
	if c.Once {
		return nil
	}
	_, _ = fmt.Fprintln(env.out, "\nThe demo runs until it is interrupted.")
	<-env.ctx.Done()
	return nil
}

// demo runs stubs of the platform and an engine, a sidecar and an entry in one process.
type demo struct {
	env      *environment
	platform *listener.Listener
	engine   *listener.Listener
	sidecar  *sidecar.Sidecar
	entry    *entry.Entry
}

func (d *demo) start(address string) error {
	ctx := d.env.ctx
	var err error
	if d.platform, err = listener.Start(ctx, listener.Config{
		Address: demoListenAddress, Handler: platformstub.New(platformstub.Config{}).Handler(),
	}); err != nil {
		return err
	}
	if d.engine, err = listener.Start(ctx, listener.Config{
		Address: demoListenAddress, Handler: enginestub.New(enginestub.Config{TokenDelay: 20 * time.Millisecond}).Handler(),
	}); err != nil {
		return err
	}
	if d.sidecar, err = sidecar.Start(ctx, sidecar.Config{Settings: sidecar.Settings{
		Process: "sidecar-1", Domain: "demo-1", Endpoint: "engine-1", Kind: configuration.KindEngine,
		Listen: demoListenAddress, PrivateListen: demoListenAddress, Backend: "http://" + d.engine.Address(),
		Platform: "http://" + d.platform.Address(), Concurrency: 4, DrainSeconds: 5,
	}, Log: io.Discard}); err != nil {
		return err
	}
	if d.entry, err = entry.Start(ctx, entry.Config{Settings: entry.Settings{
		Process: "entry-1", Domain: "demo-1", Listen: address, OperatorListen: demoListenAddress, PrivateListen: demoListenAddress,
		Platform: "http://" + d.platform.Address(), RootOperator: ident.DigestKey(demoCredential), DrainSeconds: 5,
	}, Log: io.Discard}); err != nil {
		return err
	}
	return d.configure(ctx)
}

func (d *demo) configure(ctx context.Context) error {
	_, operators, _ := d.entry.Addresses()
	client := operator.New(operator.Config{BaseURL: "http://" + operators, Credential: demoCredential})
	_, err := client.Patch(ctx, operator.PatchRequest{Patch: configuration.Patch{
		ID:      "demo",
		Billing: &configuration.Billing{WindowSeconds: demoWindow},
		Set: configuration.Entities{
			Partners:  []configuration.Partner{{ID: "demo"}},
			Customers: []configuration.Customer{{ID: "school", Partner: "demo", Weight: 1}},
			Keys:      []configuration.Key{{Digest: ident.DigestKey(demoKey), Customer: "school", Classes: []ident.Class{"drafting"}}},
			Classes: []configuration.Class{{
				ID: "drafting", Pool: "engines", Tier: 2, FirstTokenMS: 2000, DeadlineMS: 60000, Idempotent: true,
			}},
			Pools: []configuration.Pool{{
				ID: "engines", Kind: configuration.KindEngine, Models: []ident.Model{"pond-small"}, Concurrency: 4, MaxPerDomain: 1, CostPerHour: 250,
			}},
			Endpoints: []configuration.Endpoint{{ID: "engine-1", Pool: "engines", Domain: "demo-1", Sidecar: d.sidecar.Address()}},
		},
	}})
	return err
}

// sendRequest sends a request until it succeeds, prints the response, and prints a curl command that repeats the request.
func (d *demo) sendRequest() error {
	callers, _, private := d.entry.Addresses()
	url := "http://" + callers + api.PathChat
	deadline := time.Now().Add(demoReadyTimeout)
	for {
		status, err := d.post(url)
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return oops.Errorf("demo: no successful response within %s: status %d, error %v", demoReadyTimeout, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, err := fmt.Fprintf(d.env.out, "\nThe same with curl:\n  curl -N %s -H 'Authorization: Bearer %s' -d '%s'\nWhat happened:\n  vanillapond timeline --process http://%s\nThe measures:\n  curl http://%s%s\n",
		url, demoKey, demoBody, private, private, metrics.Path)
	return err
}

func (d *demo) post(url string) (int, error) {
	request, err := http.NewRequestWithContext(d.env.ctx, http.MethodPost, url, bytes.NewReader([]byte(demoBody)))
	if err != nil {
		return 0, err
	}
	request.Header.Set(api.HeaderAuthorization, "Bearer "+demoKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	_, err = io.Copy(d.env.out, response.Body)
	return response.StatusCode, err
}

func (d *demo) stop() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.env.ctx), stopTimeout)
	defer cancel()
	if d.entry != nil {
		d.entry.Stop(ctx)
	}
	if d.sidecar != nil {
		d.sidecar.Stop(ctx)
	}
	if d.engine != nil {
		d.engine.Drain(ctx)
	}
	if d.platform != nil {
		d.platform.Drain(ctx)
	}
}
