package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// settleCase takes one of the three servers of a service away. The server never reports that it is draining: its
// registration is removed, it goes on serving for drain_ms and a little longer, and exits. No request may reach it later
// than drain_ms after the store has acknowledged the removal. The requests are not idempotent, so those that the server
// still runs when it exits are lost.
func settleCase(folder string, trouble bool) {
	const (
		work = 100 * time.Millisecond
		// serveFor is how long the server serves after the removal.
		serveFor = drainMS*time.Millisecond + 200*time.Millisecond
	)
	st := startStore()
	type arrival struct {
		id, server string
		at         time.Time
	}
	var arrivalsMu sync.Mutex
	var arrivals []arrival
	handle := func(s *server, c net.Conn, r *http.Request, _ *bufio.Reader) bool {
		arrivalsMu.Lock()
		arrivals = append(arrivals, arrival{r.Header.Get("X-Request-Id"), s.id, time.Now()})
		arrivalsMu.Unlock()
		time.Sleep(work)
		return s.answer(c, r, "a record of "+s.id)
	}
	var servers []*server
	st.Put("op/config", singleRoute("non_idempotent"))
	for i := range 3 {
		s := startServer(fmt.Sprintf("i-%04x", 0x7f30+i), "bitacora", fmt.Sprintf("zone-%d", i+1), serverOptions{}, handle)
		s.register(st)
		servers = append(servers, s)
	}
	entries := startEntries(3, st.address, folder)
	stop := make(chan struct{})
	var unanswered atomic.Int64
	var clients sync.WaitGroup
	for _, e := range entries {
		for range 4 {
			clients.Go(func() {
				c := &client{address: e.front}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(30 * time.Millisecond):
					}
					id := nextID()
					if a := c.send(id, "POST", "/folio/"+id, []byte("a lot"), 10*time.Second); a.err != nil || a.status != http.StatusOK {
						unanswered.Add(1)
						note("%s answers request %s: status %d, %q, %v", e.name, id, a.status, strings.TrimSpace(string(a.body)), a.err)
					}
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	gone := servers[0]
	if trouble {
		st.Remove("servers/" + gone.id)
	}
	acknowledged := time.Now()
	if trouble {
		time.AfterFunc(serveFor, func() {
			gone.crash()
			note("server %s exits", gone.id)
		})
		note("the store has acknowledged the removal of the registration of server %s, which goes on serving", gone.id)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	arrivalsMu.Lock()
	defer arrivalsMu.Unlock()
	late, last := 0, time.Duration(0)
	for _, a := range arrivals {
		if after := a.at.Sub(acknowledged); a.server == gone.id && after > 0 {
			last = max(last, after)
			if after > drainMS*time.Millisecond {
				late++
				note("request %s reaches server %s %d ms after the acknowledgement", a.id, a.server, after.Milliseconds())
			}
		}
	}
	note("%d requests in all, %d of them without an answer of a server; the last one reaches server %s %d ms after the acknowledgement", len(arrivals), unanswered.Load(), gone.id, last.Milliseconds())
	if !trouble {
		if len(arrivals) < 500 || unanswered.Load() > 0 {
			end(exitFailed, "%d requests came, %d of them without an answer of a server", len(arrivals), unanswered.Load())
		}
		end(exitHeld, "held: no server was taken away, %d requests were served", len(arrivals))
	}
	if late > 0 {
		end(exitBroken, "DRAIN is broken: %d requests reached a server later than %d ms after its removal was acknowledged, the last %d ms after; %d requests were lost when it exited", late, drainMS, last.Milliseconds(), unanswered.Load())
	}
	end(exitHeld, "held: the last request reached the server %d ms after the acknowledgement", last.Milliseconds())
}
