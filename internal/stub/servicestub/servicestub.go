// Package servicestub is a stub of a plain service whose calls are not idempotent.
package servicestub

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Paths with which test scripts control the stub.
const (
	PathFaults     = "/stub/faults"
	PathExecutions = "/stub/executions"
	// PathReceived lists the received calls, including those that have not been executed.
	PathReceived = "/stub/received"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 16 << 20

// Fault configures the service's injected faults.
type Fault struct {
	// DelayMS is the time between receipt and execution of a call.
	DelayMS int64 `json:"delay_ms"`
	// LoseResponses executes calls, then closes the connection without a response.
	LoseResponses bool `json:"lose_answers"`
}

// Execution is one executed call.
type Execution struct {
	// Serial is the serial number that the service assigned to the call.
	Serial     int           `json:"serial"`
	Request    ident.Request `json:"request"`
	ReceivedMS int64         `json:"received_ms"`
	Method     string        `json:"method"`
	URI        string        `json:"uri"`
	Header     http.Header   `json:"header"`
	Body       string        `json:"body"`
}

// ExecutionsResponse is the response with the log of executions.
type ExecutionsResponse struct {
	Executions []Execution `json:"executions"`
}

// Result is the service's response to a call.
type Result struct {
	Serial int    `json:"serial"`
	Method string `json:"method"`
	URI    string `json:"uri"`
}

// ReceivedResponse is the response with the request bodies of the received calls.
type ReceivedResponse struct {
	Bodies []string `json:"bodies"`
}

// Config configures a service.
type Config struct {
	// Log receives one line per execution, so that the executions are known after the process has ended; nil means no log.
	Log io.Writer
}

// Service is the stub; each executed call gets the next serial number.
type Service struct {
	config Config
	mu     sync.Mutex
	// All below is guarded by mu.
	fault      Fault
	executions []Execution
	received   []string
}

// New returns a service.
func New(config Config) *Service {
	return &Service{config: config}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathFaults, s.setFault)
	mux.HandleFunc("GET "+PathExecutions, s.listExecutions)
	mux.HandleFunc("GET "+PathReceived, s.listReceived)
	mux.HandleFunc("/", s.execute)
	return mux
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.received = append(s.received, string(body))
	s.mu.Unlock()
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	serial := s.record(r, body)
	if fault.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Location", fmt.Sprintf("%s/%d", r.URL.Path, serial))
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Result{Serial: serial, Method: r.Method, URI: r.URL.RequestURI()})
}

func (s *Service) record(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	serial := len(s.executions) + 1
	s.executions = append(s.executions, Execution{
		Serial:     serial,
		Request:    ident.Request(r.Header.Get(api.HeaderRequestID)),
		ReceivedMS: time.Now().UnixMilli(),
		Method:     r.Method,
		URI:        r.URL.RequestURI(),
		Header:     r.Header.Clone(),
		Body:       string(body),
	})
	if s.config.Log != nil {
		_, _ = fmt.Fprintf(s.config.Log, "event=executed body=%s\n", body)
	}
	return serial
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Service) listReceived(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(ReceivedResponse{Bodies: s.received})
}

func (s *Service) listExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(ExecutionsResponse{Executions: s.executions})
}
