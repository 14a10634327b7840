//go:build crowd

// Package crowd tests entry processes under many large requests that stay incomplete. The limits are
// lowered so that a few hundred connections suffice. The tests measure processes and run one at a time.
package crowd

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/platform/platformtest"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
)

func TestMain(m *testing.M) { os.Exit(testfleet.Main(m)) }

const (
	// reservedFiles is the number of descriptors that an entry keeps for other purposes than callers.
	reservedFiles = 200
	// missingBytes is how much the incomplete requests lack. Every completeEvery-th is complete.
	missingBytes, completeEvery = 100, 10
	// answerTimeout bounds the wait for the answer to an ordinary request and for the crowd. It only
	// ends a test that hangs.
	answerTimeout = time.Minute
)

// kind is how the clients of a crowd send their bodies.
type kind struct {
	name string
	// piece is the number of bytes in one write, chunk the number in one chunk, 0 without chunks.
	piece, chunk int
}

var kinds = []kind{
	{name: "whole", piece: 1 << 20},
	{name: "pieces", piece: 8 << 10},
	{name: "large chunks", piece: 64 << 10, chunk: 32 << 10},
	{name: "one-byte chunks", piece: 64 << 10, chunk: 1},
}

// subject is a running entry.
type subject struct {
	pid     int
	address string
	// head is the start of a large request, without the fields that frame its body.
	head        string
	connections int
	bodyBytes   int
	// maxResidentMB and maxFiles are the bounds that follow from the settings of the entry.
	maxResidentMB, maxFiles int
	// ask sends one ordinary request and reports whether it was answered.
	ask func() bool
}

// Guards against an entry that runs out of memory or descriptors, exits, or leaves ordinary callers
// without an answer, because clients send many large bodies and most stay open just short of the end.
func TestCrowdOfLargeBodies(t *testing.T) {
	for _, entry := range []struct {
		name  string
		start func(*testing.T) *subject
	}{{"relay", startRelay}, {"search", startSearch}} {
		for _, k := range kinds {
			t.Run(entry.name+"/"+k.name, func(t *testing.T) {
				s := entry.start(t)
				s.awaitAnswer(t)
				t.Logf("without a crowd: %d MB resident", s.status(t, "VmRSS:")>>10)
				files, leave := s.attack(t, k)
				defer leave()
				eventually(s.hasReadAll)
				files = max(files, s.files(t))
				answered := eventually(s.ask)
				resident := s.status(t, "VmHWM:") >> 10
				t.Logf("resident at most %d MB of %d, at most %d of %d files, answered: %v", resident, s.maxResidentMB, files, s.maxFiles, answered)
				if resident > s.maxResidentMB || files > s.maxFiles || !answered {
					t.Error("a bound is exceeded or an ordinary request is not answered")
				}
			})
		}
	}
}

// attack sends the requests of a crowd, waits until each is sent, refused or no longer read, and
// returns the largest number of open files seen. The connections stay open until leave is called.
func (s *subject) attack(t *testing.T, k kind) (maxFiles int, leave func()) {
	request := s.encode(k)
	var sent sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for n := range s.connections {
		sent.Go(func() {
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(answerTimeout))
			if n%completeEvery == 0 {
				send(c, request, k.piece)
			} else {
				send(c, request[:len(request)-missingBytes], k.piece)
			}
		})
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	for {
		maxFiles = max(maxFiles, s.files(t))
		select {
		case <-done:
			return max(maxFiles, s.files(t)), func() {
				for _, c := range open {
					c.Close()
				}
			}
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// encode returns a request as it goes over the wire, with the body in the form of the kind.
func (s *subject) encode(k kind) string {
	if k.chunk == 0 {
		return s.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", s.bodyBytes) + strings.Repeat("x", s.bodyBytes)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", k.chunk, strings.Repeat("x", k.chunk))
	return s.head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, s.bodyBytes/k.chunk) + "0\r\n\r\n"
}

// send writes a request in pieces. The entry may refuse it at any time.
func send(c net.Conn, request string, piece int) {
	for len(request) > 0 {
		n := min(piece, len(request))
		if _, err := io.WriteString(c, request[:n]); err != nil {
			return
		}
		request = request[n:]
	}
}

// hasReadAll reports whether no established connection of the entry's callers has unread bytes. Without
// it, a part of the crowd would wait in the system's buffers, which VmHWM does not count.
func (s *subject) hasReadAll() bool {
	_, port, _ := net.SplitHostPort(s.address)
	n, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", n)
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		// The fields are number, local and remote address, state, and tx_queue:rx_queue.
		f := strings.Fields(line)
		if strings.HasSuffix(f[1], local) && f[3] == "01" && !strings.HasSuffix(f[4], ":00000000") {
			return false
		}
	}
	return true
}

// status returns a number from the status of the process. The test fails if the process has exited.
func (s *subject) status(t *testing.T, field string) int {
	t.Helper()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == field {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	t.Fatal("the process has exited")
	return 0
}

func (s *subject) files(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid))
	if err != nil {
		t.Fatalf("the process has exited: %v", err)
	}
	return len(entries)
}

