// Package configuration holds what operators decide: customers, keys, classes and endpoints.
package configuration

import (
	"time"

	"vanillapond/pkg/ident"
)

// Kind tells model engines from plain services.
type Kind string

// Kinds of pools.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Configuration is one numbered version of everything that operators decide.
//
// Lists are sorted by id and hold no id twice.
type Configuration struct {
	// Version goes up by one with each accepted patch.
	Version   ident.Version `json:"version"   yaml:"version"`
	Billing   Billing       `json:"billing"   yaml:"billing"`
	Partners  []Partner     `json:"partners"  yaml:"partners"`
	Customers []Customer    `json:"customers" yaml:"customers"`
	Keys      []Key         `json:"keys"      yaml:"keys"`
	Classes   []Class       `json:"classes"   yaml:"classes"`
	Pools     []Pool        `json:"pools"     yaml:"pools"`
	Endpoints []Endpoint    `json:"endpoints" yaml:"endpoints"`
}

// Billing says how usage is cut into windows.
type Billing struct {
	// WindowSeconds is the length of a usage window.
	WindowSeconds int64 `json:"window_seconds" yaml:"window_seconds"`
}

// Partner is a firm of the joint venture.
type Partner struct {
	ID ident.Partner `json:"id" yaml:"id"`
	// Operators are the digests of the credentials that may change this partner's part.
	Operators []ident.KeyDigest `json:"operators" yaml:"operators"`
}

// Customer is a tenant of a partner.
type Customer struct {
	ID      ident.Customer `json:"id"      yaml:"id"`
	Partner ident.Partner  `json:"partner" yaml:"partner"`
	// Weight is the customer's share against others of the same class; at least 1.
	Weight int    `json:"weight" yaml:"weight"`
	Limits Limits `json:"limits" yaml:"limits"`
}

// Limits bound what a customer may use; 0 means no limit.
type Limits struct {
	RequestsPerSecond int          `json:"requests_per_second" yaml:"requests_per_second"`
	Concurrency       int          `json:"concurrency"         yaml:"concurrency"`
	TokensPerWindow   ident.Tokens `json:"tokens_per_window"   yaml:"tokens_per_window"`
}

// Key lets its bearer act for a customer.
type Key struct {
	Digest   ident.KeyDigest `json:"digest"   yaml:"digest"`
	Customer ident.Customer  `json:"customer" yaml:"customer"`
	// Classes are the classes that the key may use; the first is the default.
	Classes []ident.Class `json:"classes" yaml:"classes"`
}

// Class is a kind of request with its targets and its place in the order.
type Class struct {
	ID   ident.Class `json:"id"   yaml:"id"`
	Pool ident.Pool  `json:"pool" yaml:"pool"`
	// Tier orders classes: a smaller number is more urgent.
	Tier ident.Tier `json:"tier" yaml:"tier"`
	// FirstTokenMS is the target for the first byte of the answer, in milliseconds.
	FirstTokenMS int64 `json:"first_token_ms" yaml:"first_token_ms"`
	// BetweenTokensMS is the target between two tokens, in milliseconds; 0 means none.
	BetweenTokensMS int64 `json:"between_tokens_ms" yaml:"between_tokens_ms"`
	// DeadlineMS is the longest time a request may take as a whole, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms" yaml:"deadline_ms"`
	// FloorPercent is the share of service that the class gets while it has demand.
	FloorPercent int `json:"floor_percent" yaml:"floor_percent"`
	// Idempotent says that running a request twice does no harm.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Routes are the path prefixes of a plain service; empty for engine classes.
	Routes []string `json:"routes" yaml:"routes"`
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	ID     ident.Pool    `json:"id"     yaml:"id"`
	Kind   Kind          `json:"kind"   yaml:"kind"`
	Models []ident.Model `json:"models" yaml:"models"`
	// ChecksFence says that the back ends refuse orders with an old fencing number.
	ChecksFence bool `json:"checks_fence" yaml:"checks_fence"`
	// Concurrency is how many requests one endpoint runs at a time.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// MinPerDomain and MaxPerDomain bound the running endpoints in each failure domain.
	MinPerDomain int `json:"min_per_domain" yaml:"min_per_domain"`
	MaxPerDomain int `json:"max_per_domain" yaml:"max_per_domain"`
	// CostPerHour is the price of one running endpoint, in cents.
	CostPerHour int64 `json:"cost_per_hour" yaml:"cost_per_hour"`
}

// Endpoint is one back end and the sidecar beside it.
type Endpoint struct {
	ID     ident.Endpoint      `json:"id"     yaml:"id"`
	Pool   ident.Pool          `json:"pool"   yaml:"pool"`
	Domain ident.FailureDomain `json:"domain" yaml:"domain"`
	// Sidecar is the address of the sidecar, as host:port.
	Sidecar string `json:"sidecar" yaml:"sidecar"`
	// Draining says that the endpoint gets no new work.
	Draining bool `json:"leaving" yaml:"leaving"`
}

// FirstToken returns the target for the first byte of the answer.
func (c Class) FirstToken() time.Duration {
	return time.Duration(c.FirstTokenMS) * time.Millisecond
}

// BetweenTokens returns the target between two tokens, 0 meaning none.
func (c Class) BetweenTokens() time.Duration {
	return time.Duration(c.BetweenTokensMS) * time.Millisecond
}

// Deadline returns the longest time a request may take as a whole.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}
