package testbed

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// errClosed is returned if a process is to be started after the end of the case.
var errClosed = errors.New("the case has ended")

// starter starts processes on one thread, which lives as long as this process: the kernel kills a process as the thread that started it ends.
var starter struct {
	once     sync.Once
	requests chan startRequest
}

type startRequest struct {
	process *exec.Cmd
	result  chan error
}

// startProcess starts a process that the kernel kills if this process ends, however it ends.
func startProcess(process *exec.Cmd) error {
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	starter.once.Do(func() {
		starter.requests = make(chan startRequest)
		go func() {
			runtime.LockOSThread()
			for request := range starter.requests {
				request.result <- request.process.Start()
			}
		}()
	})
	request := startRequest{process, make(chan error, 1)}
	starter.requests <- request
	return <-request.result
}

// claimedHost is the last part of the address by which a case claims a network of loopback addresses, and claimPort the port.
const (
	claimedHost = ".254"
	claimPort   = ":9465"
)

// claimNetwork returns the first three parts of loopback addresses that no other case uses, until the listener is closed.
func claimNetwork() (string, net.Listener, error) {
	const first, count = 16, 200
	for offset := range count {
		network := fmt.Sprintf("127.%d.%d", first+(os.Getpid()+offset)%count, 1)
		if claim, err := net.Listen("tcp", network+claimedHost+claimPort); err == nil { //nolint:noctx // Listening on loopback does not block.
			return network, claim, nil
		}
	}
	return "", nil, errors.New("no free loopback addresses")
}

// ports are ports that are free on the addresses of a case.
type ports struct{ callers, ready, peers int }

// freePorts returns three ports that are free for TCP and UDP at an address.
func freePorts(host string) (ports, error) {
	var found []int
	for range 3 {
		listener, err := net.Listen("tcp", host+":0") //nolint:noctx // Listening on loopback does not block.
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = listener.Close() }()
		packets, err := net.ListenPacket("udp", listener.Addr().String()) //nolint:noctx // Listening on loopback does not block.
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = packets.Close() }()
		found = append(found, portOf(listener.Addr()))
	}
	return ports{callers: found[0], ready: found[1], peers: found[2]}, nil
}
