package main

import (
	"time"
)

func init() { cases["detached"] = playDetached }

// searchConfig is a configuration with a route over one shard and a route to a service.
func searchConfig(version int) map[string]any {
	return map[string]any{"version": version, "routes": []any{
		map[string]any{"name": "r-match", "host": "leno12.example", "path_prefix": "/match/", "type": "idempotent", "timeout_ms": 2000,
			"latency_goal_ms": 120, "priority": 1, "gather": []any{"quote-desk"}, "max_attempts": 2, "top_k": 20, "min_shard_share": 0.89},
		map[string]any{"name": "r-fetch", "host": "hufi27.example", "path_prefix": "/fetch/", "type": "idempotent", "timeout_ms": 8000,
			"latency_goal_ms": 500, "priority": 2, "backend": "drawing-vault", "max_attempts": 2}},
		"services": []any{
			map[string]any{"name": "quote-desk", "health_check_path": "/health", "max_connections": 31, "protocol": "h1", "tls": false},
			map[string]any{"name": "drawing-vault", "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits": limits()}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// playDetached kills all entries (the final fault), starts them again, and then crashes all servers of
// the only shard, which are replaced 4.5 s later. The servers of the other service, which gets a request
// now and then, stay well. The rule is RECOVER.
func playDetached(d *day) bool {
	const recovery = 12 * time.Second
	d.store.put("op/config", searchConfig(3))
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	var servers []*server
	for i, zone := range zones {
		servers = append(servers, d.server("quote-desk", zone, i+1, 15*time.Millisecond))
	}
	for i := range 6 {
		d.server("drawing-vault", zones[i%3], i+21, 60*time.Millisecond)
	}
	d.addEntries(zones...)
	d.awaitReady()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	traffic := time.Now()
	d.load(60, stop, func(c *client) { d.send(c, "GET", "leno12.example", "/match/2f", "", 2*time.Second) })
	go func() { // Requests to the other service.
		c := newClient()
		for _, s := range []float64{2, 4, 10, 11, 16, 20, 25, 30, 35, 40} {
			at(traffic, s)
			d.send(c, "GET", "hufi27.example", "/fetch/2f", "", 8*time.Second)
		}
	}()

	at(traffic, 6)
	d.logf("final fault: all processes are killed")
	final := time.Now()
	for _, e := range d.entries {
		e.kill()
	}
	at(traffic, 7.2)
	for _, e := range d.entries {
		e.start()
	}
	back := time.Now()

	at(traffic, 13)
	if d.trouble {
		d.logf("srv_crash, dark all: the three servers of the shard fall silent")
		for _, s := range servers {
			s.goDark()
		}
	}
	at(traffic, 16.6)
	if d.trouble {
		for _, s := range servers {
			s.expire()
		}
		d.logf("the store has removed the three silent servers")
	}
	at(traffic, 17.5)
	if d.trouble {
		for i, zone := range zones {
			d.server("quote-desk", zone, i+11, 15*time.Millisecond)
		}
	}
	at(traffic, 45)
	close(stop)
	time.Sleep(2500 * time.Millisecond)
	d.copyLogs(20, "checked whether", "reaches no target although", "reaches targets again")

	before, servedBefore := 0, 0
	after, servedAfter := 0, 0
	d.mu.Lock()
	for _, r := range d.sent {
		served := 0
		if r.status == 200 && (r.header.Get("X-Part-Stamps") != "" || r.header.Get("X-Response-Stamp") != "") {
			served = 1
		}
		switch {
		case r.at.Before(final):
			before++
			servedBefore += served
		case r.at.After(back.Add(recovery)):
			after++
			servedAfter += served
		}
	}
	d.mu.Unlock()
	d.logf("RECOVER: before the final fault %d of %d requests were served", servedBefore, before)
	d.logf("RECOVER: of those sent later than 12 s after the machines were back, %d of %d were served", servedAfter, after)
	return 4*servedBefore >= before && 4*servedAfter < after
}
