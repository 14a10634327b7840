package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/balsamstall/balsamstall/platform/platformtest"
)

// Figures of a small deployment, as the pages give them for huerta-trenza.
const (
	memoryMB       = 284
	cpuShare       = 0.4
	graceS         = 6
	drainMS        = 3000
	configApplyMS  = 3000
	stabilityMS    = 4000
	repeatRatio    = 0.2
	repeatMinimum  = 52
	repeatWindowS  = 10
	storeReadsPerS = 2000
	// lead is the time from the start of the machines to that of the traffic.
	lead = 10 * time.Second
)

// store is the stand-in of the platform's store, served on loopback.
type store struct {
	*platformtest.Store
	address string
}

func startStore() *store {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{Store: platformtest.NewStore(), address: lis.Addr().String()}
	go func() { _ = http.Serve(lis, s.Store) }()
	return s
}

// entryProcess is one process of the project.
type entryProcess struct {
	name, front, ready, control, metrics string
	settings                             string
	core                                 int
	process                              *exec.Cmd
}

// placeholder matches a placeholder of the settings' template.
var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// fillTemplate fills in deploy/entry.json.tmpl as the platform does.
func fillTemplate(values map[string]any) []byte {
	text, err := os.ReadFile("deploy/entry.json.tmpl")
	check(err)
	return placeholder.ReplaceAllFunc(text, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		value, ok := values[string(parts[1])]
		if !ok {
			check(fmt.Errorf("the template names %s", match))
		}
		if len(parts[2]) == 0 {
			return []byte(fmt.Sprint(value))
		}
		data, err := json.Marshal(value)
		check(err)
		return data
	})
}

// prepareEntries writes the settings of n entries, each in a zone of its own.
func prepareEntries(n int, platform, folder string) []*entryProcess {
	entries := make([]*entryProcess, n)
	var seeds []string
	for i := range entries {
		entries[i] = &entryProcess{core: i, name: fmt.Sprintf("front-%d", i+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress()}
		seeds = append(seeds, entries[i].control)
	}
	for i, e := range entries {
		settings := fillTemplate(map[string]any{
			"node_name": e.name, "zone": fmt.Sprintf("zone-%d", i+1), "bind_addresses.front": e.front, "bind_addresses.ready": e.ready,
			"bind_addresses.control": e.control, "ip": "127.0.0.1", "platform.address": platform, "seeds": seeds[:min(3, len(seeds))],
			"limits.cpu_share": cpuShare, "limits.memory_mb": memoryMB, "bounds.grace_s": graceS,
			"bounds.retry_budget_ratio": repeatRatio, "bounds.budget_min_retries": repeatMinimum, "bounds.budget_window_s": repeatWindowS,
		})
		// All entries of a test run on one address, so their metrics need ports of their own.
		settings = []byte(strings.Replace(string(settings), "127.0.0.1:9464", e.metrics, 1))
		e.settings = filepath.Join(folder, e.name+".json")
		check(os.WriteFile(e.settings, settings, 0o644))
	}
	return entries
}

// start starts the program with the command of deploy/system.toml.
func (e *entryProcess) start(folder string) {
	e.process = exec.Command("target/balsam-entry", "--platform",
		fmt.Sprintf("--set=change_bounds_ms=[%d,%d]", configApplyMS, drainMS), fmt.Sprintf("--set=store_calls_per_s=%d", storeReadsPerS))
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMSTALL_NODE_FILE=" + e.settings}
	log, err := os.Create(filepath.Join(folder, e.name+".log"))
	check(err)
	e.process.Stdout, e.process.Stderr = log, log
	// The process ends with the test, however that ends.
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(startOnOneCore(e.process, e.core))
	atExit(func() {
		_ = e.process.Process.Kill()
		_ = e.process.Wait()
	})
}

// awaitReady waits until the balancer would use the entry.
func (e *entryProcess) awaitReady() {
	for range 100 {
		if resp, err := http.Get("http://" + e.ready + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	check(fmt.Errorf("%s is not ready after 10 s", e.name))
}

// startEntries starts n entries and returns when they are ready and lead has passed.
func startEntries(n int, platform, folder string) []*entryProcess {
	entries := prepareEntries(n, platform, folder)
	begin := time.Now()
	for _, e := range entries {
		e.start(folder)
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(time.Until(begin.Add(lead)))
	return entries
}

// Ports of entries lie below those that systems give to outgoing connections, which could take the port of an entry
// that is down.
const minEntryPort, maxEntryPort = 10_240, 28_000

// freeAddress returns a loopback address with a free port for an entry.
func freeAddress() string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", minEntryPort+rand.IntN(maxEntryPort-minEntryPort))
		if usedAddresses[address] {
			continue
		}
		if lis, err := net.Listen("tcp", address); err == nil {
			lis.Close()
			usedAddresses[address] = true
			return address
		}
	}
	check(errors.New("no free port"))
	return ""
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses = make(map[string]bool)

// singleRoute is a configuration with one route to one service, like folio-unico of huerta-trenza.
func singleRoute(kind string) map[string]any {
	return map[string]any{"version": 7,
		"services": []map[string]any{{"name": "bitacora", "health_check_path": "/health", "max_connections": 96}},
		"routes": []map[string]any{{"name": "folio", "host": host, "path_prefix": "/folio/", "type": kind, "timeout_ms": 10000,
			"latency_goal_ms": 600, "priority": 2, "backend": "bitacora", "max_attempts": 2}},
		"limits": callerLimits}
}

// callerLimits are the limits of a configuration.
var callerLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
