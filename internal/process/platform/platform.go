// Package platform defines the interfaces and messages of the platform's services that the router uses.
package platform

import (
	"context"
	"encoding/json"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Paths of the platform's services.
const (
	PathTableRead   = "/table/read"
	PathTableScan   = "/table/scan"
	PathTableCommit = "/table/commit"
	PathObjects     = "/objects/"
	PathOrders      = "/orders"
	PathReports     = "/reports"
	PathVMs         = "/vms"
)

// HeaderProcess is the header with the name of the calling process.
const HeaderProcess = "X-Process"

// ReadRequest requests rows by their keys.
type ReadRequest struct {
	Keys []table.Key `json:"keys"`
}

// ScanRequest requests at most Limit rows whose keys have a prefix, starting after the key After.
type ScanRequest struct {
	Prefix table.Key `json:"prefix"`
	After  table.Key `json:"after"`
	Limit  int       `json:"limit"`
}

// RowsResponse is the response to a ReadRequest or a ScanRequest.
type RowsResponse struct {
	Rows []table.Row `json:"rows"`
}

// Action is the action that an order requests.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Order is a request to the platform to start or stop an endpoint in a failure domain.
type Order struct {
	// ID makes the order idempotent.
	ID string `json:"id"`
	// Fence is the fencing number of the sender's lease.
	Fence    ident.Fence         `json:"fence"`
	Sender   ident.Process       `json:"sender"`
	Action   Action              `json:"action"`
	Domain   ident.FailureDomain `json:"domain"`
	Pool     ident.Pool          `json:"pool"`
	Endpoint ident.Endpoint      `json:"endpoint"`
}

// Report is the usage of a customer in a billing window.
type Report struct {
	// ID is the same each time the report is sent.
	ID       string         `json:"id"`
	Sender   ident.Process  `json:"sender"`
	Fence    ident.Fence    `json:"fence"`
	Customer ident.Customer `json:"customer"`
	Window   ident.Window   `json:"window"`
	// Body is the canonical form of the frozen (no longer changing) usage of the window.
	Body json.RawMessage `json:"body"`
}

// RoleEntry is the role of entry processes in the list of VMs.
const RoleEntry = "entry"

// VM is an element of the platform's list of VMs, which may be out of date.
type VM struct {
	ID     string              `json:"id"`
	Domain ident.FailureDomain `json:"domain"`
	// Role is entry, engine or service.
	Role string `json:"role"`
	// Address is the host:port at which the vanillapond process on the VM listens for its peers.
	Address  string `json:"address"`
	Draining bool   `json:"leaving"`
}

// VMsResponse is the response with the platform's list of VMs.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

// Gate is called immediately before each network write of a call; if it returns an error, nothing is written.
type Gate func() error

// Orders is the platform's service that starts and stops endpoints.
type Orders interface {
	// Send sends an order to the platform; an order with an ID that was sent before has no further effect.
	//
	// It returns table.ErrConflict if the fencing number is outdated; other errors are table.ErrRefused and
	// table.ErrOutcomeUnknown.
	Send(ctx context.Context, order Order, gate Gate) error
}

// Reports is the platform's service that receives usage reports.
type Reports interface {
	// Report sends a usage report to the platform; its errors are table.ErrRefused and table.ErrOutcomeUnknown.
	Report(ctx context.Context, report Report, gate Gate) error
}

// VMs is the platform's service that lists the VMs.
type VMs interface {
	// VMs returns the platform's list, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the object with the name, or table.ErrRefused if there is none.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
