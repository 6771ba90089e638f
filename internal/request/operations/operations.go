// Package operations is the operators' API.
package operations

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// Config says what the API works with.
type Config struct {
	Replica   *replica.Replica
	Snapshots *snapshot.Holder
	Events    *event.Recorder
	// Table holds the figures of the billing.
	Table table.Table
	// Propagator brings accepted versions to the live entries; nil means that there are no others.
	Propagator Propagator
	// RootDigest is the digest of the credential that may do everything; empty means none.
	RootDigest ident.KeyDigest
}

// Operations serves the operators' API.
type Operations struct {
	config Config
}

// New returns the API.
func New(config Config) *Operations {
	return &Operations{config: config}
}

// Handler returns the HTTP interface.
func (o *Operations) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, operator.ProcedurePatch, o.authorized, o.patch)
	handle(mux, operator.ProcedureGet, o.authorized, o.get)
	handle(mux, operator.ProcedureHistory, o.authorized, o.history)
	handle(mux, operator.ProcedureUsage, o.authorized, o.usage)
	handle(mux, operator.ProcedureAccount, o.authorized, o.account)
	return mux
}

// caller is an operator whose credential was checked.
type caller struct {
	digest ident.KeyDigest
	// partner is empty for the root credential.
	partner ident.Partner
}

// handle registers a unary procedure over domain types.
func handle[Request, Answer any](
	mux *http.ServeMux,
	procedure string,
	authorize func(http.Header) (caller, error),
	serve func(context.Context, caller, *Request) (*Answer, error),
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Answer], error) {
		by, err := authorize(request.Header())
		if err != nil {
			return nil, err
		}
		answer, err := serve(ctx, by, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(answer), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithCodec(operator.Codec{}), connect.WithReadMaxBytes(operator.MaxMessage)))
}

func (o *Operations) authorized(header http.Header) (caller, error) {
	secret, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return caller{}, connect.NewError(connect.CodeUnauthenticated, errors.New("no operator credential came with the request"))
	}
	digest := ident.DigestKey(secret)
	if o.config.RootDigest != "" && digest == o.config.RootDigest {
		return caller{digest: digest}, nil
	}
	if current := o.config.Snapshots.Current(); current != nil {
		if partner, found := current.Operator(digest); found {
			return caller{digest: digest, partner: partner}, nil
		}
	}
	return caller{}, connect.NewError(connect.CodeUnauthenticated, errInvalid)
}
