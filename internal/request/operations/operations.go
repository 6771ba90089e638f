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
	handle(mux, operator.ProcedurePatch, o.authenticate, o.patch)
	handle(mux, operator.ProcedureGet, o.authenticate, o.get)
	handle(mux, operator.ProcedureHistory, o.authenticate, o.history)
	handle(mux, operator.ProcedureUsage, o.authenticate, o.usage)
	handle(mux, operator.ProcedureAccount, o.authenticate, o.account)
	return mux
}

// principal is an operator whose credential was checked.
type principal struct {
	keyDigest ident.KeyDigest
	// partner is empty for the root credential.
	partner ident.Partner
}

// handle registers a unary procedure over domain types.
func handle[Request, Response any](
	mux *http.ServeMux,
	procedure string,
	authenticate func(http.Header) (principal, error),
	serve func(context.Context, principal, *Request) (*Response, error),
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		caller, err := authenticate(request.Header())
		if err != nil {
			return nil, err
		}
		response, err := serve(ctx, caller, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithCodec(operator.Codec{}), connect.WithReadMaxBytes(operator.MaxMessage)))
}

func (o *Operations) authenticate(header http.Header) (principal, error) {
	secret, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return principal{}, connect.NewError(connect.CodeUnauthenticated, errors.New("no operator credential came with the request"))
	}
	digest := ident.DigestKey(secret)
	if o.config.RootDigest != "" && digest == o.config.RootDigest {
		return principal{keyDigest: digest}, nil
	}
	if current := o.config.Snapshots.Current(); current != nil {
		if partner, found := current.Operator(digest); found {
			return principal{keyDigest: digest, partner: partner}, nil
		}
	}
	return principal{}, connect.NewError(connect.CodeUnauthenticated, errInvalidCredential)
}
