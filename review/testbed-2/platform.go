package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// Bounds and names of the small deployment, as in its settings.
const (
	contact          = 3000 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
	hostName         = "small.example"
	tenantName       = "tenant-a"
	apiKey           = "k0a1b2c3d4e5f6a7b8c9"
	plainService     = "orders-app"
	engineService    = "pond-llm"
	readyTimeout     = 15 * time.Second
	stopTimeout      = 10 * time.Second
	routerExecutable = "target/vanillapond"
	firstHost        = 11
	lowestPort       = 20011
	portStep         = 17
	portTries        = 400
)

// settingsTemplate is the settings file of one machine; the bounds are those of the small sites.
const settingsTemplate = `NodeName=front-zone-%[1]d-1
Role=router
MachineClass=front
Serves=front
Ip=%[2]s
Zone=zone-%[1]d
Region=region
Zones.zone-1=region
Zones.zone-2=region
Zones.zone-3=region
Zones.zone-4=region
Listen.Front=%[2]s:%[3]d
Listen.Ready=%[2]s:%[4]d
InternalPorts=%[5]d,%[6]d
SeedNodes=
Bootstrap=%[7]t
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
Platform.Address=%[8]s
Platform.form=table
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.TxMs=5.0
Platform.PartWritesS=200
Platform.RowBytes=65536
Platform.HistoryS=20
Cloud.Address=%[9]s
Cloud.Duties=usage
Cloud.DutyPerS=50.0
`

// deployment is the store, the duty service and the machines of a small deployment.
type deployment struct {
	record   *record
	store    *platformtest.Store
	duties   *platformtest.Duties
	folder   string
	ports    ports
	machines []*machine
	// arrive is called for each request that is meant for a server started from now on, also for one that it rejects; may be nil.
	arrive func(request, server string)
}

// active is the deployment that runs, nil before; an interrupted case ends it.
var active atomic.Pointer[deployment]

// abort kills all processes at once, waits until they are gone, and removes the temporary folder.
func (d *deployment) abort() {
	for _, m := range d.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
	}
	for _, m := range d.machines {
		if m.process != nil {
			<-m.done
		}
	}
	_ = os.RemoveAll(d.folder)
}

// ports are the same on all machines.
type ports struct{ front, ready, internal int }

// machine is one router process with a loopback address of its own.
type machine struct {
	number   int
	address  string
	settings string
	front    string
	ready    string
	process  *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	log  *os.File
}

// newDeployment starts the store and the duty service, and writes the settings of the machines; it starts none.
func newDeployment(rec *record, machines int) (*deployment, error) {
	if _, err := os.Stat(routerExecutable); err != nil {
		return nil, fmt.Errorf("%s is missing, run the build line of deploy/system.toml first: %w", routerExecutable, err)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	d := &deployment{record: rec, store: platformtest.NewStore(), duties: platformtest.NewDuties(), folder: folder}
	active.Store(d)
	if d.ports, err = freePorts(machines); err != nil {
		d.close()
		return nil, err
	}
	for index := range machines {
		d.machines = append(d.machines, d.newMachine(index+1))
		if err := d.writeSettings(d.machines[index], true); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) newMachine(number int) *machine {
	address := fmt.Sprintf("127.0.0.%d", firstHost+number)
	return &machine{
		number: number, address: address, settings: filepath.Join(d.folder, fmt.Sprintf("boot-%d.conf", number)),
		front: fmt.Sprintf("%s:%d", address, d.ports.front), ready: fmt.Sprintf("%s:%d", address, d.ports.ready),
	}
}

func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	content := fmt.Sprintf(settingsTemplate, m.number, m.address, d.ports.front, d.ports.ready, d.ports.internal, d.ports.internal+portStep-2,
		bootstrap, d.store.Address(), d.duties.Address())
	if err := os.WriteFile(m.settings, []byte(content), 0o600); err != nil { //nolint:gosec // The path is in the case's temporary folder.
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// freePorts returns ports that are free at the addresses of all machines.
func freePorts(machines int) (ports, error) {
	for try := range portTries {
		base := lowestPort + (os.Getpid()+try)%portTries*portStep
		found := ports{front: base, ready: base + 1, internal: base + 2}
		if areFree(machines, found) {
			return found, nil
		}
	}
	return ports{}, fmt.Errorf("found no free ports from %d on", lowestPort)
}

func areFree(machines int, wanted ports) bool {
	for number := 1; number <= machines; number++ {
		for _, port := range []int{wanted.front, wanted.ready, wanted.internal} {
			address := fmt.Sprintf("127.0.0.%d:%d", firstHost+number, port)
			listener, err := net.Listen("tcp", address) //nolint:noctx // Listening on loopback does not block.
			if err != nil {
				return false
			}
			_ = listener.Close()
			packets, err := net.ListenPacket("udp", address) //nolint:noctx // Listening on loopback does not block.
			if err != nil {
				return false
			}
			_ = packets.Close()
		}
	}
	return true
}

// start starts the router of a machine with the command of deploy/system.toml.
func (d *deployment) start(m *machine) error {
	path := filepath.Join(d.folder, fmt.Sprintf("log-%d.txt", m.number))
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // The path is in the case's temporary folder.
	if err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	process := exec.Command(routerExecutable, "router", "--metrics-port", "9464") //nolint:noctx // stop ends the process.
	process.Env = []string{platform.SettingsVariable + "=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start a router: %w", err)
	}
	done := make(chan struct{})
	m.process, m.done, m.log = process, done, log
	d.record.writef("machine %d starts, process %d, callers at %s", m.number, process.Process.Pid, m.front)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// startAll starts all machines and waits until they are ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range d.machines {
		if err := d.awaitReady(m, deadline); err != nil {
			return err
		}
	}
	// Later starts are not the first start of the system.
	for _, m := range d.machines {
		if err := d.writeSettings(m, false); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) awaitReady(m *machine, deadline time.Time) error {
	for time.Now().Before(deadline) {
		if probe(m.ready) {
			d.record.writef("machine %d is ready", m.number)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("machine %d is not ready in time", m.number)
}

// running reports whether the process of a machine has not ended.
func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// close ends all processes and stand-ins. The logs are kept if REVIEW_LOGS names a folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.running() {
			_ = m.process.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, m := range d.machines {
		if m.process == nil {
			continue
		}
		select {
		case <-m.done:
		case <-time.After(stopTimeout):
			_ = m.process.Process.Kill()
			<-m.done
		}
	}
	d.store.Close()
	d.duties.Close()
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		_ = os.CopyFS(filepath.Join(kept, strings.TrimPrefix(filepath.Base(d.folder), "review-2-")), os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder) //nolint:gosec // The folder is the case's own.
}
