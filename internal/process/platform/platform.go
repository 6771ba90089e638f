// Package platform describes the platform's services as the system uses them.
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

// HeaderProcess names the process that calls.
const HeaderProcess = "X-Process"

// ReadRequest asks for rows.
type ReadRequest struct {
	Keys []table.Key `json:"keys"`
}

// ScanRequest asks for the rows under a prefix.
type ScanRequest struct {
	Prefix table.Key `json:"prefix"`
	After  table.Key `json:"after"`
	Limit  int       `json:"limit"`
}

// RowsResponse holds the rows of a read or a scan.
type RowsResponse struct {
	Rows []table.Row `json:"rows"`
}

// Action is what an order asks for.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Order asks the platform to start or stop an endpoint in a failure domain.
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

// Report is the usage of one customer in one window.
type Report struct {
	// ID is the same for every sending of one report.
	ID       string         `json:"id"`
	Sender   ident.Process  `json:"sender"`
	Fence    ident.Fence    `json:"fence"`
	Customer ident.Customer `json:"customer"`
	Window   ident.Window   `json:"window"`
	// Body is the canonical form of the frozen figures.
	Body json.RawMessage `json:"body"`
}

// RoleEntry is the role of entries in the list of VMs.
const RoleEntry = "entry"

// VM is one line of the platform's lagging list.
type VM struct {
	ID     string              `json:"id"`
	Domain ident.FailureDomain `json:"domain"`
	// Role is entry, engine or service.
	Role string `json:"role"`
	// Address is the host:port at which the VM's process of the system listens for its peers.
	Address  string `json:"address"`
	Draining bool   `json:"leaving"`
}

// VMsResponse is the platform's list of VMs.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

// Gate is asked right before each write of a call to the network; its error stops the write.
type Gate func() error

// Orders takes orders to start and stop endpoints.
type Orders interface {
	// Send gives an order to the platform; a repeat with the same id has no further effect.
	//
	// It returns table.ErrConflict for an old fencing number, else table.ErrRefused or table.ErrUnknown.
	Send(ctx context.Context, order Order, gate Gate) error
}

// Reports takes usage reports.
type Reports interface {
	// Report gives a usage report to the platform; it returns table.ErrRefused or table.ErrUnknown.
	Report(ctx context.Context, report Report) error
}

// VMs lists the VMs of the system.
type VMs interface {
	// VMs returns the platform's lagging list.
	VMs(ctx context.Context) ([]VM, error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the object with the name, or table.ErrRefused where there is none.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
