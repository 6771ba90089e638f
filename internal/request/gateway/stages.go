package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"vanillapond/internal/body"
	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/request/credential"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// authenticate finds the customer to whom the request's API key belongs.
func (g *Gateway) authenticate(exchange *Exchange) *refusal.Error {
	exchange.snapshot = g.config.Snapshots.Current()
	if exchange.snapshot == nil {
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNotReady, "no configuration yet", notReadyRetryAfter)
	}
	if failure := g.checkFreshness(); failure != nil {
		return failure
	}
	presented, found := credential.Extract(exchange.request)
	if !found {
		return refusal.New(http.StatusUnauthorized, api.CodeUnauthorized, "no key came with the request")
	}
	exchange.credential = presented
	key, found := exchange.snapshot.Key(presented.Digest())
	if !found {
		return refusal.New(http.StatusUnauthorized, api.CodeUnauthorized, "the key is not valid")
	}
	exchange.key = key
	exchange.customer, _ = exchange.snapshot.Customer(key.Customer)
	if presented.AppearsIn([]byte(exchange.request.URL.Path)) {
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, "the path holds the key")
	}
	g.registerForWithdrawal(exchange)
	return nil
}

// listModels responds to a request for the list of models that the key may use.
func (g *Gateway) listModels(exchange *Exchange) *refusal.Error {
	if exchange.request.URL.Path != api.PathModels {
		return nil
	}
	if exchange.request.Method != http.MethodGet {
		return refusal.New(http.StatusMethodNotAllowed, api.CodeBadRequest, "want GET")
	}
	models := api.Models{Object: "list", Data: []api.Model{}}
	for _, id := range exchange.key.Classes {
		class, _ := exchange.snapshot.Class(id)
		pool, _ := exchange.snapshot.Pool(class.Pool)
		for _, model := range pool.Models {
			listed := api.Model{ID: model, Object: "model"}
			if !slices.Contains(models.Data, listed) {
				models.Data = append(models.Data, listed)
			}
		}
	}
	exchange.responded = true
	exchange.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(exchange.writer).Encode(models)
	return nil
}

// readBody reads the complete body within the limits on its size and time.
func (g *Gateway) readBody(exchange *Exchange) *refusal.Error {
	read, err := body.Read(exchange.writer, exchange.request, body.Config{
		Limit: g.config.MaxBodySize, Deadline: time.Now().Add(g.config.BodyReadTimeout), Grace: g.config.Grace, Account: g.config.Holdings, Copies: bodyCopies,
	})
	switch {
	case errors.Is(err, body.ErrStopping):
		return stopping()
	case errors.Is(err, holdings.ErrNoRoom):
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeOverloaded, err.Error(), g.config.Holdings.RetryAfter())
	case errors.Is(err, body.ErrTooLarge):
		return refusal.New(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "the body is too large")
	case errors.Is(err, body.ErrLate):
		return refusal.New(http.StatusRequestTimeout, api.CodeBadRequest, "the body came too slowly")
	case err != nil:
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, "the body could not be read")
	}
	exchange.held, exchange.body = read, read.Join()
	if exchange.credential.AppearsIn(exchange.body) {
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, "the body holds the key")
	}
	return nil
}

// stoppingRetryAfter is the Retry-After of a request that this process does not serve because it stops: others can.
const stoppingRetryAfter = time.Second

func stopping() *refusal.Error {
	return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNotReady, "the entry is stopping", stoppingRetryAfter)
}

// bodyCopies is how often a body is in memory: as it came, as decoded text, in the frame of the link and in the message that carries it.
const bodyCopies = 4

// classify determines the request's class and checks that the key may use it.
func (g *Gateway) classify(exchange *Exchange) *refusal.Error {
	if isCompletion(exchange.request.URL.Path) {
		return g.classifyCompletion(exchange)
	}
	classes := exchange.snapshot.Routes(exchange.request.URL.Path)
	if len(classes) == 0 {
		return refusal.New(http.StatusNotFound, api.CodeNotFound, "no route has this path")
	}
	return exchange.chooseClass(classes)
}

func isCompletion(path string) bool {
	return path == api.PathChat || path == api.PathCompletions
}

func (g *Gateway) classifyCompletion(exchange *Exchange) *refusal.Error {
	if exchange.request.Method != http.MethodPost {
		return refusal.New(http.StatusMethodNotAllowed, api.CodeBadRequest, "want POST")
	}
	if err := json.Unmarshal(exchange.body, &exchange.completion); err != nil {
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, "the body is not a JSON request: "+err.Error())
	}
	if err := exchange.completion.Check(); err != nil {
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, err.Error())
	}
	var classes []ident.Class
	for _, id := range exchange.key.Classes {
		class, _ := exchange.snapshot.Class(id)
		pool, _ := exchange.snapshot.Pool(class.Pool)
		if pool.Kind == configuration.KindEngine && slices.Contains(pool.Models, exchange.completion.Model) {
			classes = append(classes, id)
		}
	}
	if len(classes) == 0 {
		return refusal.New(http.StatusNotFound, api.CodeNotFound, "no class of this key has the model")
	}
	return exchange.chooseClass(classes)
}

// chooseClass selects the class that the request's header names, or else the first one that the key may use.
func (e *Exchange) chooseClass(classes []ident.Class) *refusal.Error {
	requested := ident.Class(e.request.Header.Get(api.HeaderClass))
	for _, id := range classes {
		if !slices.Contains(e.key.Classes, id) || (requested != "" && requested != id) {
			continue
		}
		e.class, _ = e.snapshot.Class(id)
		e.pool, _ = e.snapshot.Pool(e.class.Pool)
		return nil
	}
	return refusal.New(http.StatusForbidden, api.CodeForbidden, "the key may not use this class")
}

// forwardedHeader returns the header fields that are forwarded to the endpoint.
func forwardedHeader(header http.Header) []link.Header {
	forwarded := backend.EndToEndHeaders(header)
	return slices.DeleteFunc(forwarded, func(field link.Header) bool {
		return strings.EqualFold(field.Name, "Accept-Encoding") || strings.EqualFold(field.Name, api.HeaderClass)
	})
}
