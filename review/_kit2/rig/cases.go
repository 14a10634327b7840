package main

import (
	"fmt"
	"sync"
	"time"
)

var cases = map[string]func(record string){"drain": drainCase, "watchers": watchersCase}

const host = "hufi27.example"

// drainCase: requests that hang at a server are sent once more, seconds later, to servers that have left the
// route's service meanwhile.
func drainCase(record string) {
	const services, serversPerService, leaving = 4, 7, 3
	d := newDeployment()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var mu sync.Mutex
	hangs := make(map[string]string) // The server at which a request hangs, by request.
	d.behave = func(a *arrival) bool {
		mu.Lock()
		at, ok := hangs[a.id]
		if ok && at == "" {
			hangs[a.id] = a.server.id
		}
		mu.Unlock()
		if ok && at == "" && d.trouble {
			d.recordRun(a)
			d.log("server %s hangs on request %s", a.server.id, a.id)
			buf := make([]byte, 1)
			_, _ = a.conn.Read(buf) // Until the caller closes the connection.
			return false
		}
		a.run(60 * time.Millisecond)
		return a.answer(200, []byte("drawing"))
	}
	var routes, names []any
	all := make(map[string][]*server)
	for i := range services {
		name := fmt.Sprintf("kafi%dc", i)
		names = append(names, serviceOf(name, 110))
		routes = append(routes, map[string]any{"name": "r-" + name, "host": host, "path_prefix": fmt.Sprintf("/goka%d/", i), "type": "idempotent",
			"timeout_ms": 8000, "latency_goal_ms": 500, "priority": 2, "backend": name, "max_attempts": 2})
		for k := range serversPerService {
			all[name] = append(all[name], d.addServer(name, zones[k%3], 2))
		}
	}
	d.putConfig(7, routes, names)
	d.startEntries(zones...)
	time.Sleep(stabilityWindow + time.Second) // The entries are in touch from here on.

	var wg sync.WaitGroup
	hungSent := time.Now()
	for i := range services {
		for _, e := range d.entries {
			id := newID()
			hangs[id] = ""
			wg.Go(func() { e.send(id, "GET", host, fmt.Sprintf("/goka%d/2f", i), 8*time.Second, nil) })
		}
	}
	time.Sleep(time.Until(hungSent.Add(500 * time.Millisecond)))
	leftAt := make(map[*server]time.Time)
	for _, servers := range all {
		for _, s := range servers[:leaving] {
			leftAt[s] = s.register("draining")
			d.log("the store has acknowledged that server %s is draining", s.id)
		}
	}
	// Requests as usual, from 4 s on.
	time.Sleep(time.Until(hungSent.Add(4 * time.Second)))
	for range 10 {
		for i := range services {
			for _, e := range d.entries {
				wg.Go(func() { e.send(newID(), "GET", host, fmt.Sprintf("/goka%d/2f", i), 8*time.Second, nil) })
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	var broken []string
	d.mu.Lock()
	for _, a := range d.arrivals {
		if left, ok := leftAt[a.server]; ok && a.at.Sub(left) > drainMS*time.Millisecond {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached server %s %d ms after the store had acknowledged that it is draining", a.id, a.server.id, a.at.Sub(left).Milliseconds()))
		}
	}
	d.mu.Unlock()
	d.finish(record, broken)
}

// watchersCase: the machines that watch the store lose power together, and the operator moves a route.
func watchersCase(record string) {
	const rounds, dark = 6, 5 * time.Second
	d := newDeployment()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	d.behave = func(a *arrival) bool {
		a.run(5 * time.Millisecond)
		return a.answer(200, []byte(a.server.service))
	}
	services := []string{"kafi81c", "dele69a"}
	names := []any{serviceOf(services[0], 110), serviceOf(services[1], 110)}
	for _, name := range services {
		for k := range 6 {
			d.addServer(name, zones[k%3], 4)
		}
	}
	version := 3
	config := func(service string) time.Time {
		version += 2
		d.putConfig(version, []any{map[string]any{"name": "r-xm", "host": host, "path_prefix": "/goka/", "type": "idempotent", "timeout_ms": 8000,
			"latency_goal_ms": 500, "priority": 2, "backend": service, "max_attempts": 2}}, names)
		return time.Now()
	}
	config(services[0])
	d.startEntries("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
	var broken []string
	for round := 1; round <= rounds; round++ {
		time.Sleep(stabilityWindow + time.Second) // All are in touch from here on.
		var lost, calm []*entry
		for _, e := range d.entries {
			if d.store.watching(e.store) {
				lost = append(lost, e)
			} else {
				calm = append(calm, e)
			}
		}
		if len(lost) == 0 || len(calm) == 0 {
			fatal("%d of the machines watch the store", len(lost))
		}
		if d.trouble {
			for _, e := range lost {
				d.log("round %d: %s loses power", round, e.name)
				_ = e.cmd.Process.Kill()
			}
		}
		moved := services[round%2]
		acked := config(moved)
		var wg sync.WaitGroup
		var mu sync.Mutex
		stale, last := 0, time.Duration(0)
		for time.Since(acked) < dark {
			if time.Since(acked) > 2500*time.Millisecond {
				for _, e := range calm {
					wg.Go(func() {
						r := e.send(newID(), "GET", host, "/goka/2f", 8*time.Second, nil)
						if after := r.sent.Sub(acked); after > configMS*time.Millisecond && r.status == 200 && string(r.body) != moved {
							mu.Lock()
							stale++
							last = max(last, after)
							mu.Unlock()
							d.log("request %s, sent to %s %d ms after the acknowledgement of configuration %d, was run by the old service", r.id, e.name, after.Milliseconds(), version)
						}
					})
				}
			}
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		d.log("round %d: %d requests were run by the old service later than %d ms, the last one %d ms after the acknowledgement", round, stale, configMS, last.Milliseconds())
		if stale > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: round %d: %d requests at machines in touch were run by the old service, the last one sent %d ms after the acknowledgement", round, stale, last.Milliseconds()))
		}
		if d.trouble {
			for _, e := range lost {
				<-e.exited
				e.run()
			}
			for _, e := range lost {
				e.awaitReady()
			}
		}
	}
	d.finish(record, broken)
}
