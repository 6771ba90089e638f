// Package platformstub is a stub of the platform's services, with faults that a test script injects.
package platformstub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// PathFaults is the path at which a PUT sets a Fault.
const PathFaults = "/faults"

// HeaderScript marks the calls of a test script, to which faults do not apply.
const HeaderScript = "X-Script"

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 64 << 20

// Mode is the way in which a service of the stub fails.
type Mode string

// Failure modes.
const (
	ModeOK Mode = ""
	// ModeDown responds to every call with status 503, without effect.
	ModeDown Mode = "down"
	// ModeHang does not respond until the caller gives up, and calls have no effect.
	ModeHang Mode = "hang"
	// ModeLoseResponses applies calls, then closes the connection without a response.
	ModeLoseResponses Mode = "lose_answers"
	// ModeApplyLate closes the connection without a response and applies calls after the delay, as with a slow network.
	ModeApplyLate Mode = "late"
)

// Fault configures the failures of the services under a path.
type Fault struct {
	// Path is the prefix of the paths to which the fault applies, such as /table/ or /orders.
	Path string `json:"path"`
	Mode Mode   `json:"mode"`
	// DelayMS is the time before a call is handled; with ModeApplyLate, the time before it is applied.
	DelayMS int64 `json:"delay_ms"`
	// Peer limits the fault to requests from the process with this name; empty means all processes.
	Peer ident.Process `json:"peer"`
}

// ReceivedOrder is an order that the stub has received.
type ReceivedOrder struct {
	platform.Order
	ReceivedMS int64 `json:"received_ms"`
	// Refused reports that the order was refused because of an outdated fencing number.
	Refused bool `json:"refused"`
	// Repeated reports that an order with the same ID was accepted before.
	Repeated bool `json:"repeated"`
}

// ReceivedReport is a report that the stub has received.
type ReceivedReport struct {
	platform.Report
	ReceivedMS int64 `json:"received_ms"`
}

// OrdersResponse is the response with the log of orders.
type OrdersResponse struct {
	Orders []ReceivedOrder `json:"orders"`
}

// ReportsResponse is the response with the log of reports.
type ReportsResponse struct {
	Reports []ReceivedReport `json:"reports"`
}

// Config configures the stub.
type Config struct {
	// ChecksFence makes the order interface refuse outdated fencing numbers.
	ChecksFence bool
}

// Platform is the stub.
type Platform struct {
	config Config
	table  *table.Memory
	mu     sync.Mutex
	// All below is guarded by mu.
	objects map[string][]byte
	orders  []ReceivedOrder
	reports []ReceivedReport
	vms     []platform.VM
	faults  []Fault
	// fences holds the highest fencing number accepted for each failure domain.
	fences map[ident.FailureDomain]ident.Fence
}

// New returns a stub without any stored data or faults.
func New(config Config) *Platform {
	return &Platform{
		config:  config,
		table:   table.NewMemory(),
		objects: make(map[string][]byte),
		fences:  make(map[ident.FailureDomain]ident.Fence),
	}
}

// Table returns the stub's table; faults do not apply to direct calls.
func (p *Platform) Table() *table.Memory { return p.table }

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathTableRead, p.read)
	mux.HandleFunc("POST "+platform.PathTableScan, p.scan)
	mux.HandleFunc("POST "+platform.PathTableCommit, p.commit)
	mux.HandleFunc("PUT "+platform.PathObjects+"{name...}", p.putObject)
	mux.HandleFunc("GET "+platform.PathObjects+"{name...}", p.getObject)
	mux.HandleFunc("POST "+platform.PathOrders, p.receiveOrder)
	mux.HandleFunc("GET "+platform.PathOrders, p.listOrders)
	mux.HandleFunc("POST "+platform.PathReports, p.receiveReport)
	mux.HandleFunc("GET "+platform.PathReports, p.listReports)
	mux.HandleFunc("GET "+platform.PathVMs, p.listVMs)
	mux.HandleFunc("PUT "+platform.PathVMs, p.setVMs)
	mux.HandleFunc("PUT "+PathFaults, p.setFault)
	return p.injectFaults(mux)
}

// injectFaults wraps a handler so that the faults apply to all calls but those of test scripts.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := p.matchFault(r)
		if fault.DelayMS > 0 && fault.Mode != ModeApplyLate {
			select {
			case <-time.After(time.Duration(fault.DelayMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		switch fault.Mode {
		case ModeDown:
			w.WriteHeader(http.StatusServiceUnavailable)
		case ModeHang:
			<-r.Context().Done()
		case ModeLoseResponses:
			next.ServeHTTP(discardResponse{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		case ModeApplyLate:
			applyLater(time.Duration(fault.DelayMS)*time.Millisecond, next, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// applyLater runs a call after a delay and discards its response.
func applyLater(delay time.Duration, next http.Handler, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	delayed := r.Clone(context.Background())
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { next.ServeHTTP(discardResponse{header: make(http.Header)}, delayed) })
}

// matchFault returns the most recently set fault that applies to a request, or the zero value.
func (p *Platform) matchFault(r *http.Request) Fault {
	if r.Header.Get(HeaderScript) != "" || r.URL.Path == PathFaults {
		return Fault{}
	}
	peer := ident.Process(r.Header.Get(platform.HeaderProcess))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fault := range slices.Backward(p.faults) {
		if strings.HasPrefix(r.URL.Path, fault.Path) && (fault.Peer == "" || fault.Peer == peer) {
			return fault
		}
	}
	return Fault{}
}

// setFault sets a fault, which replaces any earlier one with the same path and peer.
func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decode(w, r, &fault) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = slices.DeleteFunc(p.faults, func(existing Fault) bool { return existing.Path == fault.Path && existing.Peer == fault.Peer })
	p.faults = append(p.faults, fault)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var request platform.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.table.Read(r.Context(), request.Keys...)
	writeRows(w, rows, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var request platform.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.table.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	writeRows(w, rows, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var transaction table.Transaction
	if !decode(w, r, &transaction) {
		return
	}
	if err := p.table.Commit(r.Context(), transaction); err != nil {
		w.WriteHeader(http.StatusConflict)
	}
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = body
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, found := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) receiveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !decode(w, r, &order) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	received := ReceivedOrder{Order: order, ReceivedMS: time.Now().UnixMilli()}
	received.Refused = p.config.ChecksFence && order.Fence < p.fences[order.Domain]
	received.Repeated = slices.ContainsFunc(p.orders, func(earlier ReceivedOrder) bool {
		return earlier.ID == order.ID && !earlier.Refused
	})
	p.orders = append(p.orders, received)
	if received.Refused {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.fences[order.Domain] = max(p.fences[order.Domain], order.Fence)
}

func (p *Platform) listOrders(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encode(w, OrdersResponse{Orders: p.orders})
}

func (p *Platform) receiveReport(w http.ResponseWriter, r *http.Request) {
	var report platform.Report
	if !decode(w, r, &report) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, ReceivedReport{Report: report, ReceivedMS: time.Now().UnixMilli()})
}

func (p *Platform) listReports(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encode(w, ReportsResponse{Reports: p.reports})
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encode(w, platform.VMsResponse{VMs: p.vms})
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var list platform.VMsResponse
	if !decode(w, r, &list) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = list.VMs
}

func writeRows(w http.ResponseWriter, rows []table.Row, err error) {
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	encode(w, platform.RowsResponse{Rows: rows})
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// discardResponse is a response writer that discards the response.
type discardResponse struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discardResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardResponse) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardResponse) WriteHeader(int) {}
