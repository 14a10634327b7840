//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/platform/platformtest"
)

const (
	// gatherMemoryMB is the memory of the smallest machines.
	gatherMemoryMB = 184
	gatherFiles    = 4100
	gatherShards   = 36
	// gatherTimeoutMS ends the searches of a crowd.
	gatherTimeoutMS = 4000
	gatherBody      = 256 << 10
)

// rawServer returns a server that handles each connection with handle.
func rawServer(t *testing.T, id string, handle func(net.Conn)) *platformtest.Server {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { handle(c); c.Close() }()
		}
	}()
	return &platformtest.Server{ID: id, Address: lis.Addr().String()}
}

// silentServer returns a server that reads requests and does not answer.
func silentServer(t *testing.T, id string) *platformtest.Server {
	return rawServer(t, id, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

// wideServer returns a server that answers each request with a body of the given size.
func wideServer(t *testing.T, id string, replyBytes int) *platformtest.Server {
	s, err := platformtest.NewServer(id, strings.Repeat("0123456789abcdef", replyBytes/16))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// shardsOf returns shards with two servers each, made by newServer.
func shardsOf(newServer func(shard int, id string) *platformtest.Server) map[string][]*platformtest.Server {
	shards := make(map[string][]*platformtest.Server)
	for shard := range gatherShards {
		name := fmt.Sprintf("shard-%d", shard)
		for i := range 2 {
			shards[name] = append(shards[name], newServer(shard, fmt.Sprintf("i-%d-%d", shard, i)))
		}
	}
	return shards
}

// sendAll sends requests at once and waits until each has an answer or its connection has ended.
func sendAll(address, request string, requests int) {
	var sent sync.WaitGroup
	for range requests {
		sent.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(answerTimeout))
			send(c, request, 64<<10)
			_, _ = c.Read(make([]byte, 1))
		})
	}
	sent.Wait()
}

// awaitAnswer waits until the entry answers an ordinary request, before there is a crowd.
func (s *subject) awaitAnswer(t *testing.T) {
	t.Helper()
	if !eventually(s.ask) {
		t.Fatal("the entry does not answer without a crowd")
	}
}

// check fails the test if a process exceeds its memory or does not answer an ordinary request.
func (s *subject) check(t *testing.T) {
	t.Helper()
	answered := eventually(s.ask)
	resident := s.status(t, "VmHWM:") >> 10
	t.Logf("resident at most %d MB of %d, answered: %v", resident, s.maxResidentMB, answered)
	if resident > s.maxResidentMB || !answered {
		t.Error("the bound is exceeded or an ordinary request is not answered")
	}
}

// publish publishes a service of one server and one that gathers from the shards, and returns the address of
// the store.
func publish(t *testing.T, shards map[string][]*platformtest.Server) string {
	single := wideServer(t, "i-1", 16)
	store := platformtest.NewStore()
	platformtest.PublishGather(store, single, gatherBody, shards, gatherTimeoutMS)
	return serveStore(t, store)
}

func gatherRequest(method string, bodyBytes int) string {
	head := platformtest.RequestHead(method, platformtest.GatherPrefix+"q", "crowd")
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", bodyBytes)
}

// Guards against copies of a body for each shard and each attempt that exhaust the memory of an entry.
func TestCrowdOfSearchesWithLargeBodies(t *testing.T) {
	for _, searches := range []int{100, 300} {
		t.Run(fmt.Sprint(searches), func(t *testing.T) {
			address := publish(t, shardsOf(func(_ int, id string) *platformtest.Server { return silentServer(t, id) }))
			s := startPlatformEntry(t, address, entryOptions{id: "entry-1", memoryMB: gatherMemoryMB, files: gatherFiles})
			s.awaitAnswer(t)
			sendAll(s.address, gatherRequest(http.MethodPost, gatherBody), searches)
			s.check(t)
		})
	}
}

// Guards against replies of many shards that exhaust the memory of an entry while it waits for the last shard.
func TestCrowdOfSearchesWithLargeReplies(t *testing.T) {
	const searches, replyBytes = 500, 60 << 10
	address := publish(t, shardsOf(func(shard int, id string) *platformtest.Server {
		if shard == 0 {
			return silentServer(t, id)
		}
		return wideServer(t, id, replyBytes)
	}))
	s := startPlatformEntry(t, address, entryOptions{id: "entry-1", memoryMB: gatherMemoryMB, files: gatherFiles})
	s.awaitAnswer(t)
	sendAll(s.address, gatherRequest(http.MethodGet, 0), searches)
	s.check(t)
}

