package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashingCase sends a request that crashes each server that begins to run it. Its client leaves before that, and comes
// again, at either entry. The servers run the request on after its connection has closed, as some do. No more than three
// retries may reach servers later than stability_window_ms after the third crash. Without the disruption, the client
// stays.
func crashingCase(folder string, trouble bool) {
	const (
		goal     = 150 * time.Millisecond
		deadline = 2500 * time.Millisecond
		// leaveAfter is half of the latency goal, when clients that give up leave.
		leaveAfter = goal / 2
		// crashAfter is the time for which a server works on the request before it crashes.
		crashAfter = 120 * time.Millisecond
		// downFor is the time until a crashed server is back, as a new incarnation.
		downFor = 2 * time.Second
		// expiry is the time after which the registration of a silent server is removed: three heartbeats.
		expiry   = 3600 * time.Millisecond
		poison   = "/lote/all-of-1998"
		shards   = 4
		replicas = 3
		// maxRetries is the number of retries that may reach servers.
		maxRetries = 3
	)
	// sendAt lists the times of the request, within two spans of 8 s in which clients give up. The retries begin later
	// than stability_window_ms after the first crashes and leave the servers time to come back.
	sendAt := []time.Duration{0, 4300 * time.Millisecond, 6 * time.Second, 7700 * time.Millisecond,
		16 * time.Second, 18200 * time.Millisecond, 20400 * time.Millisecond, 22600 * time.Millisecond}
	st := startStore()
	var mu sync.Mutex
	started := 0
	var crashes []time.Time
	reached := map[string]time.Time{}
	var start func(service, zone string)
	handle := func(s *server, c net.Conn, r *http.Request, _ *bufio.Reader) bool {
		if r.RequestURI != poison {
			time.Sleep(usualWork())
			record := make([]byte, 16)
			binary.BigEndian.PutUint64(record, s.signatures.Load())
			return s.answer(c, r, string(record))
		}
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		if _, ok := reached[id]; !ok {
			reached[id] = time.Now()
		}
		mu.Unlock()
		note("request %s: server %s of %s begins to run it", id, s.id, s.service)
		time.Sleep(crashAfter)
		mu.Lock()
		first := !s.isDown()
		if first {
			crashes = append(crashes, time.Now())
		}
		mu.Unlock()
		if first {
			s.crash()
			note("server %s crashes", s.id)
			time.AfterFunc(downFor, func() { start(s.service, s.zone) })
			time.AfterFunc(expiry, func() { st.Remove("servers/" + s.id) })
		}
		return false
	}
	start = func(service, zone string) {
		mu.Lock()
		started++
		id := fmt.Sprintf("i-%04x", 0x7f30+started)
		mu.Unlock()
		startServer(id, service, zone, serverOptions{}, handle).register(st)
	}
	var names []string
	var services []map[string]any
	for i := range shards {
		name := fmt.Sprintf("lotes-%d", i)
		names = append(names, name)
		services = append(services, map[string]any{"name": name, "health_check_path": "/health", "max_connections": 30})
		for j := range replicas {
			start(name, fmt.Sprintf("zone-%d", j+1))
		}
	}
	st.Put("op/config", map[string]any{"version": 7, "services": services,
		"routes": []map[string]any{{"name": "lote", "host": host, "path_prefix": "/lote/", "type": "idempotent", "timeout_ms": deadline.Milliseconds(),
			"latency_goal_ms": goal.Milliseconds(), "priority": 1, "gather": names, "max_attempts": 2, "top_k": 5, "min_shard_share": 0.75}},
		"limits": callerLimits})
	entries := startEntries(2, st.address, folder)
	stop := make(chan struct{})
	var others sync.WaitGroup
	var served, failed int
	for i := range 9 {
		others.Go(func() {
			c := &client{address: entries[i%len(entries)].front}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := nextID()
				a := c.send(id, "GET", "/lote/"+id, nil, deadline)
				mu.Lock()
				if a.err == nil && a.status == 200 {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	for i, at := range sendAt {
		time.Sleep(time.Until(begin.Add(at)))
		e := entries[i%len(entries)]
		id := nextID()
		c := &client{address: e.front}
		if trouble {
			c.leave(id, poison, deadline, leaveAfter)
			note("the client of request %s leaves %s after %v", id, e.name, leaveAfter)
			continue
		}
		a := c.send(id, "GET", poison, nil, deadline)
		note("%s answers request %s: status %d, %q, %v", e.name, id, a.status, strings.TrimSpace(string(a.body)), a.err)
		c.close()
	}
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	note("%d crashes; of the other requests, %d were served and %d were not", len(crashes), served, failed)
	if len(crashes) < 3 {
		end(exitFailed, "only %d servers crashed", len(crashes))
	}
	late := 0
	for id, at := range reached {
		if after := at.Sub(crashes[2]); after > stabilityMS*time.Millisecond {
			late++
			note("request %s reaches servers %d ms after the third crash", id, after.Milliseconds())
		}
	}
	if late > maxRetries {
		end(exitBroken, "BUDGET is broken: %d retries of a request that crashes its servers reached servers later than %d ms after the third crash; %d servers crashed", late, stabilityMS, len(crashes))
	}
	end(exitHeld, "held: %d retries reached servers later than %d ms after the third crash; %d servers crashed", late, stabilityMS, len(crashes))
}

// usualWork returns the time for which a server works on a usual request, like that of
// lote-completo in huerta-trenza: 20 ms on average, one in a hundred five times as long.
func usualWork() time.Duration {
	const mean, spread, tailShare, tailFactor = 20e6, 0.35, 0.01, 5
	work := mean * math.Exp(rand.NormFloat64()*spread-spread*spread/2)
	if rand.Float64() < tailShare {
		work *= tailFactor
	}
	return time.Duration(work)
}
