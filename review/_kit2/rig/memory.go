package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryMB is the memory of a machine; a process that exceeds it is killed.
const memoryMB = 284

// resident returns the resident memory of a process in bytes, or zero.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// guardMemory does what the platform does: it kills a process of the entry that exceeds the memory of its
// machine, and starts it again a second later.
func (e *entry) guardMemory(stop <-chan struct{}, kills *atomic.Int64) {
	peak := int64(0)
	defer func() { e.d.log("%s: at most %d MB resident", e.name, peak>>20) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := resident(e.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= memoryMB<<20 {
			continue
		}
		e.d.log("%s has %d MB resident and is killed", e.name, used>>20)
		kills.Add(1)
		_ = e.cmd.Process.Kill()
		<-e.exited
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		e.run()
	}
}

// keptClient sends requests one after the other on a connection that it keeps, and calls lost for each that ends
// without an answer.
func (e *entry) keptClient(path string, stop <-chan struct{}, lost func(id string)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", e.front, time.Second)
		if err != nil {
			continue
		}
		r := bufio.NewReader(c)
		for open := true; open; {
			select {
			case <-stop:
				c.Close()
				return
			default:
			}
			id := newID()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\n\r\n", path, host, id); err != nil {
				break
			}
			resp, err := http.ReadResponse(r, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				lost(id)
				break
			}
			if open = !resp.Close; open && resp.StatusCode != 200 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		c.Close()
	}
}

// memoryCase: searches with bodies that the limits allow, when many users come at once and all servers of the
// index go dark.
func memoryCase(record string) {
	const shards = 15
	d := newDeployment()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	d.quiet = "lohu" // The arrivals of the searches are not recorded: there are about 200,000.
	d.behave = func(a *arrival) bool {
		if a.server.service == "kafi81c" {
			a.run(120 * time.Millisecond)
			return a.answer(200, make([]byte, 6000))
		}
		a.run(5 * time.Millisecond)
		return a.answer(200, make([]byte, 400))
	}
	var gather, names []any
	var index []*server
	for i := range shards {
		name := fmt.Sprintf("lohu%de", i)
		gather = append(gather, name)
		names = append(names, serviceOf(name, 31))
		for k := range 3 {
			index = append(index, d.addServer(name, zones[k], 3))
		}
	}
	names = append(names, serviceOf("kafi81c", 110))
	for k := range 22 {
		d.addServer("kafi81c", zones[k%3], 2)
	}
	d.putConfig(7, []any{
		map[string]any{"name": "r-wa", "host": host, "path_prefix": "/rany/", "type": "idempotent", "timeout_ms": 2000, "latency_goal_ms": 120,
			"priority": 1, "gather": gather, "max_attempts": 2, "top_k": 20, "min_shard_share": 0.89},
		map[string]any{"name": "r-xm", "host": host, "path_prefix": "/goka/", "type": "idempotent", "timeout_ms": 8000, "latency_goal_ms": 500,
			"priority": 2, "backend": "kafi81c", "max_attempts": 2}}, names)
	d.startEntries(zones[:2]...)
	time.Sleep(stabilityWindow)

	var kills atomic.Int64
	var mu sync.Mutex
	var lostIDs []string
	stop := make(chan struct{})
	var background, searches sync.WaitGroup
	for _, e := range d.entries {
		background.Go(func() { e.guardMemory(stop, &kills) })
		for range 8 {
			background.Go(func() {
				e.keptClient("/goka/2f", stop, func(id string) {
					mu.Lock()
					lostIDs = append(lostIDs, id)
					mu.Unlock()
					d.log("the connection of request %s to %s ends without an answer", id, e.name)
				})
			})
		}
	}
	search := func(body []byte, pause, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
			for _, e := range d.entries {
				searches.Go(func() { e.sendQuietly("POST", "/rany/2f", 2*time.Second, body) })
			}
		}
	}
	// The searches of the site, 159 a second, on two machines.
	const pause = 12500 * time.Microsecond
	search([]byte("x"), pause, 45*time.Second)
	body := make([]byte, 262_000)
	if d.trouble {
		d.log("all servers of the index go dark, and 1.7 times as many users come")
		var dark sync.WaitGroup
		for _, s := range index {
			dark.Go(s.goDark)
		}
		dark.Wait()
		search(body, pause*10/17, 3*time.Second)
	} else {
		search(body, pause, 3*time.Second)
	}
	searches.Wait()
	close(stop)
	background.Wait()
	reached := make(map[string]string)
	d.mu.Lock()
	for _, a := range d.arrivals {
		reached[a.id] = a.server.id
	}
	d.mu.Unlock()
	var broken []string
	for _, id := range lostIDs {
		if s, ok := reached[id]; ok {
			broken = append(broken, fmt.Sprintf("LOST: request %s of a kept connection was passed on to server %s, and its connection was closed without an answer", id, s))
		}
	}
	d.log("%d processes were killed for their memory, %d requests that had reached a sound server lost their connection", kills.Load(), len(broken))
	if len(broken) <= 3 {
		broken = nil
	}
	d.finish(record, broken)
}

// sendQuietly sends a request without recording it.
func (e *entry) sendQuietly(method, path string, deadline time.Duration, body []byte) {
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", method, path, host, newID(), deadline.Milliseconds(), len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil && err != syscall.EPIPE {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