// Guards against bodies that exhaust the memory of an entry or of the home that runs its searches.
func TestCrowdOfSearchesThroughAHome(t *testing.T) {
	const searches = 200
	address := publish(t, shardsOf(func(_ int, id string) *platformtest.Server { return silentServer(t, id) }))
	peer := testfleet.FreeAddress(t)
	const homes = `, "homes_from": 2, "homes_per_zone": 1, "cores": %g`
	home := startPlatformEntry(t, address, entryOptions{id: "home", memoryMB: gatherMemoryMB, files: gatherFiles, peerAddress: peer, more: fmt.Sprintf(homes, 4.0)})
	receiver := startPlatformEntry(t, address, entryOptions{id: "receiver", memoryMB: gatherMemoryMB, files: gatherFiles, seed: peer, more: fmt.Sprintf(homes, 0.2)})
	for _, s := range []*subject{home, receiver} {
		s.awaitAnswer(t)
	}
	sendAll(receiver.address, gatherRequest(http.MethodPost, gatherBody), searches)
	receiver.check(t)
	home.check(t)
}

// Guards against heads of many small fields, which take far more memory than bytes.
func TestCrowdOfManyHeaderFields(t *testing.T) {
	const memoryMB, files, connections, headBytes = 64, 600, 450, 60 << 10
	fields := strings.Builder{}
	for i := 0; fields.Len() < headBytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	for name, request := range map[string]string{
		"head not complete":                  fields.String(),
		"complete within the limit, no body": fields.String()[:15<<10] + "z:\r\nContent-Length: 100\r\n\r\n",
		"complete, no body":                  fields.String() + "Content-Length: 100\r\n\r\n",
		"in trailers":                        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + fields.String(),
	} {
		t.Run(name, func(t *testing.T) {
			address := publish(t, nil)
			s := startPlatformEntry(t, address, entryOptions{id: "entry-1", memoryMB: memoryMB, files: files})
			s.awaitAnswer(t)
			sendAll(s.address, s.head+request, connections)
			s.check(t)
		})
	}
}

// Guards against callers that do not read their responses.
func TestCrowdOfUnreadResponses(t *testing.T) {
	const connections, replyBytes = 300, 1 << 20
	single := wideServer(t, "i-1", replyBytes)
	store := platformtest.NewStore()
	platformtest.PublishSingle(store, single, gatherBody)
	s := startPlatformEntry(t, serveStore(t, store), entryOptions{id: "entry-1", memoryMB: gatherMemoryMB, files: gatherFiles})
	s.awaitAnswer(t)
	sendAll(s.address, s.head+"Content-Length: 0\r\n\r\n", connections)
	s.check(t)
}

// endlessServer returns a server that answers a request with head and then with unit until the connection closes.
func endlessServer(t *testing.T, id, head, unit string) *platformtest.Server {
	block := []byte(strings.Repeat(unit, 1+4096/len(unit)))
	return rawServer(t, id, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = c.Write(block)
		}
	})
}

// Guards against bytes without end from many servers at once, in a head or in a body, that exhaust the memory of an entry.
func TestCrowdOfEndlessReplies(t *testing.T) {
	const searches = 100
	signed := platformtest.SignedHead("crowd")
	for name, c := range map[string]struct{ head, unit string }{
		"no answer":           {"", "\x00\xff"},
		"small fields":        {signed, "a:\r\n"},
		"interim replies":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"fields of interim":   {"HTTP/1.1 100 Continue\r\n", "a:\r\n"},
		"body without length": {signed + "\r\n", "record-of-shard7"},
		"one-byte chunks":     {signed + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension":     {signed + "Transfer-Encoding: chunked\r\n\r\n10;", "x"},
		"trailer":             {signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := publish(t, shardsOf(func(_ int, id string) *platformtest.Server { return endlessServer(t, id, c.head, c.unit) }))
			s := startPlatformEntry(t, address, entryOptions{id: "entry-1", memoryMB: gatherMemoryMB, files: gatherFiles})
			s.awaitAnswer(t)
			sendAll(s.address, gatherRequest(http.MethodGet, 0), searches)
			s.check(t)
		})
	}
}

// Guards against copies of a query for each shard and each attempt that exhaust the memory of an entry.
func TestCrowdOfLargeQueries(t *testing.T) {
	const memoryMB, searches, shards, queryBytes = 96, 60, 24, 900 << 10
	f := testfleet.New(t, testfleet.Options{Entries: 1, Targets: 3, Shards: shards, ServiceMS: 300})
	p := f.Entries[0]
	f.Kill(p)
	p.Settings.MaxBodyBytes, p.Settings.MemoryMB = 1<<20, memoryMB
	f.Start(p)
	f.WaitReady(p)
	s := &subject{pid: p.PID(), maxResidentMB: memoryMB,
		ask: func() bool { return f.Search(p, testfleet.IdempotentSearch("clamp")).Status == http.StatusOK }}
	s.awaitAnswer(t)
	var running sync.WaitGroup
	query := strings.Repeat("x", queryBytes)
	for range searches {
		running.Go(func() { f.Search(p, testfleet.IdempotentSearch(query)) })
	}
	running.Wait()
	s.check(t)
}
