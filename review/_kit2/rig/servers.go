package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// arrival is a request as a server has read it.
type arrival struct {
	server *server
	at     time.Time
	id     string
	method string
	target string
	header http.Header
	// conn is the connection, for servers that do something unusual with it. gone is closed when the
	// caller has closed it.
	conn net.Conn
}

// server is a stand-in of a platform server. It serves one request at a time on a connection, runs
// `slots` requests at once and queues the others.
type server struct {
	d                          *deployment
	id, service, zone, address string
	slots                      int
	lis                        net.Listener
	sem                        chan struct{}
	stamps                     atomic.Uint64

	mu    sync.Mutex
	conns map[net.Conn]bool
	dark  atomic.Bool
}

func (d *deployment) addServer(service, zone string, slots int) *server {
	lis, err := net.Listen("tcp", d.address())
	if err != nil {
		fatal("listen: %v", err)
	}
	d.mu.Lock()
	d.nextServer++
	s := &server{d: d, id: fmt.Sprintf("i-%08x", 0x5a000000+d.nextServer), service: service, zone: zone, address: lis.Addr().String(),
		slots: slots, lis: lis, sem: make(chan struct{}, slots), conns: make(map[net.Conn]bool)}
	d.servers[s.id] = s
	d.mu.Unlock()
	go s.accept()
	s.register("ready")
	return s
}

// register writes the registration, and returns when the store has acknowledged it.
func (s *server) register(state string) time.Time {
	s.d.store.put("servers/"+s.id, map[string]any{"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1",
		"capacity": s.slots, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": s.d.start.UnixMilli()})
	return time.Now()
}

// stop ends the server: it closes its listener and its connections.
func (s *server) stop() {
	s.lis.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// goDark makes the server silent, as if its machine had no power: it answers nothing any more, and
// connections to it are not established. The queue of the listener is made short and is filled.
func (s *server) goDark() {
	s.dark.Store(true)
	raw, err := s.lis.(*net.TCPListener).SyscallConn()
	if err != nil {
		fatal("listener: %v", err)
	}
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		fatal("listen: %v", err)
	}
	for range 3 {
		if c, err := net.DialTimeout("tcp", s.address, 20*time.Millisecond); err == nil {
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
		}
	}
}

func (s *server) accept() {
	for {
		c, err := s.lis.Accept()
		if err != nil {
			return
		}
		if s.dark.Load() {
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.dark.Load() {
			select {}
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		a := &arrival{server: s, at: time.Now(), id: req.Header.Get("X-Request-Id"), method: req.Method, target: req.RequestURI, header: req.Header, conn: c}
		switch {
		case a.id == "":
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case a.header.Get("X-Expect-Instance") != "" && a.header.Get("X-Expect-Instance") != s.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, a.id)
			continue
		}
		s.d.recordArrival(a)
		if !s.d.behave(a) {
			return
		}
	}
}

// run runs a request: it waits for a slot and works for the given time.
func (a *arrival) run(work time.Duration) {
	s := a.server
	s.sem <- struct{}{}
	s.d.recordRun(a)
	time.Sleep(work)
	<-s.sem
}

// answer writes a signed answer with a body and reports whether the connection stays open.
func (a *arrival) answer(code int, body []byte) bool {
	stamp := fmt.Sprintf("%s.%04x.%s", a.server.id[2:], a.server.stamps.Add(1), a.id)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n", code, http.StatusText(code), a.id, stamp, len(body))
	_, err := a.conn.Write(append([]byte(head), body...))
	return err == nil
}
