package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowReaderCase stops an entry with SIGTERM while clients read the answers to their requests slowly. Every request that
// the entry had read before must get its whole answer: grace_s is longer than the clients need.
func slowReaderCase(folder string, trouble bool) {
	const (
		answerBytes = 250_000
		// The clients read at slowRate for slowPeriod after they have sent their requests, and at fastRate from then on.
		slowRate, fastRate, slowPeriod = 4_000, 600_000, 4 * time.Second
		piece                          = 1_000
		readers                        = 4
		// stopAfter is the time between the requests and the SIGTERM.
		stopAfter = 300 * time.Millisecond
		deadline  = 10 * time.Second
		// receiveBytes and segmentBytes give a connection of a client a small window.
		receiveBytes, segmentBytes = 8 << 10, 1400
	)
	st := startStore()
	handle := func(s *server, c net.Conn, r *http.Request, _ *bufio.Reader) bool {
		time.Sleep(20 * time.Millisecond)
		note("server %s has run request %s and writes the answer", s.id, r.Header.Get("X-Request-Id"))
		return s.answer(c, r, strings.Repeat("a drawing. ", answerBytes/11+1)[:answerBytes])
	}
	st.Put("op/config", singleRoute("idempotent"))
	for i := range 3 {
		startServer(fmt.Sprintf("i-%04x", 0x7f30+i), "bitacora", fmt.Sprintf("zone-%d", i+1), serverOptions{}, handle).register(st)
	}
	entries := startEntries(2, st.address, folder)
	var mu sync.Mutex
	complete, cut := 0, 0
	var clients sync.WaitGroup
	begin := time.Now()
	for range readers {
		clients.Go(func() {
			id := nextID()
			dialer := net.Dialer{Control: socketOptions(receiveBytes, segmentBytes)}
			conn, err := dialer.Dial("tcp", entries[0].front)
			check(err)
			defer conn.Close()
			_ = conn.SetDeadline(begin.Add(deadline))
			_, err = fmt.Fprintf(conn, "GET /folio/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, host, id, deadline.Milliseconds())
			check(err)
			note("the client sends request %s to %s", id, entries[0].name)
			resp, err := http.ReadResponse(bufio.NewReaderSize(conn, piece), nil)
			var n int
			if err == nil {
				defer resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					check(fmt.Errorf("request %s: status %d", id, resp.StatusCode))
				}
				buffer := make([]byte, piece)
				for err == nil {
					var k int
					k, err = io.ReadFull(resp.Body, buffer)
					n += k
					rate := fastRate
					if time.Since(begin) < slowPeriod {
						rate = slowRate
					}
					time.Sleep(time.Duration(k) * time.Second / time.Duration(rate))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			took := time.Since(begin).Milliseconds()
			if n == answerBytes && errors.Is(err, io.EOF) {
				complete++
				note("the client of request %s has the whole answer of %d bytes after %d ms", id, n, took)
			} else {
				cut++
				note("the connection of request %s ends after %d ms with %d of %d bytes of the answer: %v", id, took, n, answerBytes, err)
			}
		})
	}
	if trouble {
		time.Sleep(stopAfter)
		check(entries[0].process.Process.Signal(syscall.SIGTERM))
		note("%s gets SIGTERM; grace_s is %d", entries[0].name, graceS)
		go func() {
			_, err := entries[0].process.Process.Wait()
			note("%s has ended %d ms after the clients sent their requests, %v", entries[0].name, time.Since(begin).Milliseconds(), err)
		}()
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	if cut > 0 && trouble {
		end(exitBroken, "LOST is broken: %d of %d requests got no complete answer after a SIGTERM", cut, readers)
	}
	if cut > 0 {
		end(exitFailed, "%d of %d requests got no complete answer without a SIGTERM", cut, readers)
	}
	end(exitHeld, "held: %d of %d requests got their whole answers", complete, readers)
}
