// Package enginestub is a small stand-in of a model engine with an OpenAI-compatible interface.
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

// Paths for scripts.
const (
	PathFaults     = "/stub/faults"
	PathExecutions = "/stub/executions"
)

// maxBody is the greatest size of a request body, in bytes.
const maxBody = 16 << 20

// Fault sets how the engine fails.
type Fault struct {
	// TokenDelayMS is the time between two tokens.
	TokenDelayMS int64 `json:"token_delay_ms"`
	// CutAfter ends the connection after this many tokens and the start of another part; 0 means never.
	CutAfter int `json:"cut_after"`
	// CrashOn ends the process when the prompt holds this text.
	CrashOn string `json:"crash_on"`
	// SlowFactor makes every step take so many times as long; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// Execution is one request that reached the engine.
type Execution struct {
	Request    ident.Request `json:"request"`
	ReceivedMS int64         `json:"received_ms"`
	Completed  bool          `json:"completed"`
	Tokens     ident.Tokens  `json:"tokens"`
	// Header and Body are what the engine saw, for checks that no key is in them.
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// ExecutionsAnswer is the log of executions.
type ExecutionsAnswer struct {
	Executions []Execution `json:"executions"`
}

// Config says how the engine behaves.
type Config struct {
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	Batching   Batching
	// Crash ends the process; nil means that CrashOn has no effect.
	Crash func()
	// Log gets one line an execution, which outlives the process; nil means none.
	Log io.Writer
}

// Engine is the stand-in.
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
	execution, fault := e.begin(r, body)
	run := &run{w: w, r: r, request: request, execution: execution, fault: fault, engine: e}
	if fault.CrashOn != "" && request.Contains(fault.CrashOn) && e.config.Crash != nil {
		e.config.Crash()
	}
	need := request.PromptLength() + request.OutputLimit()
	if !e.batch.enter(r.Context(), priority(body), need) {
		return
	}
	defer e.batch.leave(need)
	if !run.pause(e.batch.prefill(request)) {
		return
	}
	if request.Stream {
		run.stream()
		return
	}
	run.whole()
}

// priority returns the request's priority; a smaller number is more urgent.
func priority(body []byte) int {
	var request struct {
		Priority int `json:"priority"`
	}
	_ = json.Unmarshal(body, &request)
	return request.Priority
}

func (e *Engine) begin(r *http.Request, body []byte) (*Execution, Fault) {
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
	answer := ExecutionsAnswer{}
	for _, execution := range e.executions {
		answer.Executions = append(answer.Executions, *execution)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// run is one request at the engine.
type run struct {
	w         http.ResponseWriter
	r         *http.Request
	request   api.CompletionRequest
	execution *Execution
	fault     Fault
	engine    *Engine
}

// id binds an answer to its request and prompt, so that a check sees a crossed one.
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

func (r *run) whole() {
	var text string
	for index := range r.request.OutputLimit() {
		if !r.wait() || r.cut(index) {
			return
		}
		text += token(index)
	}
	answer := api.Completion{
		ID: r.id(), Object: "chat.completion", Model: r.request.Model,
		Choices: []api.Choice{{Message: &api.Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   new(api.Usage),
	}
	*answer.Usage = r.usage()
	r.finish()
	r.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.w).Encode(answer)
}

func (r *run) stream() {
	r.w.Header().Set("Content-Type", "text/event-stream")
	for index := range r.request.OutputLimit() {
		if !r.wait() || r.cut(index) {
			return
		}
		r.event(api.Completion{
			ID: r.id(), Object: "chat.completion.chunk", Model: r.request.Model,
			Choices: []api.Choice{{Delta: &api.Message{Content: token(index)}}},
		})
	}
	r.finish()
	if r.request.StreamOptions != nil && r.request.StreamOptions.IncludeUsage {
		usage := r.usage()
		r.event(api.Completion{ID: r.id(), Object: "chat.completion.chunk", Model: r.request.Model, Choices: []api.Choice{}, Usage: &usage})
	}
	_, _ = io.WriteString(r.w, "data: [DONE]\n\n")
}

func (r *run) event(chunk api.Completion) {
	body, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(r.w, "data: %s\n\n", body)
	_ = http.NewResponseController(r.w).Flush()
}

func (r *run) wait() bool {
	return r.pause(time.Duration(r.fault.TokenDelayMS) * time.Millisecond)
}

// pause waits for a step of the engine and reports whether the caller is still there.
func (r *run) pause(step time.Duration) bool {
	if step == 0 {
		return r.r.Context().Err() == nil
	}
	if r.fault.SlowFactor > 0 {
		step = time.Duration(float64(step) * r.fault.SlowFactor)
	}
	select {
	case <-time.After(step):
		return true
	case <-r.r.Context().Done():
		return false
	}
}

func (r *run) cut(index ident.Tokens) bool {
	r.engine.mu.Lock()
	r.execution.Tokens = index + 1
	r.engine.mu.Unlock()
	if r.fault.CutAfter > 0 && int(index) >= r.fault.CutAfter {
		_, _ = io.WriteString(r.w, `{"id":`)
		_ = http.NewResponseController(r.w).Flush()
		panic(http.ErrAbortHandler)
	}
	return false
}

func (r *run) finish() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.execution.Completed = true
}

func token(index ident.Tokens) string {
	return fmt.Sprintf("w%d ", index)
}
