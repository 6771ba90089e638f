// Package operator defines the wire types of the operator API, and a client.
package operator

import (
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Procedures of the operator API.
const (
	ProcedurePatch = "/vanillapond.operator.v1.Operator/Patch"
	ProcedureGet   = "/vanillapond.operator.v1.Operator/Get"
	// ProcedureHistory lists accepted patches.
	ProcedureHistory = "/vanillapond.operator.v1.Operator/History"
)

// MaxMessageBytes is the maximum size of a request or a response. The largest known configuration fits into it.
const MaxMessageBytes = 16 << 20

// MaxHistory is the maximum number of changes in one response.
const MaxHistory = 200

// PatchRequest submits a change of the configuration.
type PatchRequest struct {
	Patch configuration.Patch `json:"patch"`
}

// Check returns an error if the id of the patch is missing or invalid.
func (r *PatchRequest) Check() error {
	return ident.Check("patch.id", r.Patch.ID)
}

// PatchResponse holds the version that contains the patch.
type PatchResponse struct {
	Version ident.Version `json:"version"`
	// Missing lists the live entries that are not known to have the version.
	Missing []string `json:"missing,omitempty"`
	// StaleUntil is the time by which the missing entries no longer accept keys by an older version.
	StaleUntil time.Time `json:"stale_until,omitzero"`
}

// Check returns an error unless the version is 1 or more.
func (r *PatchResponse) Check() error {
	if r.Version < 1 {
		return oops.Errorf("version: found %d, want 1 or more", r.Version)
	}
	return nil
}

// GetRequest requests the current configuration.
type GetRequest struct{}

// Check implements Message.
func (*GetRequest) Check() error { return nil }

// GetResponse holds the current configuration.
type GetResponse struct {
	Configuration configuration.Configuration `json:"configuration"`
}

// Check implements Message.
func (*GetResponse) Check() error { return nil }

// HistoryRequest requests the last accepted patches.
type HistoryRequest struct {
	// Limit is the maximum number of changes to return, 0 to MaxHistory; with 0 only the current version is returned.
	Limit int `json:"limit"`
}

// Check returns an error if the limit is out of range.
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
