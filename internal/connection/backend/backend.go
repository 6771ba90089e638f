// Package backend hands a request to the back end beside a sidecar.
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
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// partBytes is the greatest size of one part of an answer, in bytes.
const partBytes = 32 << 10

// Errors of a back end.
var (
	// ErrNotReached says that no byte of the request reached the back end.
	ErrNotReached = oops.Errorf("back end not reached")
	// ErrInterrupted says that the back end may have run the request and gave no whole answer.
	ErrInterrupted = oops.Errorf("back end gave no whole answer")
)

// ResponseWriter takes a back end's answer.
type ResponseWriter interface {
	io.Writer
	// Head takes the status and header, before any part of the body.
	Head(status int, header []link.Header) error
}

// Config says where the back end is.
type Config struct {
	// BaseURL is the back end's address, http://host:port.
	BaseURL string
	Kind    configuration.Kind
}

// Backend reaches one back end.
type Backend struct {
	config Config
	// repeatable may reuse connections, on which net/http may send a request again.
	repeatable *http.Client
	// once opens a connection for each request, so that net/http never sends one again.
	once *http.Client
}

// New returns a back end.
func New(config Config) *Backend {
	const idleConnections = 256
	return &Backend{
		config:     config,
		repeatable: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}, CheckRedirect: keepRedirect},
		once:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: keepRedirect},
	}
}

// keepRedirect passes redirects on to the caller.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Looks whether the back end's process is gone.
const (
	// goneLooks is how often it is looked; an ending process may close its connections before its listener.
	goneLooks = 4
	// goneInterval is the time between two looks.
	goneInterval = 50 * time.Millisecond
	// goneTimeout bounds one look.
	goneTimeout = 500 * time.Millisecond
)

// NotListening reports whether nothing listens at the back end's address any more.
func (b *Backend) NotListening() bool {
	address, err := url.Parse(b.config.BaseURL)
	if err != nil {
		return false
	}
	for look := range goneLooks {
		if look > 0 {
			time.Sleep(goneInterval)
		}
		if refused(address.Host) {
			return true
		}
	}
	return false
}

func refused(address string) bool {
	dialer := net.Dialer{Timeout: goneTimeout}
	socket, err := dialer.DialContext(context.Background(), "tcp", address)
	if err == nil {
		_ = socket.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Run sends a request and copies the answer; it returns ErrNotReached or ErrCut where there is none.
func (b *Backend) Run(ctx context.Context, open *link.Open, answer ResponseWriter) (link.Usage, error) {
	var reached atomic.Bool
	request, streamed, err := b.request(ctx, open, &reached)
	if err != nil {
		return link.Usage{}, oops.Wrapf(ErrNotReached, "%v", err)
	}
	client := b.once
	if open.Idempotent {
		client = b.repeatable
	}
	response, err := client.Do(request)
	if err != nil {
		if !reached.Load() {
			return link.Usage{}, oops.Wrapf(ErrNotReached, "%v", err)
		}
		return link.Usage{}, oops.Wrapf(ErrInterrupted, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := answer.Head(response.StatusCode, EndToEndHeaders(response.Header)); err != nil {
		return link.Usage{}, err
	}
	return b.copy(response, streamed, answer)
}

func (b *Backend) copy(response *http.Response, streamed streaming, answer ResponseWriter) (link.Usage, error) {
	usage := link.Usage{Requests: 1}
	if b.config.Kind == configuration.KindService {
		return usage, copyParts(answer, response.Body)
	}
	if response.StatusCode != http.StatusOK {
		return link.Usage{}, copyParts(answer, response.Body)
	}
	if streamed.stream {
		return copyEvents(answer, response.Body, streamed.usageWanted)
	}
	return copyCompletion(answer, response.Body)
}

// request builds the back end's request and notes in reached when a connection takes it.
func (b *Backend) request(ctx context.Context, open *link.Open, reached *atomic.Bool) (*http.Request, streaming, error) {
	body := open.Body
	var streamed streaming
	if b.config.Kind == configuration.KindEngine && open.Method == http.MethodPost {
		var err error
		if body, streamed, err = prepare(body, open.Tier); err != nil {
			return nil, streamed, err
		}
	}
	uri := b.config.BaseURL + open.Path
	if open.Query != "" {
		uri += "?" + open.Query
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), open.Method, uri, bytes.NewReader(body))
	if err != nil {
		return nil, streamed, oops.Wrapf(err, "request")
	}
	for _, field := range open.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.Set(api.HeaderRequestID, string(open.Request))
	return request, streamed, nil
}

func copyParts(w io.Writer, r io.Reader) error {
	part := make([]byte, partBytes)
	for {
		count, err := r.Read(part)
		if count > 0 {
			if _, err := w.Write(part[:count]); err != nil {
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

// hopByHop are the header fields that end at each hop.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEndHeaders returns the header fields that go on to the next hop.
func EndToEndHeaders(header http.Header) []link.Header {
	var passed []link.Header
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			passed = append(passed, link.Header{Name: name, Value: value})
		}
	}
	return passed
}

// total returns the usage of one completed request.
func total(usage api.Usage) link.Usage {
	return link.Usage{Prompt: max(usage.PromptTokens, 0), Completion: max(usage.CompletionTokens, 0), Requests: 1}
}

// counted returns the usage where the engine gave none.
func counted(events ident.Tokens) link.Usage {
	return link.Usage{Completion: events, Requests: 1}
}
