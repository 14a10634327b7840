// Command rig starts a small deployment on loopback for the cases of the second review: entries as separate
// processes, started as the deploy file says, between small stand-ins of the platform's store, its servers
// and its clients. Its first argument is the number of the case.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// Bounds of the small site files.
const (
	drainMS         = 3000
	configMS        = 3000
	stabilityWindow = 4 * time.Second
)

type deployment struct {
	dir    string
	ip     string // The first three bytes of the loopback addresses of this run.
	start  time.Time
	store  *store
	behave func(*arrival) bool
	// trouble is false with TROUBLE=0.
	trouble bool
	// quiet is the beginning of the names of services whose arrivals and runs are not recorded.
	quiet string

	mu         sync.Mutex
	nextServer int
	servers    map[string]*server
	arrivals   []*arrival
	entries    []*entry
	events     []event
}

type event struct {
	at   time.Time
	text string
}

// entry is a process of the entry.
type entry struct {
	d                                               *deployment
	name, zone, ip                                  string
	front, ready, control, store, settings, logfile string
	cmd                                             *exec.Cmd
	started                                         time.Time
	exited                                          chan struct{}
	err                                             error
}

var current *deployment

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(exitUnable)
}

func newDeployment() *deployment {
	dir, err := os.MkdirTemp("", "balsam-review2-")
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{dir: dir, start: time.Now(), servers: make(map[string]*server), trouble: os.Getenv("TROUBLE") != "0",
		ip: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	current = d
	d.store = startStore()
	return d
}

// address returns a free address of the stand-ins.
func (d *deployment) address() string { return d.ip + ".250:0" }

func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event{time.Now(), fmt.Sprintf(format, args...)})
}

func (d *deployment) recordArrival(a *arrival) {
	if d.isQuiet(a) {
		return
	}
	d.mu.Lock()
	d.arrivals = append(d.arrivals, a)
	d.mu.Unlock()
	d.log("request %s reaches server %s (%s)", a.id, a.server.id, a.server.service)
}

func (d *deployment) recordRun(a *arrival) {
	if !d.isQuiet(a) {
		d.log("server %s runs request %s", a.server.id, a.id)
	}
}

func (d *deployment) isQuiet(a *arrival) bool {
	return d.quiet != "" && strings.HasPrefix(a.server.service, d.quiet)
}

// putConfig writes a configuration.
func (d *deployment) putConfig(version int, routes, services []any) {
	d.store.put("op/config", map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	d.log("the store has acknowledged configuration %d", version)
}

func serviceOf(name string, connections int) any {
	return map[string]any{"name": name, "health_check_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false}
}

// startEntries starts entries on the given zones, with settings as deploy/entry.json.tmpl has them, and
// waits until all are ready.
func (d *deployment) startEntries(zones ...string) {
	var seeds []string
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", d.ip, i+1)
		d.entries = append(d.entries, &entry{d: d, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip,
			front: free(ip), ready: free(ip), control: free(ip), store: d.store.listen(d.address())})
		if i < 3 {
			seeds = append(seeds, d.entries[i].control)
		}
	}
	for _, e := range d.entries {
		e.writeSettings(seeds)
		e.run()
	}
	for _, e := range d.entries {
		e.awaitReady()
	}
	d.log("%d entries are ready", len(d.entries))
}

func free(ip string) string {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("%v", err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// writeSettings fills deploy/entry.json.tmpl in.
func (e *entry) writeSettings(seeds []string) {
	tmpl, err := os.ReadFile("deploy/entry.json.tmpl")
	if err != nil {
		fatal("%v", err)
	}
	enc := func(v any) string { b, _ := json.Marshal(v); return string(b) }
	text := strings.NewReplacer(
		"{{node_name|json}}", enc(e.name), "{{zone|json}}", enc(e.zone),
		"{{bind_addresses.front|json}}", enc(e.front), "{{bind_addresses.ready|json}}", enc(e.ready), "{{bind_addresses.control|json}}", enc(e.control),
		"{{ip}}", e.ip, "{{platform.address|json}}", enc(e.store), "{{seeds|json}}", enc(seeds),
		"{{limits.cpu_share|json}}", "0.4", "{{limits.memory_mb|json}}", "284", "{{bounds.grace_s|json}}", "6",
		"{{bounds.retry_budget_ratio|json}}", "0.2", "{{bounds.budget_min_retries|json}}", "58", "{{bounds.budget_window_s|json}}", "10",
	).Replace(string(tmpl))
	if strings.Contains(text, "{{") {
		fatal("the settings template has a placeholder that this script does not know: %s", text)
	}
	e.settings = filepath.Join(e.d.dir, e.name+".json")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		fatal("%v", err)
	}
}

// run starts the process with the command of deploy/system.toml.
func (e *entry) run() {
	e.logfile = filepath.Join(e.d.dir, e.name+".log")
	out, err := os.OpenFile(e.logfile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	defer out.Close()
	cmd := exec.Command("target/balsam-entry", "--platform")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BALSAMSTALL_NODE_FILE=" + e.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("start the entry: %v", err)
	}
	e.cmd, e.started, e.exited = cmd, time.Now(), make(chan struct{})
	exited := e.exited
	go func() { e.err = cmd.Wait(); e.d.log("the process of %s has ended: %v", e.name, e.err); close(exited) }()
}

func (e *entry) running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (e *entry) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	fatal("entry %s does not become ready; its log:\n%s", e.name, tail(e.logfile))
}

func tail(file string) string {
	data, _ := os.ReadFile(file)
	return string(data[max(0, len(data)-3000):])
}

// result is what a client got.
type result struct {
	sent, ended time.Time
	id          string
	status      int // 0: the connection ended without a complete answer.
	header      http.Header
	body        []byte
	err         error
}

var ids struct {
	sync.Mutex
	n int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), ids.n)
}

// send sends a request on a new connection and reads its answer.
func (e *entry) send(id, method, host, path string, deadline time.Duration, body []byte) result {
	r := result{sent: time.Now(), id: id}
	defer func() {
		r.ended = time.Now()
	}()
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	e.d.log("client sends request %s (%s %s) to %s", id, method, path, e.name)
	if _, err := c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		r.err = err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		r.err = err
		e.d.log("client gets no answer to request %s: %v", id, err)
		return r
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		e.d.log("client gets no complete answer to request %s: %v", id, err)
		return r
	}
	r.status, r.header, r.body = resp.StatusCode, resp.Header, data
	e.d.log("client gets %d to request %s", r.status, id)
	return r
}

// close ends all processes and stand-ins and removes the folder.
func (d *deployment) close() {
	for _, e := range d.entries {
		if e.cmd != nil && e.running() {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// finish writes the record and exits.
func (d *deployment) finish(record string, broken []string) {
	d.close()
	d.mu.Lock()
	defer d.mu.Unlock()
	sort.SliceStable(d.events, func(i, j int) bool { return d.events[i].at.Before(d.events[j].at) })
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	w := bufio.NewWriter(f)
	fmt.Fprintf(w, "trouble: %v\n", d.trouble)
	for _, b := range broken {
		fmt.Fprintln(w, "BROKEN:", b)
	}
	for _, e := range d.events {
		fmt.Fprintf(w, "%9.3f s  %s\n", e.at.Sub(d.start).Seconds(), e.text)
	}
	w.Flush()
	f.Close()
	if len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitUnable)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fatal("no case %q", os.Args[1])
	}
	run(os.Args[2])
}
