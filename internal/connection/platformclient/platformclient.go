// Package platformclient is the HTTP client of the platform's services.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/bounded"
	"vanillapond/internal/connection/socket"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// DefaultMaxResponseSize is the default limit on the size of a response of the platform, in bytes.
const DefaultMaxResponseSize = 64 << 20

// Client calls all of the platform's services at one base address.
type Client struct {
	base    string
	process ident.Process
	http    *http.Client
	// maxResponseSize is in bytes.
	maxResponseSize int64
}

// Config configures a client.
type Config struct {
	// Base is the base URL, http:// or https://, without a trailing slash.
	Base string
	// Process identifies the calling process to the platform.
	Process ident.Process
	// Timeout bounds each call; 0 means one second.
	Timeout time.Duration
	// MaxResponseSize limits the size of a response, in bytes; 0 means DefaultMaxResponseSize.
	MaxResponseSize int64
}

// New returns a client.
func New(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = time.Second
	}
	if config.MaxResponseSize == 0 {
		config.MaxResponseSize = DefaultMaxResponseSize
	}
	const idleConnections = 16
	transport := httpresponse.NewTransport(&http.Transport{DialContext: socket.DialReset, MaxIdleConnsPerHost: idleConnections})
	return &Client{
		base: config.Base, process: config.Process, http: &http.Client{Timeout: config.Timeout, Transport: transport}, maxResponseSize: config.MaxResponseSize,
	}
}

// Read implements table.Table.
func (c *Client) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	var result platform.RowsResponse
	if err := c.post(ctx, platform.PathTableRead, platform.ReadRequest{Keys: keys}, &result); err != nil {
		return nil, asRefusal(err)
	}
	if len(result.Rows) != len(keys) {
		return nil, oops.Errorf("table read: found %d rows, want %d", len(result.Rows), len(keys))
	}
	return result.Rows, nil
}

// Scan implements table.Table.
func (c *Client) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	var result platform.RowsResponse
	if err := c.post(ctx, platform.PathTableScan, platform.ScanRequest{Prefix: prefix, After: after, Limit: limit}, &result); err != nil {
		return nil, asRefusal(err)
	}
	return result.Rows, nil
}

// Commit implements table.Table.
func (c *Client) Commit(ctx context.Context, transaction table.Transaction) error {
	return c.post(ctx, platform.PathTableCommit, transaction, nil)
}

// Send implements platform.Orders.
func (c *Client) Send(ctx context.Context, order platform.Order, gate platform.Gate) error {
	return c.postGated(ctx, platform.PathOrders, order, gate)
}

// Report implements platform.Reports.
func (c *Client) Report(ctx context.Context, report platform.Report, gate platform.Gate) error {
	return c.postGated(ctx, platform.PathReports, report, gate)
}

// postGated makes a call on a connection of its own, whose writes consult the gate: if the gate stopped the first write, the call is known to have had
// no effect.
func (c *Client) postGated(ctx context.Context, path string, request any, gate platform.Gate) error {
	connection := &socket.Call{Gate: gate, UnackedTimeout: c.http.Timeout}
	transport := httpresponse.NewTransport(&http.Transport{DialContext: connection.Dial, DisableKeepAlives: true})
	client := &Client{
		base: c.base, process: c.process, http: &http.Client{Timeout: c.http.Timeout, Transport: transport}, maxResponseSize: c.maxResponseSize,
	}
	ctx, cancel := clock.WithTimeout(ctx, clock.Boot, c.http.Timeout)
	defer cancel()
	err := client.post(ctx, path, request, nil)
	if errors.Is(err, table.ErrOutcomeUnknown) && !connection.Written() {
		return oops.Wrapf(table.ErrRefused, "%v", err)
	}
	return err
}

// VMs returns the platform's list of VMs, which lags behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var result platform.VMsResponse
	if err := c.call(ctx, http.MethodGet, platform.PathVMs, nil, &result); err != nil {
		return nil, err
	}
	return result.VMs, nil
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

// asRefusal replaces an unknown outcome of a read by a refusal, because a read has no effect.
func asRefusal(err error) error {
	if errors.Is(err, table.ErrOutcomeUnknown) {
		return table.ErrRefused
	}
	return err
}

func (c *Client) post(ctx context.Context, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return oops.Wrapf(err, "encode %s", path)
	}
	return c.call(ctx, http.MethodPost, path, body, result)
}

// call returns table.ErrOutcomeUnknown if the request may have had an effect; so it does for a truncated response, whatever its status.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
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
	content, err := bounded.ReadAll(response.Body, c.maxResponseSize)
	if err != nil {
		return oops.Wrapf(table.ErrOutcomeUnknown, "%s: %v", path, err)
	}
	if err := statusError(response.StatusCode); err != nil {
		return oops.Wrapf(err, "%s: status %d", path, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
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
