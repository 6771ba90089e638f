// Package configuration defines the configuration that operators manage: partners, customers, keys, classes, pools and endpoints.
package configuration

import (
	"time"

	"vanillapond/pkg/ident"
)

// Kind distinguishes pools of model engines from pools of plain services.
type Kind string

// Kinds of pools.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Configuration is one numbered version of the configuration.
//
// Lists are sorted by id, and ids are unique within a list.
type Configuration struct {
	// Version increases by one with each accepted patch.
	Version   ident.Version `json:"version"   yaml:"version"`
	Billing   Billing       `json:"billing"   yaml:"billing"`
	Partners  []Partner     `json:"partners"  yaml:"partners"`
	Customers []Customer    `json:"customers" yaml:"customers"`
	Keys      []Key         `json:"keys"      yaml:"keys"`
	Classes   []Class       `json:"classes"   yaml:"classes"`
	Pools     []Pool        `json:"pools"     yaml:"pools"`
	Endpoints []Endpoint    `json:"endpoints" yaml:"endpoints"`
}

// Billing defines the usage windows.
type Billing struct {
	// WindowSeconds is the length of a usage window.
	WindowSeconds int64 `json:"window_seconds" yaml:"window_seconds"`
}

// Partner is one of the organizations that run the deployment jointly. Each manages its own customers and keys.
type Partner struct {
	ID ident.Partner `json:"id" yaml:"id"`
	// Operators are the digests of the credentials that may change this partner's customers and keys.
	Operators []ident.KeyDigest `json:"operators" yaml:"operators"`
}

// Customer is a tenant of a partner.
type Customer struct {
	ID      ident.Customer `json:"id"      yaml:"id"`
	Partner ident.Partner  `json:"partner" yaml:"partner"`
	// Weight determines the customer's share of the service relative to others of the same class; at least 1.
	Weight int    `json:"weight" yaml:"weight"`
	Limits Limits `json:"limits" yaml:"limits"`
}

// Limits are the limits of a customer's usage; 0 means no limit.
type Limits struct {
	RequestsPerSecond int          `json:"requests_per_second" yaml:"requests_per_second"`
	Concurrency       int          `json:"concurrency"         yaml:"concurrency"`
	TokensPerWindow   ident.Tokens `json:"tokens_per_window"   yaml:"tokens_per_window"`
}

// Key is an API key. Its bearer acts for a customer.
type Key struct {
	Digest   ident.KeyDigest `json:"digest"   yaml:"digest"`
	Customer ident.Customer  `json:"customer" yaml:"customer"`
	// Classes are the classes that the key may use; the first is the default.
	Classes []ident.Class `json:"classes" yaml:"classes"`
}

// Class is a service class of requests, with its latency targets and its priority.
type Class struct {
	ID   ident.Class `json:"id"   yaml:"id"`
	Pool ident.Pool  `json:"pool" yaml:"pool"`
	// Tier is the priority of the class: a smaller number is served first.
	Tier ident.Tier `json:"tier" yaml:"tier"`
	// FirstTokenMS is the target for the time to the first byte of the response, in milliseconds.
	FirstTokenMS int64 `json:"first_token_ms" yaml:"first_token_ms"`
	// BetweenTokensMS is the target for the time between two tokens, in milliseconds; 0 means no target.
	BetweenTokensMS int64 `json:"between_tokens_ms" yaml:"between_tokens_ms"`
	// DeadlineMS is the maximum duration of a request, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms" yaml:"deadline_ms"`
	// FloorPercent is the minimum share of service that is guaranteed to the class while it has demand, in percent.
	FloorPercent int `json:"floor_percent" yaml:"floor_percent"`
	// Idempotent says that running a request more than once does no harm.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Routes are the path prefixes of a plain service. They are empty for classes of model engines.
	Routes []string `json:"routes" yaml:"routes"`
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	ID     ident.Pool    `json:"id"     yaml:"id"`
	Kind   Kind          `json:"kind"   yaml:"kind"`
	Models []ident.Model `json:"models" yaml:"models"`
	// ChecksFence says that the backends refuse orders with an outdated fencing number.
	ChecksFence bool `json:"checks_fence" yaml:"checks_fence"`
	// Concurrency is the maximum number of requests that one endpoint runs at a time.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// MinPerDomain and MaxPerDomain limit the number of running endpoints in each failure domain.
	MinPerDomain int `json:"min_per_domain" yaml:"min_per_domain"`
	MaxPerDomain int `json:"max_per_domain" yaml:"max_per_domain"`
	// CostPerHour is the price of one running endpoint, in cents.
	CostPerHour int64 `json:"cost_per_hour" yaml:"cost_per_hour"`
}

// Endpoint is one backend together with its sidecar.
type Endpoint struct {
	ID     ident.Endpoint      `json:"id"     yaml:"id"`
	Pool   ident.Pool          `json:"pool"   yaml:"pool"`
	Domain ident.FailureDomain `json:"domain" yaml:"domain"`
	// Sidecar is the address of the sidecar, as host:port.
	Sidecar string `json:"sidecar" yaml:"sidecar"`
	// Draining says that the endpoint gets no new requests.
	Draining bool `json:"leaving" yaml:"leaving"`
}

// FirstToken returns the target for the time to the first byte of the response.
func (c Class) FirstToken() time.Duration {
	return time.Duration(c.FirstTokenMS) * time.Millisecond
}

// BetweenTokens returns the target for the time between two tokens; 0 means no target.
func (c Class) BetweenTokens() time.Duration {
	return time.Duration(c.BetweenTokensMS) * time.Millisecond
}

// Deadline returns the maximum duration of a request.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}
