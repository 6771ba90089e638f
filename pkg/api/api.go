// Package api holds the callers' wire types.
package api

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Paths of the callers' API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// Header fields of the callers' API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "X-Request-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAuthorization  = "Authorization"
	HeaderAPIKey         = "X-Api-Key" //nolint:gosec // The name of a header field.
	HeaderRetryAfter     = "Retry-After"
	// HeaderReplayed marks an answer that an earlier request with the same idempotency key got.
	HeaderReplayed = "Idempotency-Replayed"
)

// defaultLength is the length of an answer without max_tokens, in tokens.
const defaultLength = 16

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// StreamOptions ask for further parts of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// CompletionRequest is the part of a chat or completion request that the system reads.
type CompletionRequest struct {
	Model         ident.Model     `json:"model"`
	Messages      []ChatMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	StreamOptions *StreamOptions  `json:"stream_options"`
	MaxTokens     ident.Tokens    `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens ident.Tokens `json:"max_completion_tokens"`
}

// ChatMessage is one message of a request, its content left as it came.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Check returns an error where a field breaks the API.
func (r CompletionRequest) Check() error {
	if r.Model == "" {
		return oops.Errorf("model: found nothing, want a model's name")
	}
	if len(r.Messages) == 0 && len(r.Prompt) == 0 {
		return oops.Errorf("messages: found none, want messages or a prompt")
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return oops.Errorf("max_tokens: found a negative number, want 0 or more")
	}
	return nil
}

// OutputLimit returns how many tokens the request asks for at most, or a short default.
func (r CompletionRequest) OutputLimit() ident.Tokens {
	if limit := max(r.MaxTokens, r.MaxCompletionTokens); limit > 0 {
		return limit
	}
	return defaultLength
}

// PromptLength returns an estimate of the prompt's length in tokens.
func (r CompletionRequest) PromptLength() ident.Tokens {
	const bytesPerToken = 4
	size := len(r.Prompt)
	for _, message := range r.Messages {
		size += len(message.Content)
	}
	return ident.Tokens(size/bytesPerToken + 1)
}

// Contains reports whether a message or the prompt holds text.
func (r CompletionRequest) Contains(text string) bool {
	for _, message := range r.Messages {
		if bytes.Contains(message.Content, []byte(text)) {
			return true
		}
	}
	return strings.Contains(string(r.Prompt), text)
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	TotalTokens      ident.Tokens `json:"total_tokens"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Completion is an answer, or one event of a streamed answer.
type Completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   ident.Model `json:"model"`
	Choices []Choice    `json:"choices"`
	Usage   *Usage      `json:"usage,omitempty"`
}

// Model is one model that a key may use.
type Model struct {
	ID     ident.Model `json:"id"`
	Object string      `json:"object"`
}

// Models is the list of models that a key may use.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Code says why a request got no answer.
type Code string

// Error codes.
const (
	CodeUnauthorized       Code = "unauthorized"
	CodeForbidden          Code = "forbidden"
	CodeBadRequest         Code = "bad_request"
	CodeNotFound           Code = "not_found"
	CodeTooLarge           Code = "too_large"
	CodeLimited            Code = "limited"
	CodeOverloaded         Code = "overloaded"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeNotReady           Code = "not_ready"
	CodeConfigurationStale Code = "configuration_not_fresh"
	CodeKeyWithdrawn       Code = "key_withdrawn"
	CodePoisoned           Code = "repeatedly_fatal_request"
	CodeInProgress         Code = "in_progress"
	CodeConflict           Code = "idempotency_conflict"
	CodeResponseNotStored  Code = "answer_not_kept"
	CodeUnknownOutcome     Code = "outcome_unknown"
	CodeEndpointFailed     Code = "endpoint_failed"
	CodeTableUnavailable   Code = "table_unavailable"
)

// Error is the body of every refusal and failure.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and whether the request ran.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// NotRun is true only if the request did not run and never will.
	NotRun    bool          `json:"not_run"`
	RequestID ident.Request `json:"request_id"`
	// RetryAfterMS is when coming back may help, in milliseconds; 0 means that it does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
