// Package backend sends a sidecar's requests to its backend, the model engine or service that the endpoint runs.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/eventstream"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/holdings"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// copyBufferSize is the maximum size of one chunk of a response, in bytes.
const copyBufferSize = 32 << 10

// Errors of a backend. Their texts reach the entry as the reason of a Deny.
var (
	// ErrNotReached is returned if no byte of the request reached the backend.
	ErrNotReached = oops.Errorf("back end not reached")
	// ErrInterrupted is returned if the backend may have run the request and gave no complete response.
	ErrInterrupted = oops.Errorf("back end gave no whole answer")
)

// ResponseWriter receives a backend's response.
type ResponseWriter interface {
	io.Writer
	// Head receives the status and header, before any chunk of the body.
	Head(status int, header []link.Header) error
}

// Config configures a Backend.
type Config struct {
	// BaseURL is the backend's address, http://host:port.
	BaseURL string
	Kind    configuration.Kind
	// Holdings bounds what is kept of all responses before it is passed on; nil bounds nothing.
	Holdings *holdings.Account
}

// Backend sends requests to one backend.
type Backend struct {
	config Config
	// idempotentClient reuses connections; on a reused one, net/http may send a request a second time.
	idempotentClient *http.Client
	// atMostOnceClient opens a connection for each request, so that net/http never sends one a second time.
	atMostOnceClient *http.Client
}

// New returns a Backend without open connections.
func New(config Config) *Backend {
	const idleConnections = 256
	return &Backend{
		config:           config,
		idempotentClient: newClient(&http.Transport{MaxIdleConnsPerHost: idleConnections}),
		atMostOnceClient: newClient(&http.Transport{DisableKeepAlives: true}),
	}
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: httpresponse.NewTransport(transport), CheckRedirect: doNotFollow}
}

// doNotFollow returns redirects to the caller instead of following them.
func doNotFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Checks whether anything listens at the backend's address.
const (
	// listenChecks is the number of checks; a process that exits may close its connections before its listener.
	listenChecks = 4
	// listenCheckInterval is the time between two checks.
	listenCheckInterval = 50 * time.Millisecond
	// listenCheckTimeout bounds one check.
	listenCheckTimeout = 500 * time.Millisecond
)

// NotListening reports whether connections to the backend's address are refused, as after a crash of its process.
func (b *Backend) NotListening() bool {
	for check := range listenChecks {
		if check > 0 {
			time.Sleep(listenCheckInterval)
		}
		if b.RefusesConnections() {
			return true
		}
	}
	return false
}

// RefusesConnections checks once whether connections to the backend's address are refused.
func (b *Backend) RefusesConnections() bool {
	address, err := url.Parse(b.config.BaseURL)
	if err != nil {
		return false
	}
	dialer := net.Dialer{Timeout: listenCheckTimeout}
	connection, err := dialer.DialContext(context.Background(), "tcp", address.Host)
	if err == nil {
		_ = connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CloseIdleConnections closes the connections that carry no request.
func (b *Backend) CloseIdleConnections() { b.idempotentClient.CloseIdleConnections() }

// Run sends a request and copies the response to writer; it returns ErrNotReached or ErrInterrupted if there is no complete one.
func (b *Backend) Run(ctx context.Context, open *link.Open, writer ResponseWriter) (link.Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := b.config.Holdings.OpenResponse(b.config.BaseURL, cancel)
	defer kept.Close()
	ctx = httpresponse.WithReserve(ctx, kept.KeepHead)
	var reached atomic.Bool
	request, mode, err := b.buildRequest(ctx, open, &reached)
	if err != nil {
		return link.Usage{}, oops.Wrapf(ErrNotReached, "%v", err)
	}
	client := b.atMostOnceClient
	if open.Idempotent {
		client = b.idempotentClient
	}
	response, err := client.Do(request)
	if err != nil {
		if !reached.Load() {
			return link.Usage{}, oops.Wrapf(ErrNotReached, "%v", err)
		}
		return link.Usage{}, oops.Wrapf(ErrInterrupted, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusSwitchingProtocols {
		return link.Usage{}, oops.Wrapf(ErrInterrupted, "back end switched protocols without a request to do so")
	}
	if err := writer.Head(response.StatusCode, EndToEndHeaders(response.Header)); err != nil {
		return link.Usage{}, err
	}
	return b.copyResponse(response, mode, kept, writer)
}

func (b *Backend) copyResponse(response *http.Response, mode responseMode, kept *holdings.ResponseHolding, writer ResponseWriter) (link.Usage, error) {
	usage := link.Usage{Requests: 1}
	var body io.Reader = response.Body
	// Servers may declare the form that was asked for although an error response has another one.
	successful := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if successful && needsJSONCheck(response) {
		body = &jsonReader{source: body}
	}
	if b.config.Kind == configuration.KindService {
		if successful && eventstream.Is(response.Header) {
			return usage, readEvents(body, kept, func(event []byte) error {
				_, err := writer.Write(event)
				return err
			})
		}
		return usage, copyBody(writer, body)
	}
	if response.StatusCode != http.StatusOK {
		return link.Usage{}, copyBody(writer, body)
	}
	if mode.stream {
		return copyEvents(writer, body, kept, mode.includeUsage)
	}
	return copyCompletion(writer, body, kept)
}

// buildRequest builds the request to the backend, which sets reached as soon as a connection is assigned to it.
func (b *Backend) buildRequest(ctx context.Context, open *link.Open, reached *atomic.Bool) (*http.Request, responseMode, error) {
	body := open.Body
	var mode responseMode
	if b.config.Kind == configuration.KindEngine && open.Method == http.MethodPost {
		var err error
		if body, mode, err = prepareCompletion(body, open.Tier); err != nil {
			return nil, mode, err
		}
	}
	uri := b.config.BaseURL + open.Path
	if open.Query != "" {
		uri += "?" + open.Query
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), open.Method, uri, bytes.NewReader(body))
	if err != nil {
		return nil, mode, oops.Wrapf(err, "request")
	}
	for _, field := range open.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.Set(api.HeaderRequestID, string(open.Request))
	return request, mode, nil
}

func copyBody(w io.Writer, r io.Reader) error {
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := r.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return oops.Wrapf(ErrInterrupted, "%v", err)
		}
	}
}

// hopByHop contains the header fields that apply to a single connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEndHeaders returns the header fields that are forwarded.
func EndToEndHeaders(header http.Header) []link.Header {
	var endToEnd []link.Header
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			endToEnd = append(endToEnd, link.Header{Name: name, Value: value})
		}
	}
	return endToEnd
}

// reportedUsage returns the usage that the engine reported for a completed request.
func reportedUsage(usage api.Usage) link.Usage {
	return link.Usage{Prompt: max(usage.PromptTokens, 0), Completion: max(usage.CompletionTokens, 0), Requests: 1}
}

// fallbackUsage returns the usage for a completed request for which the engine reported none: one token for each event.
func fallbackUsage(events ident.Tokens) link.Usage {
	return link.Usage{Completion: events, Requests: 1}
}
