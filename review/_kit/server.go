package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// heartbeat is heartbeat_ms of the settings. An entry of the store expires after three of silence.
const heartbeat = 1200 * time.Millisecond

// run is a request that a server began to run.
type run struct {
	at              time.Time
	id, method      string
	target, body    string
	server, service string
}

// server is a stand-in of one server.
type server struct {
	id, service, zone, address string
	work                       time.Duration
	capacity                   int
	store                      *store
	born                       time.Time
	listener                   *net.TCPListener
	onRun                      func(run)
	// onArrival is called for each request of a client that reaches the server, run or rejected.
	onArrival func(run)

	mu       sync.Mutex
	state    string
	sequence int
	written  string // The entry without its sequence, as last written.
	ended    bool
	dark     bool
	busy     int
	conns    map[net.Conn]bool
	fillers  []int
}

func newID() string {
	b := make([]byte, 4)
	_, err := rand.Read(b)
	check(err)
	return "i-" + hex.EncodeToString(b)
}

// startServer starts a server with a new id on a free port.
func startServer(st *store, service, zone, ip string, work time.Duration, onRun, onArrival func(run)) *server {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s := &server{id: newID(), service: service, zone: zone, address: l.Addr().String(), work: work, capacity: 3, store: st,
		born: time.Now(), listener: l.(*net.TCPListener), onRun: onRun, onArrival: onArrival, state: "ready", conns: make(map[net.Conn]bool)}
	go s.accept()
	go s.beat()
	return s
}

// beat writes the entry of the server. It changes when more than its sequence changes.
func (s *server) beat() {
	for {
		s.mu.Lock()
		if s.ended || s.dark {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.report()
		time.Sleep(heartbeat)
	}
}

// report writes the entry if it has changed, and returns the time of the acknowledgement.
func (s *server) report() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	warmup := max(0, (3*time.Second - time.Since(s.born)).Milliseconds())
	if warmup > 0 {
		warmup = 3000
	}
	now := fmt.Sprint(s.state, warmup > 0)
	if now == s.written || s.ended {
		return time.Now()
	}
	s.written = now
	return s.store.put("servers/"+s.id, map[string]any{"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1",
		"capacity": s.capacity, "state": s.state, "warmup_left_ms": warmup, "sequence": s.sequence, "born": s.born.UnixMilli()})
}

// drain reports that the server is draining, and returns the time of the acknowledgement.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.report()
}

// end ends the server: its connections are reset, and its port refuses new ones.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	conns := s.conns
	s.conns = make(map[net.Conn]bool)
	s.mu.Unlock()
	s.listener.Close()
	for c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// expire removes the entry of a server that fell silent, as the store does after three heartbeats.
func (s *server) expire() { s.store.remove("servers/" + s.id) }

// goDark makes the server silent: open connections get no more bytes, new ones are not established.
// The queue of its listener is cut to nothing and filled, so that the kernel drops what else comes.
func (s *server) goDark() {
	s.mu.Lock()
	s.dark = true
	s.mu.Unlock()
	raw, err := s.listener.SyscallConn()
	check(err)
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // Ends Accept without closing the listener.
	check(raw.Control(func(fd uintptr) { check(syscall.Listen(int(fd), 0)) }))
	address, err := net.ResolveTCPAddr("tcp", s.address)
	check(err)
	for range 4 {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		check(err)
		sa := &syscall.SockaddrInet4{Port: address.Port}
		copy(sa.Addr[:], address.IP.To4())
		_ = syscall.Connect(fd, sa) // In progress.
		s.mu.Lock()
		s.fillers = append(s.fillers, fd)
		s.mu.Unlock()
	}
}

func (s *server) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve serves the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		if !s.isDark() {
			c.Close()
		}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || s.isDark() {
			if s.isDark() {
				select {} // Silent for good.
			}
			return
		}
		if !s.answer(c, req, string(body)) {
			return
		}
	}
}

func (s *server) answer(c net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Request-Id")
	arrival := run{at: time.Now(), id: id, method: req.Method, target: req.RequestURI, body: body, server: s.id, service: s.service}
	if req.URL.Path == "/health" {
		return write(c, 200, nil, "X-Instance-Id: "+s.id)
	}
	if id == "" {
		return write(c, 400, nil, "X-Not-Executed: 1")
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		return write(c, 421, nil, "X-Request-Id: "+id, "X-Not-Executed: 1", "X-Instance-Id: "+s.id)
	}
	s.onArrival(arrival)
	s.mu.Lock()
	full := s.busy >= s.capacity+4
	if !full {
		s.busy++
	}
	s.mu.Unlock()
	if full {
		return write(c, 503, nil, "X-Request-Id: "+id, "X-Not-Executed: 1")
	}
	s.onRun(arrival)
	time.Sleep(s.work)
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	if s.isDark() {
		select {}
	}
	records := make([]byte, 64)
	_, _ = rand.Read(records)
	return write(c, 200, records, "X-Request-Id: "+id, "X-Response-Stamp: "+s.id+"."+id)
}

func write(c net.Conn, code int, body []byte, header ...string) bool {
	out := "HTTP/1.1 " + strconv.Itoa(code) + " " + http.StatusText(code) + "\r\n"
	for _, h := range header {
		out += h + "\r\n"
	}
	_, err := c.Write(append([]byte(out+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...))
	return err == nil
}
