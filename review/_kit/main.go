// Command review-kit plays the cases of the review: it is the store, the servers, the clients and the
// operator of a small deployment, and starts the entries as the deploy file says.
//
//	review-kit CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(*day) bool{}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) (code int) {
	file, err := os.Create(record)
	check(err)
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer os.RemoveAll(dir)
	d := &day{dir: dir, record: file, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", base: rand.IntN(200) + 20}
	defer func() {
		for _, e := range d.entries {
			e.kill()
		}
		if p := recover(); p != nil {
			d.logf("the case couldn't run: %v", p)
			fmt.Fprintln(os.Stderr, "the case couldn't run:", p)
			code = 2
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		for _, e := range d.entries {
			e.kill()
		}
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	d.store = newStore(d.ip(1, 1), d.logf)
	broken := cases[name](d)
	d.logf("rule broken: %v", broken)
	fmt.Println("rule broken:", broken)
	if broken {
		return 1
	}
	return 0
}

// day is one play of a case.
type day struct {
	dir     string
	start   time.Time
	trouble bool
	base    int // Chooses the loopback addresses.
	store   *store
	entries []*entry
	seeds   []string

	mu       sync.Mutex
	record   io.Writer
	runs     []run
	arrivals []run
	sent     []*request
}

// ip returns a loopback address of the day.
func (d *day) ip(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", d.base, net, host) }

func (d *day) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *day) server(service, zone string, host int, work time.Duration) *server {
	s := startServer(d.store, service, zone, d.ip(2, host), work,
		func(r run) {
			d.logf("server %s (%s) runs %s: %s %s, body of %d bytes", r.server, r.service, r.id, r.method, r.target, len(r.body))
			d.mu.Lock()
			d.runs = append(d.runs, r)
			d.mu.Unlock()
		},
		func(r run) {
			d.mu.Lock()
			d.arrivals = append(d.arrivals, r)
			d.mu.Unlock()
		})
	d.logf("server %s of %s starts at %s in zone %s", s.id, service, s.address, zone)
	return s
}

// entry is a process of the system.
type entry struct {
	day                                   *day
	name, zone, ip, front, ready, control string
	cmd                                   *exec.Cmd
	done                                  chan struct{}
	exited                                bool
	inRotation                            bool
	misses                                int
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// addEntries adds one entry in each of the zones and starts them.
func (d *day) addEntries(zones ...string) {
	for i, zone := range zones {
		ip := d.ip(3, len(d.entries)+1)
		d.entries = append(d.entries, &entry{day: d, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip,
			front: freeAddress(ip), ready: freeAddress(ip), control: freeAddress(ip)})
	}
	for _, e := range d.entries[:min(3, len(d.entries))] {
		d.seeds = append(d.seeds, e.control)
	}
	for _, e := range d.entries {
		e.start()
	}
	go d.askReady()
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// start starts the process as deploy/system.toml says, with the template filled in.
func (e *entry) start() {
	template, err := os.ReadFile("deploy/entry.json.tmpl")
	check(err)
	values := map[string]any{"node_name": e.name, "zone": e.zone, "ip": e.ip, "bind_addresses.front": e.front, "bind_addresses.ready": e.ready,
		"bind_addresses.control": e.control, "platform.address": e.day.store.address, "seeds": e.day.seeds, "limits.cpu_share": 0.4,
		"limits.memory_mb": 284, "bounds.grace_s": 6, "bounds.retry_budget_ratio": 0.2, "bounds.budget_min_retries": 58, "bounds.budget_window_s": 10}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			panic("the template needs " + m[1])
		}
		switch v := v.(type) {
		case string:
			if m[2] != "" {
				return `"` + v + `"`
			}
			return v
		case []string:
			return `["` + strings.Join(v, `","`) + `"]`
		}
		return fmt.Sprint(v)
	})
	path := filepath.Join(e.day.dir, e.name+".json")
	check(os.WriteFile(path, []byte(text), 0o600))
	output, err := os.OpenFile(filepath.Join(e.day.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/balsam-entry", "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMSTALL_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	check(cmd.Start())
	output.Close()
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	e.day.logf("entry %s starts at %s", e.name, e.front)
}

// kill ends the process at once.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.done
}

// copyLogs appends the lines of the entries' logs that contain one of the texts to the record.
func (d *day) copyLogs(limit int, texts ...string) {
	for _, e := range d.entries {
		data, err := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
		check(err)
		n := 0
		for line := range strings.Lines(string(data)) {
			for _, text := range texts {
				if strings.Contains(line, text) && n < limit {
					d.logf("log of %s: %s", e.name, strings.TrimSpace(line))
					n++
					break
				}
			}
		}
	}
}

// askReady takes entries into rotation and out of it, as the platform's balancer does.
func (d *day) askReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, e := range d.entries {
			go func() {
				res, err := client.Get("http://" + e.ready + "/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					res.Body.Close()
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if ok {
					e.inRotation, e.misses = true, 0
				} else if e.misses++; e.misses >= 2 {
					e.inRotation = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// awaitReady waits until all entries are ready.
func (d *day) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		d.mu.Lock()
		ready := 0
		for _, e := range d.entries {
			if e.inRotation {
				ready++
			}
		}
		d.mu.Unlock()
		if ready == len(d.entries) {
			return
		}
	}
	panic("the entries aren't ready")
}

// request is one attempt of a client.
type request struct {
	id, entry string
	at        time.Time
	took      time.Duration
	status    int // Zero without an answer.
	err       error
	header    http.Header
	body      []byte
}

// client sends requests over kept connections, one set for each of the clients.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}}}
}

// send sends one request to an entry in rotation and records the result.
func (d *day) send(c *client, method, host, target, body string, wait time.Duration) *request {
	d.mu.Lock()
	var choices []*entry
	for _, e := range d.entries {
		if e.inRotation {
			choices = append(choices, e)
		}
	}
	if len(choices) == 0 {
		choices = d.entries
	}
	d.mu.Unlock()
	return d.sendTo(c, choices[rand.IntN(len(choices))], method, host, target, body, wait)
}

func (d *day) sendTo(c *client, e *entry, method, host, target, body string, wait time.Duration) *request {
	r := &request{id: newID()[2:] + newID()[2:], entry: e.name, at: time.Now()}
	d.mu.Lock()
	d.sent = append(d.sent, r)
	d.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+e.front+target, strings.NewReader(body))
	check(err)
	if body == "" {
		req.Body = nil
		req.ContentLength = 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	d.logf("client sends %s to %s: %s %s", r.id, e.name, method, target)
	hc := *c.http
	hc.Timeout = wait
	res, err := hc.Do(req)
	if err == nil {
		r.body, err = io.ReadAll(res.Body)
		res.Body.Close()
		r.status, r.header = res.StatusCode, res.Header
	}
	r.took, r.err = time.Since(r.at), err
	if err != nil {
		r.status = 0
	}
	text := strings.TrimSpace(string(r.body))
	if r.status == 200 {
		text = fmt.Sprintf("%d bytes", len(r.body))
	}
	d.logf("client gets %d for %s from %s after %d ms (%s) %v", r.status, r.id, e.name, r.took.Milliseconds(), text, orEmpty(err))
	return r
}

func orEmpty(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// load sends requests at a rate until stop is closed. The call returns at once.
func (d *day) load(perSecond int, stop chan struct{}, send func(*client)) {
	clients := make([]*client, 8)
	for i := range clients {
		clients[i] = newClient()
	}
	go func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				go send(clients[i%len(clients)])
			}
		}
	}()
}

// at waits until a time after the start of traffic.
func at(traffic time.Time, seconds float64) {
	time.Sleep(time.Until(traffic.Add(time.Duration(seconds * float64(time.Second)))))
}