// eventually repeats ask until it succeeds.
func eventually(ask func() bool) bool {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ask() {
			return true
		}
	}
	return false
}

// startSearch starts an entry that serves the search API. Its bounds are those of 256 MB, the default.
func startSearch(t *testing.T) *subject {
	const connections, memoryMB = 400, 256
	f := testfleet.New(t, testfleet.Options{Entries: 1, Targets: 2, Shards: 2, ServiceMS: 1})
	p := f.Entries[0]
	f.Kill(p)
	p.Settings.MaxBodyBytes, p.Settings.MaxCallerConnections = 1<<20, connections
	f.Start(p)
	f.WaitReady(p)
	head := "POST " + callerapi.SearchPath + " HTTP/1.1\r\nHost: e\r\n"
	return &subject{pid: p.PID(), address: p.Settings.CallerAddress, head: head, connections: connections + 100, bodyBytes: 1 << 20,
		maxResidentMB: memoryMB, maxFiles: connections + reservedFiles,
		ask: func() bool { return f.Search(p, testfleet.IdempotentSearch("clamp")).Status == http.StatusOK }}
}

// startRelay starts an entry with 64 MB and few descriptors that relays requests to one server.
func startRelay(t *testing.T) *subject {
	const memoryMB, files, bodyBytes = 64, 600, 256 << 10
	server, err := platformtest.NewServer("i-1", "record")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	store := platformtest.NewStore()
	platformtest.PublishSingle(store, server, bodyBytes)
	s := startPlatformEntry(t, serveStore(t, store), entryOptions{id: "entry-1", memoryMB: memoryMB, files: files})
	s.connections, s.bodyBytes = 450, bodyBytes
	return s
}

// serveStore serves the store and returns its address.
func serveStore(t *testing.T, store *platformtest.Store) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(func() { server.Close() })
	return lis.Addr().String()
}

// entryOptions are settings of an entry that relays requests.
type entryOptions struct {
	id              string
	memoryMB, files int
	// peerAddress is where it serves other entries, seed the peer address of one. Empty selects a free
	// address and none.
	peerAddress, seed string
	// more holds further settings, each after a comma.
	more string
}

// startPlatformEntry starts an entry that relays requests.
func startPlatformEntry(t *testing.T, store string, opt entryOptions) *subject {
	callers := testfleet.FreeAddress(t)
	if opt.peerAddress == "" {
		opt.peerAddress = testfleet.FreeAddress(t)
	}
	file := filepath.Join(t.TempDir(), "entry.json")
	settings := fmt.Sprintf(`{"id": %q, "zone": "z", "caller_address": %q, "ready_address": %q, "peer_address": %q, "platform_address": %q,
		"peer_key": "peer-key-of-the-test-0123456789abcd", "memory_mb": %d, "seeds": [%q]%s}`,
		opt.id, callers, testfleet.FreeAddress(t), opt.peerAddress, store, opt.memoryMB, cmp.Or(opt.seed, opt.peerAddress), opt.more)
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(opt.files), testfleet.Binary(), "--config", file, "--platform")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	head := "POST " + platformtest.PathPrefix + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n"
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return &subject{pid: cmd.Process.Pid, address: callers, head: head,
		maxResidentMB: opt.memoryMB, maxFiles: (opt.files-reservedFiles)/2 + reservedFiles,
		ask: func() bool {
			req, _ := http.NewRequest(http.MethodPost, "http://"+callers+platformtest.PathPrefix, strings.NewReader("an ordinary request"))
			req.Host = platformtest.Host
			resp, err := client.Do(req)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}}
}
