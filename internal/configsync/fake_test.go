package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/balsamstall/balsamstall/coordination/confirm"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is far above what any condition needs, so that it only detects a test that hangs.
const testTimeout = 60 * time.Second

// testEnv simulates a platform and a network of entries in one process.
type testEnv struct {
	mu sync.Mutex
	// All fields are guarded by mu.
	documents        map[string]platformapi.Document
	published        chan struct{} // Closed and replaced on every publication.
	platformErrors   map[string]*status.Error
	platformHangs    map[string]bool                            // Entries whose calls to the platform are not answered.
	staleDocuments   map[string]map[string]platformapi.Document // The documents that entries with a stale view of the platform read.
	entries          map[string]*testEntry                      // By address, which is the id.
	partitioned      map[[2]string]bool
	corruptReply     func(*peerpb.FetchReply)
	exchangeInterval time.Duration // Config.ExchangeInterval of the entries.
	memberExpiry     time.Duration // Config.MemberExpiry of the entries.
	yieldFor         time.Duration // Config.YieldFor of the entries.
	pollInterval     time.Duration // Config.PollInterval of the entries.
	confirm          confirm.Settings
	keys             []string // Config.Keys of the entries.
}

func newTestEnv() *testEnv {
	return &testEnv{documents: map[string]platformapi.Document{}, published: make(chan struct{}), platformErrors: map[string]*status.Error{}, platformHangs: map[string]bool{}, pollInterval: 50 * time.Millisecond,
		staleDocuments: map[string]map[string]platformapi.Document{}, entries: map[string]*testEntry{}, partitioned: map[[2]string]bool{}, exchangeInterval: 5 * time.Millisecond, memberExpiry: 200 * time.Millisecond}
}

// publish publishes a value on the platform.
func (env *testEnv) publish(key, value string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.documents[key] = platformapi.Document{Key: key, Version: env.documents[key].Version + 1, Value: json.RawMessage(value)}
	close(env.published)
	env.published = make(chan struct{})
}

// freezePlatform fixes an entry's view of the platform at the current documents: later publications
// are not visible to the entry.
func (env *testEnv) freezePlatform(entry string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.staleDocuments[entry] = map[string]platformapi.Document{}
	for key, doc := range env.documents {
		env.staleDocuments[entry][key] = doc
	}
}

// setPlatformError makes an entry's calls to the platform fail with err, or succeed if err is nil.
func (env *testEnv) setPlatformError(entry string, err *status.Error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.platformErrors[entry] = err
}

func (env *testEnv) setPartitioned(a, b string, partitioned bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.partitioned[[2]string{a, b}], env.partitioned[[2]string{b, a}] = partitioned, partitioned
}

// entryClient implements Platform and PeerCaller for one entry.
type entryClient struct {
	*testEnv
	entry string
}

func (c entryClient) Get(ctx context.Context, key string) (platformapi.Document, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.platformHangs[c.entry] {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return platformapi.Document{}, status.New(status.Canceled, "", "no answer")
	}
	if err := c.platformErrors[c.entry]; err != nil {
		return platformapi.Document{}, err
	}
	docs := c.documents
	if stale := c.staleDocuments[c.entry]; stale != nil {
		docs = stale
	}
	doc, ok := docs[key]
	if !ok {
		return doc, status.New(status.NotFound, "", "no document")
	}
	return doc, nil
}

func (c entryClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
	timeout := time.After(wait)
	for {
		c.mu.Lock()
		published := c.published
		c.mu.Unlock()
		doc, err := c.Get(ctx, key)
		if err != nil || doc.Version > after {
			return doc, err == nil, err
		}
		select {
		case <-published:
		case <-timeout:
			return doc, false, nil
		case <-ctx.Done():
			return doc, false, status.New(status.Canceled, "", "watch canceled")
		}
	}
}

func (c entryClient) Hosts(context.Context) ([]platformapi.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.platformErrors[c.entry]; err != nil {
		return nil, err
	}
	return nil, nil
}

func (c entryClient) peer(address string) (*Syncer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[address]
	if e == nil || c.partitioned[[2]string{c.entry, address}] {
		return nil, status.New(status.ConnectionFailed, status.NotRun, "peer %s is not reachable", address)
	}
	return e.Syncer, nil
}

