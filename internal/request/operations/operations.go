// Package operations implements the operators' API for configuration, usage and accounts.
//
// Operators call it at any entry, a process that accepts callers' requests.
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

// Config holds the dependencies of the API.
type Config struct {
	Replica   *replica.Replica
	Snapshots *snapshot.Holder
	Events    *event.Recorder
	// Table holds the usage for billing.
	Table table.Table
	// Propagator distributes accepted versions to the other live entries; nil means that there are none.
	Propagator Propagator
	// RootDigest is the digest of the root credential, which has all permissions; empty means that there is none.
	RootDigest ident.KeyDigest
}

// Operations serves the operators' API.
type Operations struct {
	config Config
}

// New returns the API for the given configuration.
func New(config Config) *Operations {
	return &Operations{config: config}
}

// Handler returns the HTTP handler of the API.
func (o *Operations) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, operator.ProcedurePatch, o.authenticate, o.patch)
	handle(mux, operator.ProcedureGet, o.authenticate, o.get)
	handle(mux, operator.ProcedureHistory, o.authenticate, o.history)
	handle(mux, operator.ProcedureUsage, o.authenticate, o.usage)
	handle(mux, operator.ProcedureAccount, o.authenticate, o.account)
	return mux
}

// principal is an authenticated operator.
type principal struct {
	keyDigest ident.KeyDigest
	// partner is empty for the root credential.
	partner ident.Partner
}

// handle registers a unary procedure whose messages are plain Go types, encoded by operator.Codec.
func handle[Request, Response any](
	mux *http.ServeMux,
	procedure string,
	authenticate func(http.Header) (principal, error),
	serve func(context.Context, principal, *Request) (*Response, error),
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		p, err := authenticate(request.Header())
		if err != nil {
			return nil, err
		}
		response, err := serve(ctx, p, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithCodec(operator.Codec{}), connect.WithReadMaxBytes(operator.MaxMessageBytes)))
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
