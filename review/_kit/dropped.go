package main

import "time"

func init() { cases["dropped"] = playDropped }

// playDropped lets the operator remove one of two routes, and eight seconds later the other. The rule is
// CONFIG.
func playDropped(d *day) bool {
	const apply = 3 * time.Second
	both := searchConfig(3)
	one := searchConfig(7)
	one["routes"] = one["routes"].([]any)[1:]
	none := searchConfig(12)
	none["routes"] = []any{}

	d.store.put("op/config", both)
	zones := []string{"bagmati-a", "bagmati-b", "bagmati-c"}
	for i, zone := range zones {
		d.server("quote-desk", zone, i+1, 15*time.Millisecond)
		d.server("drawing-vault", zone, i+11, 60*time.Millisecond)
	}
	d.addEntries(zones...)
	d.awaitReady()
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	traffic := time.Now()
	d.load(20, stop, func(c *client) { d.send(c, "GET", "leno12.example", "/match/2f", "", 2*time.Second) })
	d.load(20, stop, func(c *client) { d.send(c, "GET", "hufi27.example", "/fetch/2f", "", 8*time.Second) })

	at(traffic, 6)
	firstAcknowledged := d.store.put("op/config", one)
	d.logf("the operator removes the route of leno12.example; the store acknowledges version 7")
	at(traffic, 14)
	var lastAcknowledged time.Time
	if d.trouble {
		lastAcknowledged = d.store.put("op/config", none)
		d.logf("the operator removes the route of hufi27.example, the last one; the store acknowledges version 12")
	}
	at(traffic, 30)
	close(stop)
	time.Sleep(time.Second)
	d.copyLogs(10, "document_refused")

	d.mu.Lock()
	sent := make(map[string]time.Time, len(d.sent))
	for _, r := range d.sent {
		sent[r.id] = r.at
	}
	first, last := 0, 0
	for _, r := range d.runs {
		at := sent[r.id]
		switch {
		case r.service == "quote-desk" && at.After(firstAcknowledged.Add(apply)):
			first++
		case r.service == "drawing-vault" && !lastAcknowledged.IsZero() && at.After(lastAcknowledged.Add(apply)):
			last++
		}
	}
	d.mu.Unlock()
	d.logf("CONFIG: %d requests sent later than %v after the acknowledgement were run with the route that version 7 had dropped", first, apply)
	d.logf("CONFIG: %d requests sent later than %v after the acknowledgement were run with the route that version 12 had dropped", last, apply)
	return first+last > 0
}
