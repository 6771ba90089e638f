package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"vanillapond/pkg/ident"
)

// Config configures a Client.
type Config struct {
	// BaseURL is the URL of an entry's operator listener, without a trailing slash.
	BaseURL string
	// Credential is the operator's secret.
	Credential string
	// HTTP sends requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Client is a client of the operator API.
type Client struct {
	config Config
}

// New returns a Client.
func New(config Config) *Client {
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	return &Client{config: config}
}

// Patch submits a change of the configuration.
func (c *Client) Patch(ctx context.Context, request PatchRequest) (*PatchResponse, error) {
	return call[PatchRequest, PatchResponse](ctx, c, ProcedurePatch, request)
}

// Get returns the current configuration.
func (c *Client) Get(ctx context.Context) (*GetResponse, error) {
	return call[GetRequest, GetResponse](ctx, c, ProcedureGet, GetRequest{})
}

// History returns the current version and at most limit of the last accepted patches.
func (c *Client) History(ctx context.Context, limit int) (*HistoryResponse, error) {
	return call[HistoryRequest, HistoryResponse](ctx, c, ProcedureHistory, HistoryRequest{Limit: limit})
}

// Usage returns the usage windows of a customer.
func (c *Client) Usage(ctx context.Context, customer ident.Customer) (*UsageResponse, error) {
	return call[UsageRequest, UsageResponse](ctx, c, ProcedureUsage, UsageRequest{Customer: customer})
}

// Account returns the final statement of a partner.
func (c *Client) Account(ctx context.Context, partner ident.Partner) (*AccountResponse, error) {
	return call[AccountRequest, AccountResponse](ctx, c, ProcedureAccount, AccountRequest{Partner: partner})
}

func call[Request, Response any](ctx context.Context, c *Client, procedure string, message Request) (*Response, error) {
	client := connect.NewClient[Request, Response](c.config.HTTP, c.config.BaseURL+procedure, connect.WithCodec(Codec{}), connect.WithReadMaxBytes(MaxMessageBytes))
	request := connect.NewRequest(&message)
	request.Header().Set("Authorization", "Bearer "+c.config.Credential)
	response, err := client.CallUnary(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
