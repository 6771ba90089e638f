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

// Values of the demo; it listens on loopback alone.
const (
	demoKey        = "demo-key"
	demoCredential = "demo-operator"
	demoLoopback   = "127.0.0.1:0"
	demoReady      = 5 * time.Second
	// demoWindow is the length of a billing window, in seconds.
	demoWindow = 60
	demoBody   = `{"model":"pond-small","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a course outline."}]}`
)

type demoCommand struct {
	command
	Listen string `long:"listen" default:"127.0.0.1:8080" value-name:"HOST:PORT" description:"callers' address"`
	Once   bool   `long:"once" description:"end after the first answer"`
}

func (c *demoCommand) run(shell *shell) error {
	demo := &demo{shell: shell}
	defer demo.stop()
	if err := demo.start(c.Listen); err != nil {
		return err
	}
	if err := demo.ask(); err != nil {
		return err
	}
	if c.Once {
		return nil
	}
	_, _ = fmt.Fprintln(shell.out, "\nThe demo runs until it is interrupted.")
	<-shell.ctx.Done()
	return nil
}

// demo is the whole path in one process.
type demo struct {
	shell    *shell
	platform *listener.Listener
	engine   *listener.Listener
	sidecar  *sidecar.Sidecar
	entry    *entry.Entry
}

func (d *demo) start(address string) error {
	ctx := d.shell.ctx
	var err error
	if d.platform, err = listener.Start(ctx, listener.Config{
		Address: demoLoopback, Handler: platformstub.New(platformstub.Config{}).Handler(),
	}); err != nil {
		return err
	}
	if d.engine, err = listener.Start(ctx, listener.Config{
		Address: demoLoopback, Handler: enginestub.New(enginestub.Config{TokenDelay: 20 * time.Millisecond}).Handler(),
	}); err != nil {
		return err
	}
	if d.sidecar, err = sidecar.Start(ctx, sidecar.Config{Settings: sidecar.Settings{
		Process: "sidecar-1", Domain: "demo-1", Endpoint: "engine-1", Kind: configuration.KindEngine,
		Listen: demoLoopback, PrivateListen: demoLoopback, Backend: "http://" + d.engine.Address(),
		Platform: "http://" + d.platform.Address(), Concurrency: 4, DrainSeconds: 5,
	}, Log: io.Discard}); err != nil {
		return err
	}
	if d.entry, err = entry.Start(ctx, entry.Config{Settings: entry.Settings{
		Process: "entry-1", Domain: "demo-1", Listen: address, OperatorListen: demoLoopback, PrivateListen: demoLoopback,
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

// ask sends one request, prints its answer and the line that repeats it.
func (d *demo) ask() error {
	callers, _, private := d.entry.Addresses()
	url := "http://" + callers + api.PathChat
	deadline := time.Now().Add(demoReady)
	for {
		status, err := d.request(url)
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return oops.Errorf("demo: no answer in %s: status %d, %v", demoReady, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, err := fmt.Fprintf(d.shell.out, "\nThe same with curl:\n  curl -N %s -H 'Authorization: Bearer %s' -d '%s'\nWhat happened:\n  vanillapond timeline --process http://%s\nThe measures:\n  curl http://%s%s\n",
		url, demoKey, demoBody, private, private, metrics.Path)
	return err
}

func (d *demo) request(url string) (int, error) {
	request, err := http.NewRequestWithContext(d.shell.ctx, http.MethodPost, url, bytes.NewReader([]byte(demoBody)))
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
	_, err = io.Copy(d.shell.out, response.Body)
	return response.StatusCode, err
}

func (d *demo) stop() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.shell.ctx), stopTimeout)
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
