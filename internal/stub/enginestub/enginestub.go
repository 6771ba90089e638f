// Package enginestub is a stub of a model engine with an OpenAI-compatible interface, for tests and trials.
package enginestub

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Paths with which test scripts control the stub.
const (
	PathFaults     = "/stub/faults"
	PathExecutions = "/stub/executions"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 16 << 20

// Fault configures the engine's injected faults.
type Fault struct {
	// TokenDelayMS is the time between two tokens.
	TokenDelayMS int64 `json:"token_delay_ms"`
	// InterruptAfter closes the connection after this many tokens, within the next event or body; 0 means never.
	InterruptAfter int `json:"cut_after"`
	// CrashOn ends the process when a prompt contains this text.
	CrashOn string `json:"crash_on"`
	// SlowFactor multiplies the duration of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// Execution is one request that the engine has received.
type Execution struct {
	Request    ident.Request `json:"request"`
	ReceivedMS int64         `json:"received_ms"`
	Completed  bool          `json:"completed"`
	Tokens     ident.Tokens  `json:"tokens"`
	// Header and Body are those of the received request; tests check that they contain no key.
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// ExecutionsResponse is the response with the log of executions.
type ExecutionsResponse struct {
	Executions []Execution `json:"executions"`
}

// Config configures an engine.
type Config struct {
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	Batching   Batching
	// Crash ends the process; if it is nil, CrashOn has no effect.
	Crash func()
	// Log receives one line per execution, so that the executions are known after the process has ended; nil means no log.
	Log io.Writer
}

// Engine is the stub.
type Engine struct {
	config Config
	batch  *batch
	mu     sync.Mutex
	// All below is guarded by mu.
	fault      Fault
	executions []*Execution
}

// New returns an engine.
func New(config Config) *Engine {
	return &Engine{config: config, batch: newBatch(config.Batching), fault: Fault{TokenDelayMS: config.TokenDelay.Milliseconds()}}
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathChat, e.complete)
	mux.HandleFunc("POST "+api.PathCompletions, e.complete)
	mux.HandleFunc("PUT "+PathFaults, e.setFault)
	mux.HandleFunc("GET "+PathExecutions, e.listExecutions)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	var request api.CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	execution, fault := e.recordExecution(r, body)
	run := &run{writer: w, httpRequest: r, request: request, execution: execution, fault: fault, engine: e}
	if fault.CrashOn != "" && request.Contains(fault.CrashOn) && e.config.Crash != nil {
		e.config.Crash()
	}
	kvTokens := request.PromptLength() + request.OutputLimit()
	if !e.batch.acquire(r.Context(), priority(body), kvTokens) {
		return
	}
	defer e.batch.release(kvTokens)
	if !run.pause(e.batch.prefill(request)) {
		return
	}
	if request.Stream {
		run.writeStream()
		return
	}
	run.writeCompletion()
}

// priority returns the request's priority; a smaller number is a higher priority.
func priority(body []byte) int {
	var request struct {
		Priority int `json:"priority"`
	}
	_ = json.Unmarshal(body, &request)
	return request.Priority
}

func (e *Engine) recordExecution(r *http.Request, body []byte) (*Execution, Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	execution := &Execution{
		Request:    ident.Request(r.Header.Get(api.HeaderRequestID)),
		ReceivedMS: time.Now().UnixMilli(),
		Header:     r.Header.Clone(),
		Body:       string(body),
	}
	e.executions = append(e.executions, execution)
	if e.config.Log != nil {
		_, _ = fmt.Fprintf(e.config.Log, "event=executed body=%s\n", body)
	}
	return execution, e.fault
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

func (e *Engine) listExecutions(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := ExecutionsResponse{}
	for _, execution := range e.executions {
		response.Executions = append(response.Executions, *execution)
	}
	_ = json.NewEncoder(w).Encode(response)
}

// run is the execution of one request by the engine.
type run struct {
	writer      http.ResponseWriter
	httpRequest *http.Request
	request     api.CompletionRequest
	execution   *Execution
	fault       Fault
	engine      *Engine
}

// id returns a response ID that contains the request ID and the prompt, so that tests detect a response to a different request.
func (r *run) id() string {
	id := "stub-" + string(r.execution.Request)
	for _, message := range r.request.Messages {
		id += "-" + strings.Trim(string(message.Content), `"`)
	}
	return id
}

func (r *run) usage() api.Usage {
	prompt := r.request.PromptLength()
	completion := r.request.OutputLimit()
	return api.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

func (r *run) writeCompletion() {
	var text string
	for index := range r.request.OutputLimit() {
		if !r.waitForToken() || r.recordToken(index) {
			return
		}
		text += tokenText(index)
	}
	completion := api.Completion{
		ID: r.id(), Object: "chat.completion", Model: r.request.Model,
		Choices: []api.Choice{{Message: &api.Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   new(api.Usage),
	}
	*completion.Usage = r.usage()
	r.markCompleted()
	r.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.writer).Encode(completion)
}

func (r *run) writeStream() {
	r.writer.Header().Set("Content-Type", "text/event-stream")
	for index := range r.request.OutputLimit() {
		if !r.waitForToken() || r.recordToken(index) {
			return
		}
		r.writeEvent(api.Completion{
			ID: r.id(), Object: "chat.completion.chunk", Model: r.request.Model,
			Choices: []api.Choice{{Delta: &api.Message{Content: tokenText(index)}}},
		})
	}
	r.markCompleted()
	if r.request.StreamOptions != nil && r.request.StreamOptions.IncludeUsage {
		usage := r.usage()
		r.writeEvent(api.Completion{ID: r.id(), Object: "chat.completion.chunk", Model: r.request.Model, Choices: []api.Choice{}, Usage: &usage})
	}
	_, _ = io.WriteString(r.writer, "data: [DONE]\n\n")
}

func (r *run) writeEvent(chunk api.Completion) {
	body, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(r.writer, "data: %s\n\n", body)
	_ = http.NewResponseController(r.writer).Flush()
}

func (r *run) waitForToken() bool {
	return r.pause(time.Duration(r.fault.TokenDelayMS) * time.Millisecond)
}

// pause waits for the duration of a step, and reports whether the caller is still connected.
func (r *run) pause(step time.Duration) bool {
	if step == 0 {
		return r.httpRequest.Context().Err() == nil
	}
	if r.fault.SlowFactor > 0 {
		step = time.Duration(float64(step) * r.fault.SlowFactor)
	}
	select {
	case <-time.After(step):
		return true
	case <-r.httpRequest.Context().Done():
		return false
	}
}

// recordToken records a generated token. If the fault interrupts the response at this token, it writes the start of an event and
// aborts the connection. It returns false.
func (r *run) recordToken(index ident.Tokens) bool {
	r.engine.mu.Lock()
	r.execution.Tokens = index + 1
	r.engine.mu.Unlock()
	if r.fault.InterruptAfter > 0 && int(index) >= r.fault.InterruptAfter {
		_, _ = io.WriteString(r.writer, `{"id":`)
		_ = http.NewResponseController(r.writer).Flush()
		panic(http.ErrAbortHandler)
	}
	return false
}

func (r *run) markCompleted() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.execution.Completed = true
}

func tokenText(index ident.Tokens) string {
	return fmt.Sprintf("w%d ", index)
}
