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

// Main builds balsam-entry, runs the tests and returns the exit status. TestMain
// calls it.
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

// Process is one balsam-entry process. Its addresses stay when it restarts.
type Process struct {
	// Settings are written to the settings file at each start.
	Settings settings.Entry
	// Exited is closed when the process has ended.
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

func (c *Fleet) newEntry(n int, opt Options) *Process {
	p := &Process{Settings: *settings.NewEntry()}
	s := &p.Settings
	s.ID = fmt.Sprintf("entry-%d", n)
	s.Zone = fmt.Sprintf("az-%d", 1+n%zones)
	s.CallerAddress, s.AdminAddress, s.PeerAddress = FreeAddress(c.T), FreeAddress(c.T), FreeAddress(c.T)
	s.PlatformAddress = c.Platform.Addr()
	s.PeerKey = "peer-key-of-the-test-0123456789abcd"
	s.PermitKey = "permit-key-of-the-test-0123456789ab"
	s.AdminKey = adminKey
	s.BalancerDelayMS = opt.BalancerDelayMS
	s.ExchangeIntervalMS = 200
	s.PollIntervalMS = 2_000
	p.file = filepath.Join(c.dir, s.ID+".json")
	return p
}

// Addresses for processes that start later are taken below the ports that the
// system gives to outgoing connections (32768 and above on Linux). One of those
// can be taken by any connection before the process listens on it.
const (
	firstPort = 20_000
	ports     = 12_000
	// portTries bounds the search for a free port.
	portTries = 100
)

// handedOut holds the ports that FreeAddress returned. Of 120 random ports two are
// equal in every second run, and the second process could not listen.
var handedOut sync.Map

// FreeAddress returns a loopback address that nothing listens on and that it has not
// returned before.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range portTries {
		port := firstPort + rand.IntN(ports)
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := lis.Addr().String()
		lis.Close()
		if _, known := handedOut.LoadOrStore(port, true); !known {
			return address
		}
	}
	t.Fatal("no free port was found")
	return ""
}

// Start starts an entry that does not run.
func (c *Fleet) Start(p *Process) {
	c.T.Helper()
	data, err := json.Marshal(p.Settings)
	if err == nil {
		err = os.WriteFile(p.file, data, 0o600)
	}
	if err != nil {
		c.T.Fatal(err)
	}
	cmd := exec.Command(entryBinary, "--config", p.file)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		c.T.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.Exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.T.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		if c.T.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			c.T.Logf("log of %s:\n%s", p.Settings.ID, p.log.String())
			p.log.Reset()
		}
	})
}

// Signal sends a signal to an entry.
func (c *Fleet) Signal(p *Process, s syscall.Signal) {
	c.T.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		c.T.Fatal(err)
	}
}

// Kill ends an entry without a planned stop.
func (c *Fleet) Kill(p *Process) {
	c.Signal(p, syscall.SIGKILL)
	<-p.Exited
}

// WaitReady waits until an entry is ready.
func (c *Fleet) WaitReady(p *Process) {
	c.T.Helper()
	c.Eventually(p.Settings.ID+" is ready", func() bool { return c.ready(p) })
}

func (c *Fleet) ready(p *Process) bool {
	resp, err := c.client.Get("http://" + p.Settings.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Admin reads an operator's endpoint into out.
func (c *Fleet) Admin(p *Process, method, path string, out any) error {
	req, err := http.NewRequest(method, "http://"+p.Settings.AdminAddress+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+adminKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// Status is the part of an entry's status that tests read.
type Status struct {
	SheetRevision uint64 `json:"sheet_revision"`
	Targets       []struct {
		ID      string `json:"id"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

// Revision returns the revision of the sheet that an entry has in force.
func (c *Fleet) Revision(p *Process) uint64 {
	var s Status
	if err := c.Admin(p, http.MethodGet, "/status", &s); err != nil {
		return 0
	}
	return s.SheetRevision
}
