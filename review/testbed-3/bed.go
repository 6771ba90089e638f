package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// Bounds of the deployment, as on the sheet of vzorovna-sk.
const (
	contactBound = 3 * time.Second
	revokeBound  = 5 * time.Second
	graceBound   = 8 * time.Second
)

// routerCount is the number of routers.
const routerCount = 2

// memoryMB is the memory of a router's machine, in MiB, as on that sheet.
const memoryMB = 134

// Times of the test bed.
const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 10 * time.Second
)

const (
	hostName = "pond.example"
	zoneName = "sk-central-a"
)

// bed is a small deployment on loopback addresses: the platform's store and duty service, servers and router processes.
type bed struct {
	record  *recorder
	program string
	folder  string
	// network is the second octet of the loopback addresses of this run's routers.
	network int
	store   *platformtest.Store
	duties  *platformtest.Duties
	version ident.Version
	servers []*server
	routers []*router
	// omitRuns leaves the runs of the servers out of the record, because they are too many.
	omitRuns bool
}

// router is one router process.
type router struct {
	name, address, callers, ready string
	logFile                       string
	// settings is the content of the settings file.
	settings string
	mu       sync.Mutex
	// process is nil before the first start; guarded by mu.
	process *exec.Cmd
	// done is closed when the process has ended; guarded by mu.
	done chan struct{}
	// disturbedAt is when the process was last started or got a signal; guarded by mu.
	disturbedAt time.Time
}

func newBed(record *recorder, program string) (*bed, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, oops.Wrapf(err, "temporary folder")
	}
	const firstNetwork, networks = 100, 100
	return &bed{
		record: record, program: program, folder: folder, network: firstNetwork + rand.IntN(networks), //nolint:gosec // Only spreads addresses.
		store: platformtest.NewStore(), duties: platformtest.NewDuties(),
	}, nil
}

// close ends all that was started.
func (b *bed) close() {
	for _, each := range b.routers {
		each.kill()
	}
	for _, each := range b.servers {
		each.stand.Close()
	}
	b.store.Close()
	b.duties.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		b.record.say("logs of the routers are kept in the temporary folder %s", filepath.Base(b.folder))
	}
}

// configure writes a new version of the configuration, which acknowledges it, and returns the time of that.
func (b *bed) configure(configuration platform.Configuration) time.Time {
	b.version++
	configuration.Version = b.version
	configuration.Limits = platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3000, IdleTimeout: 15_000}
	b.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration)
	b.record.line("operator: version %d is acknowledged", b.version)
	return time.Now()
}

// newRoute returns a route to a service, for callers that wait at most so many milliseconds.
func newRoute(kind platform.Kind, prefix string, service platform.Service, timeout platform.Milliseconds) platform.Route {
	return platform.Route{
		Name: "r" + prefix, Host: hostName, PathPrefix: prefix, Kind: kind, Timeout: timeout, Objective: 500, Tier: 1, Service: service.Name, MaxServers: 2,
	}
}

// newStreamRoute returns a route of resumable streams.
func newStreamRoute(prefix string, service platform.Service, timeout platform.Milliseconds) platform.Route {
	route := newRoute(platform.Streaming, prefix, service, timeout)
	route.CarriesPrompts, route.Resumable, route.MaxPause = true, true, 250
	return route
}

// Services as on the sheet of vzorovna-sk.
var (
	plainService  = platform.Service{Name: "issuance-api", HealthPath: "/healthz", MaxConnections: 96}
	engineService = platform.Service{
		Name: "pond-llm", HealthPath: "/healthz", MaxConnections: 360,
		Engine: &platform.Engine{BatchSize: 64, KVCacheTokens: 251_543, TokensPerEvent: 3},
	}
)

// Numbers of requests that a server of each service runs at a time.
const (
	plainSlots  = 6
	engineSlots = 64
)

// tenant returns the tenants of a configuration with one tenant.
func tenant(keys ...string) []platform.Customer {
	tier := ident.Tier(1)
	return []platform.Customer{{Name: "school", Keys: append([]string{}, keys...), Tier: &tier}}
}

// freePorts returns ports that are free on an address, each a different one.
func freePorts(ctx context.Context, address string, count int) ([]int, error) {
	var config net.ListenConfig
	ports := make([]int, 0, count)
	for range count {
		listener, err := config.Listen(ctx, "tcp", net.JoinHostPort(address, "0"))
		if err != nil {
			return nil, oops.Wrapf(err, "find a free port")
		}
		// Each port stays in use until all are chosen.
		defer func() { _ = listener.Close() }()
		tcp, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			return nil, oops.Errorf("find a free port: found address %v", listener.Addr())
		}
		ports = append(ports, tcp.Port)
	}
	return ports, nil
}

