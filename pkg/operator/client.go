package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"vanillapond/pkg/ident"
)

// Config says how the operators' API is reached.
type Config struct {
	// BaseURL is the address of an entry's operator listener, without a final slash.
	BaseURL string
	// Credential is the operator's secret.
	Credential string
	// HTTP sends requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Client calls the operators' API.
type Client struct {
	config Config
}

// New returns a client.
func New(config Config) *Client {
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	return &Client{config: config}
}

// Patch asks for a change of the configuration.
func (c *Client) Patch(ctx context.Context, request PatchRequest) (*PatchResponse, error) {
	return call[PatchRequest, PatchResponse](ctx, c, ProcedurePatch, request)
}

// Get returns the current configuration.
func (c *Client) Get(ctx context.Context) (*GetResponse, error) {
	return call[GetRequest, GetResponse](ctx, c, ProcedureGet, GetRequest{})
}

// History returns the current version and the last accepted patches, at most limit.
func (c *Client) History(ctx context.Context, limit int) (*HistoryResponse, error) {
	return call[HistoryRequest, HistoryResponse](ctx, c, ProcedureHistory, HistoryRequest{Limit: limit})
}

// Usage returns a customer's windows.
func (c *Client) Usage(ctx context.Context, customer ident.Customer) (*UsageResponse, error) {
	return call[UsageRequest, UsageResponse](ctx, c, ProcedureUsage, UsageRequest{Customer: customer})
}

// Account returns a partner's final statement.
func (c *Client) Account(ctx context.Context, partner ident.Partner) (*AccountResponse, error) {
	return call[AccountRequest, AccountResponse](ctx, c, ProcedureAccount, AccountRequest{Partner: partner})
}

func call[Request, Answer any](ctx context.Context, c *Client, procedure string, message Request) (*Answer, error) {
	client := connect.NewClient[Request, Answer](c.config.HTTP, c.config.BaseURL+procedure, connect.WithCodec(Codec{}), connect.WithReadMaxBytes(MaxMessageBytes))
	request := connect.NewRequest(&message)
	request.Header().Set("Authorization", "Bearer "+c.config.Credential)
	answer, err := client.CallUnary(ctx, request)
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
