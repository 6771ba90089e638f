// Package platformclient reaches the platform's services over HTTP.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// maxAnswer is the greatest size of a platform's answer, in bytes.
const maxAnswer = 64 << 20

// Client reaches all of the platform's services at one base address.
type Client struct {
	base    string
	process ident.Process
	http    *http.Client
}

// Config says where the platform is.
type Config struct {
	// Base is the address, http:// or https://, without a final slash.
	Base string
	// Process names the caller to the platform.
	Process ident.Process
	// Timeout bounds each call; 0 means one second.
	Timeout time.Duration
}

// New returns a client.
func New(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = time.Second
	}
	return &Client{base: config.Base, process: config.Process, http: &http.Client{Timeout: config.Timeout}}
}

// Read implements table.Table.
func (c *Client) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	var answer platform.RowsResponse
	if err := c.post(ctx, platform.PathTableRead, platform.ReadRequest{Keys: keys}, &answer); err != nil {
		return nil, refused(err)
	}
	if len(answer.Rows) != len(keys) {
		return nil, oops.Errorf("table read: found %d rows, want %d", len(answer.Rows), len(keys))
	}
	return answer.Rows, nil
}

// Scan implements table.Table.
func (c *Client) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	var answer platform.RowsResponse
	if err := c.post(ctx, platform.PathTableScan, platform.ScanRequest{Prefix: prefix, After: after, Limit: limit}, &answer); err != nil {
		return nil, refused(err)
	}
	return answer.Rows, nil
}

// Commit implements table.Table.
func (c *Client) Commit(ctx context.Context, transaction table.Transaction) error {
	return c.post(ctx, platform.PathTableCommit, transaction, nil)
}

// Send implements platform.Orders; each order has a connection of its own, whose writes ask the gate.
func (c *Client) Send(ctx context.Context, order platform.Order, gate platform.Gate) error {
	gated := &gatedDialer{gate: gate}
	transport := &http.Transport{DialContext: gated.dial, DisableKeepAlives: true}
	own := &Client{base: c.base, process: c.process, http: &http.Client{Timeout: c.http.Timeout, Transport: transport}}
	err := own.post(ctx, platform.PathOrders, order, nil)
	if errors.Is(err, table.ErrOutcomeUnknown) && !gated.written.Load() {
		return oops.Wrapf(table.ErrRefused, "order %s: %v", order.ID, err)
	}
	return err
}

// Report gives a usage report to the platform.
func (c *Client) Report(ctx context.Context, report platform.Report) error {
	return c.post(ctx, platform.PathReports, report, nil)
}

// VMs returns the platform's lagging list of VMs.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var answer platform.VMsResponse
	if err := c.call(ctx, http.MethodGet, platform.PathVMs, nil, &answer); err != nil {
		return nil, err
	}
	return answer.VMs, nil
}

// PutObject stores an object under a name.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.call(ctx, http.MethodPut, platform.PathObjects+name, body, nil)
}

// GetObject returns the object with the name.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var body json.RawMessage
	if err := c.call(ctx, http.MethodGet, platform.PathObjects+name, nil, &body); err != nil {
		return nil, err
	}
	return body, nil
}

// refused turns an unknown outcome of a read into a refusal, because a read has no effect.
func refused(err error) error {
	if errors.Is(err, table.ErrOutcomeUnknown) {
		return table.ErrRefused
	}
	return err
}

func (c *Client) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return oops.Wrapf(err, "encode %s", path)
	}
	return c.call(ctx, http.MethodPost, path, body, answer)
}

// call returns ErrUnknown wherever the request may have had an effect.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return oops.Wrapf(err, "request %s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(platform.HeaderProcess, string(c.process))
	response, err := c.http.Do(request)
	if err != nil {
		return oops.Wrapf(table.ErrOutcomeUnknown, "%s: %v", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return oops.Wrapf(table.ErrOutcomeUnknown, "%s: %v", path, err)
	}
	if err := statusError(response.StatusCode); err != nil {
		return oops.Wrapf(err, "%s: status %d", path, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return oops.Wrapf(err, "decode answer of %s", path)
	}
	return nil
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return table.ErrConflict
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		return table.ErrRefused
	default:
		return table.ErrOutcomeUnknown
	}
}
