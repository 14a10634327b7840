package testfleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// LocalPorts returns the local ports of the IPv4 TCP connections of a process of this test. It is empty if
// the process has ended.
func LocalPorts(pid int) map[int]bool {
	ports := make(map[int]bool)
	sockets := make(map[string]bool)
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return ports
	}
	for _, d := range descriptors {
		// A descriptor may have been closed since.
		if link, err := os.Readlink(d); err == nil {
			sockets[link] = true
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ports
	}
	const localAddress, inode, columns = 1, 9, 10
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < columns || !sockets["socket:["+fields[inode]+"]"] {
			continue
		}
		_, port, _ := strings.Cut(fields[localAddress], ":")
		if n, err := strconv.ParseUint(port, 16, 16); err == nil {
			ports[int(n)] = true
		}
	}
	return ports
}
