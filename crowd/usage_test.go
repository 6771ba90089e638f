package crowd_test

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a process used at its peak.
type usage struct {
	// memoryKiB is the resident memory together with the bytes that its connections had received and it had not read; the platform counts both.
	memoryKiB int
	// residentKiB and unreadKiB are the peaks of the two by themselves.
	residentKiB, unreadKiB int
	// sockets counts open sockets and pipes.
	sockets int
}

// String implements fmt.Stringer.
func (u usage) String() string {
	return fmt.Sprintf("peak: %d KiB of memory (resident %d, unread %d), %d sockets", u.memoryKiB, u.residentKiB, u.unreadKiB, u.sockets)
}

// watch samples what the process uses until the returned function is called.
func (p *process) watch() (stop func() usage) {
	end, peak := make(chan struct{}), make(chan usage)
	go func() {
		var most usage
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-end:
				most.residentKiB = max(most.residentKiB, p.statusKiB("VmHWM"))
				most.memoryKiB = max(most.memoryKiB, most.residentKiB)
				peak <- most
				return
			case <-ticker.C:
			}
			resident, unread := p.statusKiB("VmRSS"), p.unreadKiB()
			most.memoryKiB = max(most.memoryKiB, resident+unread)
			most.residentKiB, most.unreadKiB = max(most.residentKiB, resident), max(most.unreadKiB, unread)
			most.sockets = max(most.sockets, p.sockets())
		}
	}()
	return func() usage {
		close(end)
		return <-peak
	}
}

// statusKiB returns a size from the process's status, 0 if the process has ended.
func (p *process) statusKiB(name string) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name+":" {
			size, _ := strconv.Atoi(fields[1])
			return size
		}
	}
	return 0
}

func (p *process) sockets() int {
	folder := fmt.Sprintf("/proc/%d/fd/", p.command.Process.Pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0
	}
	count := 0
	for _, entry := range entries {
		target, err := os.Readlink(folder + entry.Name())
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// unreadKiB returns the bytes that wait to be read by the process: from its callers, and from the servers. The line of a listening socket counts
// connections, not bytes.
func (p *process) unreadKiB() int {
	const listening = "0A"
	callers, servers := tableAddress(p.callers), tableAddress(p.servers)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	unread := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening || fields[1] != callers && fields[2] != servers {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		unread += bytes
	}
	return int(unread >> 10)
}

// tableAddress returns a loopback address as /proc/net/tcp spells it.
func tableAddress(address string) string {
	_, port, _ := strings.Cut(address, ":")
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf("0100007F:%04X", number)
}