func (c entryClient) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	s, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	return s.HandleExchange(ctx, in)
}

func (c entryClient) Fetch(ctx context.Context, address string, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	s, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	reply, err := s.HandleFetch(ctx, in)
	if err == nil {
		reply = proto.Clone(reply).(*peerpb.FetchReply)
		c.mu.Lock()
		if c.corruptReply != nil {
			c.corruptReply(reply)
		}
		c.mu.Unlock()
	}
	return reply, err
}

// testEntry is a running Syncer that fails the test if the sheet revision decreases.
type testEntry struct {
	*Syncer
	id     string
	trail  *audit.Trail
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// failures counts failed reads of the platform by key. Guarded by mu.
	failures map[string]int
}

func (e *testEntry) countReadFailure(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures[key]++
}

// readFailures returns the number of failed reads of a key.
func (e *testEntry) readFailures(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failures[key]
}

// checkSheet refuses a sheet that is marked as faulty.
func checkSheet(s *sheet.Sheet) error {
	if s.Date == "faulty" {
		return status.New(status.InvalidArgument, "", "the date is faulty")
	}
	return nil
}

func parseSheet(data []byte) (*sheet.Sheet, error) {
	var s sheet.Sheet
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	return &s, checkSheet(&s)
}

func parseIndex(data []byte) (*index.Document, error) {
	var d index.Document
	return &d, json.Unmarshal(data, &d)
}

// startEntry starts an entry that knows the given peers.
func (env *testEnv) startEntry(t *testing.T, id string, peers ...string) *testEntry {
	t.Helper()
	cfg := Config{Entry: id, Zone: "zone-" + id[len(id)-1:], Address: id, Incarnation: ids.NewIncarnation(),
		ExchangeInterval: env.exchangeInterval, PollInterval: env.pollInterval, HostInterval: 50 * time.Millisecond,
		WatchWait: 100 * time.Millisecond, MemberExpiry: env.memberExpiry, YieldFor: env.yieldFor, Keys: env.keys, Confirm: env.confirm}
	for _, p := range peers {
		if p != id {
			cfg.Peers = append(cfg.Peers, Peer{Entry: p, Zone: "zone-" + p[len(p)-1:], Address: p})
		}
	}
	e := &testEntry{id: id, trail: audit.New(zerolog.Nop()), done: make(chan struct{}), failures: map[string]int{}}
	var last uint64
	e.Syncer = New(cfg, Deps{Platform: entryClient{env, id}, Peers: entryClient{env, id}, Audit: e.trail, Log: zerolog.Nop(),
		ParseSheet: parseSheet, ParseIndex: parseIndex, ParseTargets: targetlist.Parse, CheckSheet: checkSheet, OnReadFailure: e.countReadFailure,
		OnChange: func(v *View) {
			if v.Sheet == nil {
				return
			}
			if v.Sheet.Revision < last {
				t.Errorf("entry %s reverted from sheet revision %d to %d", id, last, v.Sheet.Revision)
			}
			last = v.Sheet.Revision
		}})
	env.mu.Lock()
	env.entries[id] = e
	env.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
	t.Cleanup(func() { env.stopEntry(e) })
	return e
}

// stopEntry stops an entry. Calls to its address fail afterwards.
func (env *testEnv) stopEntry(e *testEntry) {
	e.cancel()
	<-e.done
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.entries[e.id] == e {
		delete(env.entries, e.id)
	}
}

func (e *testEntry) revision() uint64 {
	if s := e.Current().Sheet; s != nil {
		return s.Revision
	}
	return 0
}

// countEvents returns the number of audit events of a kind.
func (e *testEntry) countEvents(kind audit.Kind) int {
	count := 0
	for _, event := range e.trail.Events() {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// eventually waits until the condition holds, or fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached: %s", what)
		}
	}
}

func sheetJSON(revision int, date string) string {
	return fmt.Sprintf(`{"revision": %d, "date": %q, "services": [{"name": "a"}, {"name": "b"}]}`, revision, date)
}
