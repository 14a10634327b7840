package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// namesCase changes the configuration: a route moves to another service, and a route with a long name is added. The
// store accepts the version. Requests that are sent later than config_apply_ms after its acknowledgement must be handled
// as it says. Then all processes are killed, as in the final fault of a day. Without the disruption, the added route has
// a short name.
func namesCase(folder string, trouble bool) {
	const (
		shortName = "folio-export"
		longName  = "folio-export.bajio-a.bitacora-and-envios.nightly-full-history.canary-of-december"
	)
	st := startStore()
	handle := func(s *server, c net.Conn, r *http.Request, _ *bufio.Reader) bool {
		time.Sleep(5 * time.Millisecond)
		return s.answer(c, r, "a record of "+s.service)
	}
	var services []map[string]any
	for i, name := range []string{"bitacora", "envios"} {
		services = append(services, map[string]any{"name": name, "health_check_path": "/health", "max_connections": 96})
		for j := range 3 {
			startServer(fmt.Sprintf("i-%04x", 0x7f30+16*i+j), name, fmt.Sprintf("zone-%d", j+1), serverOptions{}, handle).register(st)
		}
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": prefix, "type": "idempotent", "timeout_ms": 10000,
			"latency_goal_ms": 600, "priority": 2, "backend": service, "max_attempts": 2}
	}
	config := func(version int, routes ...map[string]any) map[string]any {
		return map[string]any{"version": version, "services": services, "routes": routes, "limits": callerLimits}
	}
	st.Put("op/config", config(7, route("folio", "/folio/", "bitacora")))
	entries := startEntries(3, st.address, folder)
	added := shortName
	if trouble {
		added = longName
	}
	changed := config(9, route("folio", "/folio/", "envios"), route(added, "/export/", "envios"))
	older := 0
	send := func(path, newest string, judged bool) {
		for _, e := range entries {
			c := &client{address: e.front}
			id := nextID()
			a := c.send(id, "GET", path+id, nil, 10*time.Second)
			c.close()
			check(a.err)
			text := strings.TrimSpace(string(a.body))
			note("%s answers %s%s: status %d, %q", e.name, path, id, a.status, text)
			if judged && (a.status != http.StatusOK || text != newest) {
				older++
			}
		}
	}
	send("/folio/", "a record of bitacora", true)
	if older > 0 {
		end(exitFailed, "the first configuration is not in force")
	}
	st.Put("op/config", changed)
	acknowledged := time.Now()
	note("the store has acknowledged version 9, in which /folio/ goes to envios and /export/ is new, under the name %q of %d bytes", added, len(added))
	for after := configApplyMS*time.Millisecond + 500*time.Millisecond; after <= 15*time.Second; after += 2 * time.Second {
		time.Sleep(time.Until(acknowledged.Add(after)))
		note("%d ms after the acknowledgement:", after.Milliseconds())
		send("/folio/", "a record of envios", true)
		send("/export/", "a record of envios", true)
	}
	served, all := recoverAfterKill(entries, folder, "/folio/")
	recovered := served*4 >= all
	if older > 0 {
		end(exitBroken, "CONFIG is broken: %d requests sent later than %d ms after the acknowledgement were handled as only the older version allows; %d of %d were served after all processes had been killed (RECOVER broken: %v)",
			older, configApplyMS, served, all, !recovered)
	}
	if !recovered {
		end(exitFailed, "only %d of %d requests were served after all processes had been killed", served, all)
	}
	end(exitHeld, "held: all requests were handled as the newest version says, and %d of %d were served after all processes had been killed", served, all)
}

// recoverAfterKill kills all entries, starts them again and returns how many requests of those sent later than recovery_s
// after that were served. It is the final fault of a day.
func recoverAfterKill(entries []*entryProcess, folder, path string) (served, all int) {
	const (
		down     = 1200 * time.Millisecond
		recovery = 12 * time.Second
		requests = 90
	)
	for _, e := range entries {
		check(e.process.Process.Kill())
		_ = e.process.Wait()
	}
	note("all processes were killed")
	time.Sleep(down)
	for _, e := range entries {
		e.start(folder)
	}
	note("all processes were started again")
	time.Sleep(recovery)
	statuses := make(map[int]int)
	for i := range requests {
		c := &client{address: entries[i%len(entries)].front}
		a := c.send(nextID(), "GET", path+"again", nil, time.Second)
		c.close()
		statuses[a.status]++
		time.Sleep(50 * time.Millisecond)
	}
	note("%d requests sent later than %v after the start, by status: %v", requests, recovery, statuses)
	return statuses[http.StatusOK], requests
}
