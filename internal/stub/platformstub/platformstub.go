// Package platformstub is a small stand-in of the platform, with faults that a script sets.
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

// PathFaults takes a Fault by PUT.
const PathFaults = "/faults"

// HeaderScript marks the calls of a script, which no fault touches.
const HeaderScript = "X-Script"

// maxBody is the greatest size of a request body, in bytes.
const maxBody = 64 << 20

// Mode says how a service of the stand-in fails.
type Mode string

// Modes of failure.
const (
	ModeOK Mode = ""
	// ModeDown refuses every call without effect.
	ModeDown Mode = "down"
	// ModeHang lets every call without effect wait until its caller gives up.
	ModeHang Mode = "hang"
	// ModeLoseAnswers applies calls, then cuts the connection.
	ModeLoseAnswers Mode = "lose_answers"
	// ModeLate cuts the connection and applies calls after the delay, as a slow network does.
	ModeLate Mode = "late"
)

// Fault sets how the services under a path fail.
type Fault struct {
	// Path is a prefix of paths, such as /table/ or /orders.
	Path    string `json:"path"`
	Mode    Mode   `json:"mode"`
	DelayMS int64  `json:"delay_ms"`
	// Peer limits the fault to requests with this process name; empty means all.
	Peer ident.Process `json:"peer"`
}

// ReceivedOrder is an order with the time at which it came in.
type ReceivedOrder struct {
	platform.Order
	ReceivedMS int64 `json:"received_ms"`
	// Refused says that its fencing number was old.
	Refused bool `json:"refused"`
	// Repeated says that an order with the same id was carried out before.
	Repeated bool `json:"repeated"`
}

// ReceivedReport is a report with the time at which it came in.
type ReceivedReport struct {
	platform.Report
	ReceivedMS int64 `json:"received_ms"`
}

// OrdersAnswer is the log of orders.
type OrdersAnswer struct {
	Orders []ReceivedOrder `json:"orders"`
}

// ReportsAnswer is the log of reports.
type ReportsAnswer struct {
	Reports []ReceivedReport `json:"reports"`
}

// Config says how the stand-in behaves.
type Config struct {
	// ChecksFence makes the order interface refuse old fencing numbers.
	ChecksFence bool
}

// Platform is the stand-in.
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
	// fences holds the greatest fencing number seen for each failure domain.
	fences map[ident.FailureDomain]ident.Fence
}

// New returns a stand-in without any state.
func New(config Config) *Platform {
	return &Platform{
		config:  config,
		table:   table.NewMemory(),
		objects: make(map[string][]byte),
		fences:  make(map[ident.FailureDomain]ident.Fence),
	}
}

// Table returns the stand-in's table, without faults.
func (p *Platform) Table() *table.Memory { return p.table }

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathTableRead, p.read)
	mux.HandleFunc("POST "+platform.PathTableScan, p.scan)
	mux.HandleFunc("POST "+platform.PathTableCommit, p.commit)
	mux.HandleFunc("PUT "+platform.PathObjects+"{name...}", p.putObject)
	mux.HandleFunc("GET "+platform.PathObjects+"{name...}", p.getObject)
	mux.HandleFunc("POST "+platform.PathOrders, p.order)
	mux.HandleFunc("GET "+platform.PathOrders, p.listOrders)
	mux.HandleFunc("POST "+platform.PathReports, p.report)
	mux.HandleFunc("GET "+platform.PathReports, p.listReports)
	mux.HandleFunc("GET "+platform.PathVMs, p.listVMs)
	mux.HandleFunc("PUT "+platform.PathVMs, p.setVMs)
	mux.HandleFunc("PUT "+PathFaults, p.setFault)
	return p.failing(mux)
}

// failing applies the faults before and after each call that is not the script's own.
func (p *Platform) failing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := p.fault(r)
		if fault.DelayMS > 0 && fault.Mode != ModeLate {
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
		case ModeLoseAnswers:
			next.ServeHTTP(discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		case ModeLate:
			later(time.Duration(fault.DelayMS)*time.Millisecond, next, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// later hands a call on after a delay, with nobody to take the answer.
func later(delay time.Duration, next http.Handler, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { next.ServeHTTP(discard{header: make(http.Header)}, late) })
}

func (p *Platform) fault(r *http.Request) Fault {
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

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decode(w, r, &fault) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = slices.DeleteFunc(p.faults, func(old Fault) bool { return old.Path == fault.Path && old.Peer == fault.Peer })
	p.faults = append(p.faults, fault)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var request platform.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.table.Read(r.Context(), request.Keys...)
	answerRows(w, rows, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var request platform.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.table.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	answerRows(w, rows, err)
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

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !decode(w, r, &order) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	received := ReceivedOrder{Order: order, ReceivedMS: time.Now().UnixMilli()}
	received.Refused = p.config.ChecksFence && order.Fence < p.fences[order.Domain]
	received.Repeated = slices.ContainsFunc(p.orders, func(before ReceivedOrder) bool {
		return before.ID == order.ID && !before.Refused
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
	encode(w, OrdersAnswer{Orders: p.orders})
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
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
	encode(w, ReportsAnswer{Reports: p.reports})
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encode(w, platform.VMsResponse{VMs: p.vms})
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var answer platform.VMsResponse
	if !decode(w, r, &answer) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = answer.VMs
}

func answerRows(w http.ResponseWriter, rows []table.Row, err error) {
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

// discard is a response writer whose answer is lost.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
