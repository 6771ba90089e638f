// Package testbed starts router processes with the command of the deploy file, on loopback addresses, against stand-ins of the platform's
// store and duty calls and of servers.
package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// Values of the sheet of vzorovna-sk that the cases use.
const (
	// Grace is the time from SIGTERM to SIGKILL.
	Grace = 8 * time.Second
	// Zone is the only zone.
	Zone = "sk-central-a"
	// Contact is the time without disruption after which a machine is in touch.
	Contact = 3 * time.Second
	// Heartbeat is the time between two writes of a server's registration.
	Heartbeat = 1200 * time.Millisecond
)

const settingsTemplate = `NodeName=%[1]s
Role=router
MachineClass=front
Serves=front
Ip=%[2]s
Zone=sk-central-a
Region=sk-central
Zones.sk-central-a=sk-central
Listen.Front=%[2]s:%[6]d
Listen.Ready=%[2]s:%[7]d
InternalPorts=%[8]d,%[8]d
Bootstrap=%[5]t
Limits.CpuShare=0.304
Limits.CpuCores=1
Limits.MemoryMb=134
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
EntryMode=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,leader,platform
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.StrictRevoke=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetExtra=52
Bounds.FencingRequired=false
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Bounds.ReportWindowS=5
Bounds.UsageTolerance=0.05
Bounds.UsageLateS=10
Bounds.RecoveryS=12
Bounds.PassMs=120
Bounds.RetryAfterS=7.5
Platform.Address=%[3]s
Platform.form=table
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.TxMs=5.0
Platform.PartWritesS=200
Platform.RowBytes=65536
Platform.Across=false
Platform.HistoryS=20
Platform.BlobBytes=8388608
Platform.BlobMs=25.0
Platform.BlobMbS=80.0
Cloud.Address=%[4]s
Cloud.RatePerS=50.0
Cloud.Duties=usage
Cloud.DutyPerS=50.0
`

// Bed is a small deployment on loopback addresses.
type Bed struct {
	Store  *platformtest.Store
	Duties *platformtest.Duties
	// folder holds the settings files; it is removed by Close.
	folder  string
	network string
	started time.Time
	mu      sync.Mutex
	// record is the open record file; guarded by mu.
	record  *os.File
	routers []*Router
	// closers end the stand-ins; guarded by mu.
	closers []func()
	// ctx ends when the deployment is closed.
	ctx    context.Context //nolint:containedctx // The deployment has the lifetime of the process.
	cancel context.CancelFunc
	// closed is set by Close and never cleared: no process is started any more. Guarded by mu.
	closed bool
	// ports are the same on all machines.
	ports ports
	// hosts is the number of loopback addresses that were given out; guarded by mu.
	hosts int
}

// New returns a deployment without routers and servers, whose events are written to a record file.
func New(recordPath string) (*Bed, error) {
	record, err := os.Create(filepath.Clean(recordPath)) //nolint:gosec // The path comes from the script of the case.
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network, claim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	free, err := freePorts(network + claimedHost)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Bed{
		ctx: ctx, cancel: cancel, Store: platformtest.NewStore(), Duties: platformtest.NewDuties(), folder: folder, record: record, started: time.Now(),
		network: network, ports: free,
	}
	b.onClose(func() { _ = claim.Close() })
	return b, nil
}

// isClosed reports whether Close was called.
func (b *Bed) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// Close ends all processes and stand-ins.
func (b *Bed) Close() {
	b.mu.Lock()
	b.closed = true
	routers := b.routers
	b.mu.Unlock()
	for _, router := range routers {
		router.end()
	}
	b.cancel()
	b.mu.Lock()
	closers := b.closers
	b.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
	b.Store.Close()
	b.Duties.Close()
	_ = os.RemoveAll(b.folder) //nolint:gosec // New created the folder.
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Close()
}

func (b *Bed) onClose(closer func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, closer)
}

// Record writes a line with the time since the start, in seconds.
func (b *Bed) Record(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, values...))
}

// Host returns a loopback address that no other part of the deployment has.
func (b *Bed) Host() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts++
	return b.network + "." + strconv.Itoa(b.hosts)
}

// Configure writes a configuration as the operator does.
func (b *Bed) Configure(configuration platform.Configuration) {
	b.Store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration)
	b.Record("operator: configuration %d acknowledged", configuration.Version)
}

// Register writes a server's registration.
func (b *Bed) Register(server platform.Server) {
	b.Store.Put(platform.ServersTable, string(server.ID), server)
	b.Record("store: server %s registered at %s, state %s, software %s, started %d", server.ID, server.Address, server.State, server.Software, server.StartedUnixMS)
}

// Router is one router machine: its address stays the same over restarts of its process.
type Router struct {
	bed  *Bed
	Name string
	// Callers and Ready are the addresses for callers and for readiness probes.
	Callers, Ready string
	settings       string
	mu             sync.Mutex
	process        *exec.Cmd
	done           chan struct{}
}

// AddRouter starts a router whose store and duty calls have the given addresses.
func (b *Bed) AddRouter(storeAddress, dutiesAddress string) (*Router, error) {
	host := b.Host()
	name := "front-sk-central-a-" + strconv.Itoa(len(b.routers)+1)
	settings := filepath.Join(b.folder, name+".conf")
	content := fmt.Sprintf(settingsTemplate, name, host, storeAddress, dutiesAddress, true, b.ports.callers, b.ports.ready, b.ports.peers)
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	r := &Router{
		bed: b, Name: name, settings: settings,
		Callers: net.JoinHostPort(host, strconv.Itoa(b.ports.callers)), Ready: net.JoinHostPort(host, strconv.Itoa(b.ports.ready)),
	}
	b.mu.Lock()
	b.routers = append(b.routers, r)
	b.mu.Unlock()
	return r, r.Start()
}

// Start starts the router's process with the command of the deploy file.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	process := exec.CommandContext(context.Background(), "target/vanillapond", "router", "--metrics-port", "9464")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + r.settings}
	if folder := os.Getenv("ROUTER_LOGS"); folder != "" {
		log, err := os.OpenFile(filepath.Join(folder, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // Whoever runs the case names the folder.
		if err != nil {
			return err
		}
		defer func() { _ = log.Close() }()
		process.Stdout, process.Stderr = log, log
	}
	if r.bed.isClosed() {
		return errClosed
	}
	if err := startProcess(process); err != nil {
		return err
	}
	r.bed.Record("%s: process started", r.Name)
	done := make(chan struct{})
	r.process, r.done = process, done
	go func() {
		_ = process.Wait()
		r.bed.Record("%s: process ended: %s", r.Name, process.ProcessState)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil && r.process.Process.Signal(signal) == nil {
		r.bed.Record("%s: signal %s", r.Name, signal)
	}
}

// end kills the router's process and waits for its end.
func (r *Router) end() {
	r.Signal(syscall.SIGKILL)
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	if done != nil {
		<-done
	}
}

// dial opens a connection within the second that clients allow.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// AwaitReady waits until all routers are ready.
func (b *Bed) AwaitReady(timeout time.Duration) error {
	for _, router := range b.routers {
		for end := time.Now().Add(timeout); !router.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return errors.New(router.Name + " is not ready after " + timeout.String())
			}
		}
		b.Record("%s: ready", router.Name)
	}
	return nil
}

func (r *Router) isReady() bool {
	conn, err := dial(r.Ready)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	buffer := make([]byte, 64)
	n, _ := conn.Read(buffer)
	return strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200")
}
