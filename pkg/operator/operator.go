// Package operator holds the operators' wire types and a client for their API.
package operator

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Procedures of the operators' API.
const (
	ProcedurePatch = "/vanillapond.operator.v1.Operator/Patch"
	ProcedureGet   = "/vanillapond.operator.v1.Operator/Get"
	// ProcedureHistory lists accepted patches.
	ProcedureHistory = "/vanillapond.operator.v1.Operator/History"
)

// MaxMessageBytes is the greatest size of a request or an answer, in bytes; a configuration of today's largest size fits in.
const MaxMessageBytes = 16 << 20

// MaxHistory is how many changes one answer holds.
const MaxHistory = 200

// PatchRequest asks for a change of the configuration.
type PatchRequest struct {
	Patch configuration.Patch `json:"patch"`
}

// Check returns an error where the patch has no id.
func (r *PatchRequest) Check() error {
	return ident.Check("patch.id", r.Patch.ID)
}

// PatchResponse says which version holds the patch.
type PatchResponse struct {
	Version ident.Version `json:"version"`
	// Missing names the live entries that were not seen to hold the version.
	Missing []string `json:"missing,omitempty"`
	// StaleUntil is when the missing ones have stopped to take keys by an older version, at the latest.
	StaleUntil time.Time `json:"stale_until,omitzero"`
}

// Check returns an error unless the version is 1 or more.
func (a *PatchResponse) Check() error {
	if a.Version < 1 {
		return oops.Errorf("version: found %d, want 1 or more", a.Version)
	}
	return nil
}

// GetRequest asks for the current configuration.
type GetRequest struct{}

// Check implements Message.
func (*GetRequest) Check() error { return nil }

// GetResponse is the current configuration.
type GetResponse struct {
	Configuration configuration.Configuration `json:"configuration"`
}

// Check implements Message.
func (*GetResponse) Check() error { return nil }

// HistoryRequest asks for the last accepted patches.
type HistoryRequest struct {
	// Limit is how many changes are wanted, 0 to MaxHistory; 0 asks for the current version alone.
	Limit int `json:"limit"`
}

// Check returns an error where the limit is out of its bounds.
func (r *HistoryRequest) Check() error {
	if r.Limit < 0 || r.Limit > MaxHistory {
		return oops.Errorf("limit: found %d, want 0 to %d", r.Limit, MaxHistory)
	}
	return nil
}

// HistoryResponse lists accepted patches, oldest first.
type HistoryResponse struct {
	// Version is the current version.
	Version ident.Version          `json:"version"`
	Changes []configuration.Change `json:"changes"`
}

// Check implements Message.
func (*HistoryResponse) Check() error { return nil }
