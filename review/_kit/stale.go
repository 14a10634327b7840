package main

import (
	"strings"
	"time"
)

func init() { cases["stale"] = playStale }

// plainConfig is a configuration with one route to one service.
func plainConfig(version int, kind, service string) map[string]any {
	return map[string]any{"version": version, "routes": []any{map[string]any{"name": "r-fetch", "host": "hufi27.example", "path_prefix": "/fetch/",
		"type": kind, "timeout_ms": 8000, "latency_goal_ms": 500, "priority": 2, "backend": service, "max_attempts": 2}},
		"services": []any{map[string]any{"name": service, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   limits()}
}

// playStale lets the store forget its history one second after a server has reported that it drains.
// For three seconds, stale reads of the servers are three seconds old. The rule is DRAIN.
func playStale(d *day) bool {
	const drain, window = 3 * time.Second, 4 * time.Second
	d.store.put("op/config", plainConfig(3, "idempotent", "drawing-vault"))
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	var servers []*server
	for i := range 6 {
		servers = append(servers, d.server("drawing-vault", zones[i%3], i+1, 60*time.Millisecond))
	}
	d.addEntries(zones...)
	d.awaitReady()
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	traffic := time.Now()
	d.load(40, stop, func(c *client) { d.send(c, "GET", "hufi27.example", "/fetch/2f", "", 8*time.Second) })

	at(traffic, 8)
	leaving := servers[1]
	acknowledged := leaving.drain()
	d.logf("server %s reports that it drains; the store acknowledges it", leaving.id)

	at(traffic, 9)
	if d.trouble {
		d.logf("platform_compact: watches hear nothing for a second, while a server starts")
		d.store.silence()
	}
	at(traffic, 9.5)
	d.server("drawing-vault", zones[1], 10, 60*time.Millisecond)
	at(traffic, 10)
	if d.trouble {
		d.logf("platform_compact: the store forgets its history; stale reads of servers/ are 3 s old, those of op/config are not")
		d.store.mu.Lock()
		d.store.lag = func(path string) time.Duration {
			if strings.HasSuffix(path, "/kv-range") {
				return 3 * time.Second
			}
			return 0
		}
		d.store.mu.Unlock()
		d.store.compact()
	}
	at(traffic, 13)
	d.store.mu.Lock()
	d.store.lag = func(string) time.Duration { return 0 }
	d.store.mu.Unlock()
	calm := time.Now().Add(window)
	at(traffic, 14)
	d.server("drawing-vault", zones[0], 11, 60*time.Millisecond) // An ordinary change of the list.

	at(traffic, 24)
	d.logf("server %s has ended", leaving.id)
	leaving.end()
	leaving.expire()
	at(traffic, 25)
	close(stop)
	time.Sleep(time.Second)
	d.copyLogs(30, "change history", "full state", "documentAccepted", "accepted")

	late := 0
	d.mu.Lock()
	for _, r := range d.arrivals {
		if r.server == leaving.id && r.at.After(acknowledged.Add(drain)) && r.at.After(calm) {
			late++
		}
	}
	d.mu.Unlock()
	d.logf("DRAIN: %d requests reached server %s later than %v after the acknowledgement and later than %v after the end of the disruption",
		late, leaving.id, drain, window)
	return late > 0
}