// starts receives what starts processes. A router ends with the thread that started it, so that one thread, which lasts, starts all.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// startRouters starts the routers and waits until they are ready.
func (b *bed) startRouters(ctx context.Context) error {
	for index := range routerCount {
		started, err := b.newRouter(ctx, index)
		if err != nil {
			return err
		}
		b.routers = append(b.routers, started)
		if err := started.start(b.program); err != nil {
			return err
		}
		b.record.line("router %s: started", started.name)
	}
	for _, each := range b.routers {
		if err := each.awaitReady(ctx); err != nil {
			return err
		}
		b.record.line("router %s: ready", each.name)
	}
	return nil
}

func (b *bed) newRouter(ctx context.Context, index int) (*router, error) {
	r := &router{name: "front-" + strconv.Itoa(index+1), address: fmt.Sprintf("127.%d.0.%d", b.network, index+1)}
	const portCount = 3
	ports, err := freePorts(ctx, r.address, portCount)
	if err != nil {
		return nil, err
	}
	r.callers, r.ready = net.JoinHostPort(r.address, strconv.Itoa(ports[0])), net.JoinHostPort(r.address, strconv.Itoa(ports[1]))
	r.logFile = filepath.Join(b.folder, r.name+".log")
	r.settings = fmt.Sprintf(settingsTemplate, r.name, r.address, r.callers, r.ready, ports[2], ports[2]+1, memoryMB, b.store.Address(), b.duties.Address())
	return r, r.writeSettings()
}

func (r *router) writeSettings() error {
	const ownerOnly = 0o600
	if err := os.WriteFile(r.settingsFile(), []byte(r.settings), ownerOnly); err != nil {
		return oops.Wrapf(err, "settings of %s", r.name)
	}
	return nil
}

func (r *router) settingsFile() string { return r.logFile + ".conf" }

// start starts the process by the command of the deploy file.
func (r *router) start(program string) error {
	const appendLog = os.O_CREATE | os.O_APPEND | os.O_WRONLY
	const ownerOnly = 0o600
	log, err := os.OpenFile(r.logFile, appendLog, ownerOnly)
	if err != nil {
		return oops.Wrapf(err, "log")
	}
	defer func() { _ = log.Close() }()
	process := exec.CommandContext(context.Background(), program, "router", "--metrics-port", "9464")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + r.settingsFile()}
	process.Stdout, process.Stderr = log, log
	// The router ends with this process, also where that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starts <- func() { started <- process.Start() }
	if err := <-started; err != nil {
		return oops.Wrapf(err, "start %s", r.name)
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.process, r.done, r.disturbedAt = process, done, time.Now()
	r.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

// ended returns a channel that is closed when the process has ended.
func (r *router) ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process.Process.Pid
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	process, done := r.process, r.done
	r.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
}

func (r *router) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-r.ended():
			content, _ := os.ReadFile(r.logFile)
			const shown = 400
			return oops.Errorf("router %s ended before it was ready; the end of its log: %s", r.name, content[max(0, len(content)-shown):])
		default:
		}
		if r.isReady(ctx) {
			return nil
		}
	}
	return oops.Errorf("router %s is not ready after %v", r.name, readyTimeout)
}

func (r *router) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settingsTemplate is a settings file of the platform's format, with the bounds of vzorovna-sk.
const settingsTemplate = `NodeName=%s
Role=router
MachineClass=front
Serves=front
Ip=%s
Zone=sk-central-a
Region=sk-central
Zones.sk-central-a=sk-central
Listen.Front=%s
Listen.Ready=%s
InternalPorts=%d,%d
Bootstrap=true
CountsTowardLoss=false
Limits.CpuShare=1
Limits.CpuCores=1
Limits.MemoryMb=%d
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
EntryMode=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,leader,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=0
FaultTolerance.Regions=0
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
Platform.Address=%s
Platform.form=table
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.TxMs=5.0
Platform.PartWritesS=200
Platform.RowBytes=65536
Platform.Across=false
Platform.HistoryS=20
Cloud.Address=%s
Cloud.RatePerS=50.0
Cloud.Duties=usage
Cloud.DutyPerS=50.0
`
