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

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitBound is far above what any condition needs, so that it decides nothing
// but whether a test hangs.
const waitBound = 60 * time.Second

// world is a platform and a network of entries in one process.
type world struct {
	mu sync.Mutex
	// All fields are guarded by mu.
	documents map[string]platformapi.Document
	published chan struct{} // Closed and replaced at every publication.
	refuse    map[string]*status.Error
	old       map[string]map[string]platformapi.Document // What entries with a stale platform see.
	entries   map[string]*entryUnderTest                 // By address, which is the id.
	cut       map[[2]string]bool
	damage    func(*peerpb.FetchReply)
	rounds    time.Duration // Interval of exchanges.
	expiry    time.Duration // Age at which entries stop counting as alive.
	yieldFor  time.Duration // Time for which entries that cannot read leave the watcher role.
}

func newWorld() *world {
	return &world{documents: map[string]platformapi.Document{}, published: make(chan struct{}), refuse: map[string]*status.Error{},
		old: map[string]map[string]platformapi.Document{}, entries: map[string]*entryUnderTest{}, cut: map[[2]string]bool{}, rounds: 5 * time.Millisecond, expiry: 200 * time.Millisecond}
}

// publish puts a value on the platform.
func (w *world) publish(key, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.documents[key] = platformapi.Document{Key: key, Version: w.documents[key].Version + 1, Value: json.RawMessage(value)}
	close(w.published)
	w.published = make(chan struct{})
}

// freeze lets an entry see the platform as it is now from now on.
func (w *world) freeze(entry string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.old[entry] = map[string]platformapi.Document{}
	for key, doc := range w.documents {
		w.old[entry][key] = doc
	}
}

// fail makes the platform refuse an entry's calls, or accept them again for nil.
func (w *world) fail(entry string, err *status.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse[entry] = err
}

func (w *world) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
}

// client is the platform and the network as one entry sees them.
type client struct {
	*world
	entry string
}

func (c client) Get(_ context.Context, key string) (platformapi.Document, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refuse[c.entry]; err != nil {
		return platformapi.Document{}, err
	}
	docs := c.documents
	if old := c.old[c.entry]; old != nil {
		docs = old
	}
	doc, ok := docs[key]
	if !ok {
		return doc, status.New(status.NotFound, "", "no document")
	}
	return doc, nil
}

func (c client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
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
			return doc, false, status.New(status.Canceled, "", "watch ended")
		}
	}
}

func (c client) Hosts(context.Context) ([]platformapi.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refuse[c.entry]; err != nil {
		return nil, err
	}
	return nil, nil
}

func (c client) peer(address string) (*Syncer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[address]
	if e == nil || c.cut[[2]string{c.entry, address}] {
		return nil, status.New(status.ConnectionFailed, status.NotRun, "peer %s is not reachable", address)
	}
	return e.Syncer, nil
}

func (c client) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	s, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	return s.HandleExchange(ctx, in)
}

func (c client) Fetch(ctx context.Context, address string, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	s, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	reply, err := s.HandleFetch(ctx, in)
	if err == nil {
		reply = proto.Clone(reply).(*peerpb.FetchReply)
		c.mu.Lock()
		if c.damage != nil {
			c.damage(reply)
		}
		c.mu.Unlock()
	}
	return reply, err
}

// entryUnderTest is a running Syncer that fails the test when a revision goes back.
type entryUnderTest struct {
	*Syncer
	id     string
	trail  *audit.Trail
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// failures counts failed reads of the platform by key. Guarded by mu.
	failures map[string]int
}

func (e *entryUnderTest) readFailed(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures[key]++
}

// readFailures returns the number of failed reads of a key.
func (e *entryUnderTest) readFailures(key string) int {
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

// start runs an entry of the world that knows the given peers.
func (w *world) start(t *testing.T, id string, peers ...string) *entryUnderTest {
	t.Helper()
	cfg := Config{Entry: id, Zone: "zone-" + id[len(id)-1:], Address: id, Incarnation: ids.NewIncarnation(),
		ExchangeInterval: w.rounds, PollInterval: 50 * time.Millisecond, HostInterval: 50 * time.Millisecond,
		WatchWait: 100 * time.Millisecond, MemberExpiry: w.expiry, YieldFor: w.yieldFor}
	for _, p := range peers {
		if p != id {
			cfg.Peers = append(cfg.Peers, Peer{Entry: p, Zone: "zone-" + p[len(p)-1:], Address: p})
		}
	}
	e := &entryUnderTest{id: id, trail: audit.New(zerolog.Nop()), done: make(chan struct{}), failures: map[string]int{}}
	var last uint64
	e.Syncer = New(cfg, Deps{Platform: client{w, id}, Peers: client{w, id}, Audit: e.trail, Log: zerolog.Nop(),
		ParseSheet: parseSheet, ParseIndex: parseIndex, CheckSheet: checkSheet, OnReadFailure: e.readFailed,
		OnChange: func(v *View) {
			if v.Sheet == nil {
				return
			}
			if v.Sheet.Revision < last {
				t.Errorf("entry %s went back from sheet %d to %d", id, last, v.Sheet.Revision)
			}
			last = v.Sheet.Revision
		}})
	w.mu.Lock()
	w.entries[id] = e
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
	t.Cleanup(func() { w.stop(e) })
	return e
}

// stop ends an entry. Its address refuses calls afterwards.
func (w *world) stop(e *entryUnderTest) {
	e.cancel()
	<-e.done
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries[e.id] == e {
		delete(w.entries, e.id)
	}
}

func (e *entryUnderTest) revision() uint64 {
	if s := e.Current().Sheet; s != nil {
		return s.Revision
	}
	return 0
}

// recorded counts the events of a kind.
func (e *entryUnderTest) recorded(kind audit.Kind) int {
	count := 0
	for _, event := range e.trail.Events() {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitBound); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

func sheetOf(revision int, date string) string {
	return fmt.Sprintf(`{"revision": %d, "date": %q, "services": [{"name": "a"}, {"name": "b"}]}`, revision, date)
}
