package testfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/balsamstall/balsamstall/internal/settings"
)

var entryBinary string

// Main builds balsam-entry, runs the tests and returns the exit status. It is meant to be called by
// TestMain.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "balsam-testfleet")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	entryBinary = filepath.Join(dir, "balsam-entry")
	build := exec.Command("go", "build", "-o", entryBinary, "github.com/balsamstall/balsamstall/cmd/balsam-entry")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building balsam-entry: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Binary returns the path of the balsam-entry program that Main has built.
func Binary() string { return entryBinary }

// Process is one balsam-entry process. It keeps its addresses when it is restarted.
type Process struct {
	// Settings are written to the settings file at each start.
	Settings settings.Entry
	// Exited is closed when the process has exited.
	Exited chan struct{}

	file string
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer // Guarded by mu.
}

// Write implements io.Writer for the log of the process.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (f *Fleet) newEntry(n int, opt Options) *Process {
	p := &Process{Settings: *settings.NewEntry()}
	s := &p.Settings
	s.ID = fmt.Sprintf("entry-%d", n)
	s.Zone = fmt.Sprintf("az-%d", 1+n%zoneCount)
	s.CallerAddress, s.AdminAddress, s.PeerAddress = FreeAddress(f.T), FreeAddress(f.T), FreeAddress(f.T)
	s.PlatformAddress = f.Platform.Addr()
	s.PeerKey = "peer-key-of-the-test-0123456789abcd"
	s.PermitKey = "permit-key-of-the-test-0123456789ab"
	s.AdminKey = adminKey
	s.BalancerDelayMS = opt.BalancerDelayMS
	s.ExchangeIntervalMS = 200
	s.PollIntervalMS = 2_000
	p.file = filepath.Join(f.dir, s.ID+".json")
	return p
}

// FreeAddress takes ports below the range of ephemeral ports (32768 and above on Linux). Any outgoing
// connection could take an ephemeral port before the process listens on it.
const (
	minPort   = 20_000
	portCount = 12_000
	// maxPortAttempts limits the search for a free port.
	maxPortAttempts = 100
)

// returnedPorts holds the ports that FreeAddress has returned. Without it, two of 120 random ports
// are equal in every second run, and the second process cannot listen.
var returnedPorts sync.Map

// FreeAddress returns a loopback address on which nothing listens and which it has not returned
// before.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range maxPortAttempts {
		port := minPort + rand.IntN(portCount)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := ln.Addr().String()
		ln.Close()
		if _, returned := returnedPorts.LoadOrStore(port, true); !returned {
			return address
		}
	}
	t.Fatal("no free port was found")
	return ""
}

// Start starts an entry that is not running. When the test ends, it kills the process and, if the
// test failed, logs the output of the process.
func (f *Fleet) Start(p *Process) {
	f.T.Helper()
	data, err := json.Marshal(p.Settings)
	if err == nil {
		err = os.WriteFile(p.file, data, 0o600)
	}
	if err != nil {
		f.T.Fatal(err)
	}
	cmd := exec.Command(entryBinary, "--config", p.file)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		f.T.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.Exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.T.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		if f.T.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			f.T.Logf("log of %s:\n%s", p.Settings.ID, p.log.String())
			p.log.Reset()
		}
	})
}

// PID returns the process id of a started entry.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to an entry.
func (f *Fleet) Signal(p *Process, s syscall.Signal) {
	f.T.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		f.T.Fatal(err)
	}
}

// Kill sends SIGKILL to an entry and waits until it has exited.
func (f *Fleet) Kill(p *Process) {
	f.Signal(p, syscall.SIGKILL)
	<-p.Exited
}

// WaitReady waits until an entry is ready.
func (f *Fleet) WaitReady(p *Process) {
	f.T.Helper()
	f.Eventually(p.Settings.ID+" is ready", func() bool { return f.isReady(p) })
}

func (f *Fleet) isReady(p *Process) bool {
	resp, err := f.client.Get("http://" + p.Settings.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// CallAdmin calls an endpoint of an entry's admin interface and decodes the JSON reply into out.
func (f *Fleet) CallAdmin(p *Process, method, path string, out any) error {
	req, err := http.NewRequest(method, "http://"+p.Settings.AdminAddress+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+adminKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// EntryStatus is the part of an entry's status that tests read.
type EntryStatus struct {
	SheetRevision uint64 `json:"sheet_revision"`
	Targets       []struct {
		ID      string `json:"id"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

// SheetRevision returns the revision of the current sheet of an entry, or zero if the entry does not
// answer.
func (f *Fleet) SheetRevision(p *Process) uint64 {
	var s EntryStatus
	if err := f.CallAdmin(p, http.MethodGet, "/status", &s); err != nil {
		return 0
	}
	return s.SheetRevision
}
