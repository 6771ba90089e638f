// Package testport allocates loopback addresses that no other test process uses.
package testport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/samber/oops"
)

// The ports lie below the range that the system uses for outgoing connections.
const (
	firstPort  = 15000
	blockSize  = 1500
	blockCount = 11
)

// portBlock is the block of ports that this process has reserved.
type portBlock struct {
	once sync.Once
	err  error
	mu   sync.Mutex
	// lock is the locked file that reserves the block until the process ends.
	lock *os.File
	// next is the next port to allocate, end the first one after the block; guarded by mu.
	next, end int
}

var processBlock portBlock

// Address returns a free address on 127.0.0.1, as host:port.
func Address() (string, error) {
	processBlock.once.Do(func() { processBlock.err = processBlock.acquire() })
	if processBlock.err != nil {
		return "", processBlock.err
	}
	processBlock.mu.Lock()
	defer processBlock.mu.Unlock()
	for ; processBlock.next < processBlock.end; processBlock.next++ {
		candidate := fmt.Sprintf("127.0.0.1:%d", processBlock.next)
		if isFree(candidate) {
			processBlock.next++
			return candidate, nil
		}
	}
	return "", oops.Errorf("testport: all %d ports of this process have been allocated", blockSize)
}

// isFree reports whether no process uses the port for TCP or UDP.
func isFree(address string) bool {
	socket, err := net.Listen("tcp", address) //nolint:noctx // Listening on loopback does not block.
	if err != nil {
		return false
	}
	defer func() { _ = socket.Close() }()
	packets, err := net.ListenPacket("udp", address) //nolint:noctx // Listening on loopback does not block.
	if err != nil {
		return false
	}
	return packets.Close() == nil
}

// acquire reserves the first block that no other process has reserved, by a file lock.
func (b *portBlock) acquire() error {
	for index := range blockCount {
		path := filepath.Join(os.TempDir(), fmt.Sprintf("vanillapond-testport-%d", index))
		file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600) //nolint:gosec // The name is fixed.
		if err != nil {
			return oops.Wrapf(err, "testport")
		}
		if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
			_ = file.Close()
			continue
		}
		b.lock = file
		b.next = firstPort + index*blockSize
		b.end = b.next + blockSize
		return nil
	}
	return oops.Errorf("testport: all %d blocks of ports are reserved by other test processes", blockCount)
}
