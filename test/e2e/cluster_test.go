// Package e2e runs real balsam-entry processes against stand-ins on loopback
// and checks the promises of the service from outside.
package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/internal/standin/platform"
	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

const (
	callerKey = "key-of-asan-buyer"
	adminKey  = "admin-key-of-the-test-0123456789abc"
	// waitBound bounds every wait for a condition. It is far above the time that
	// a loaded machine needs and is no promise of the service.
	waitBound = 30 * time.Second
	zones     = 2
)

var entryBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "balsam-e2e")
	if err != nil {
		panic(err)
	}
	entryBinary = filepath.Join(dir, "balsam-entry")
	build := exec.Command("go", "build", "-o", entryBinary, "github.com/balsamstall/balsamstall/cmd/balsam-entry")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building balsam-entry: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a platform, targets in two zones and entry processes.
type cluster struct {
	t        *testing.T
	dir      string
	platform *platform.Platform
	targets  []*target.Target
	sheet    *sheet.Sheet
	index    *index.Document
	entries  []*entryProcess
	client   *http.Client
}

// entryProcess is one balsam-entry process. Its addresses stay when it restarts.
type entryProcess struct {
	settings settings.Entry
	file     string
	cmd      *exec.Cmd
	exited   chan struct{}
	mu       sync.Mutex
	log      bytes.Buffer // Guarded by mu.
}

func (p *entryProcess) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

type options struct {
	entries, targets, shards int
	serviceMS                float64
	policyOff                bool
	balancerDelayMS          int64
}

func newCluster(t *testing.T, opt options) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), client: &http.Client{Timeout: 30 * time.Second}}
	c.startTargets(opt)
	c.startPlatform(opt)
	for n := range opt.entries {
		c.entries = append(c.entries, c.newEntry(n, opt))
	}
	for _, p := range c.entries {
		p.settings.Peers = nil
		for _, other := range c.entries {
			if other != p {
				p.settings.Peers = append(p.settings.Peers, settings.Peer{ID: other.settings.ID, Zone: other.settings.Zone, Address: other.settings.PeerAddress})
			}
		}
		c.start(p)
	}
	for _, p := range c.entries {
		c.waitReady(p)
	}
	return c
}

func (c *cluster) startTargets(opt options) {
	snapshots := []ids.Snapshot{{IndexVersion: 1, ShardMapEpoch: 1}}
	services := map[string]target.Service{"quote-desk-1": {Snapshots: snapshots}, "drawing-vault": {Snapshots: snapshots}}
	for n := range opt.targets {
		zone := fmt.Sprintf("az-%d", 1+n%zones)
		tg := target.New(target.Config{
			ID: fmt.Sprintf("target-%d", n), Address: "127.0.0.1:0", Zone: zone, Slots: 8, MaxConnections: 64,
			ServiceTimeMSMedian: opt.serviceMS, ServiceTimeSigma: 0.3, Seed: uint64(n), Queue: 64, QueueWaitMS: 500,
		}, services, zerolog.Nop())
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.t.Fatal(err)
		}
		tg.Start(lis)
		c.t.Cleanup(tg.Close)
		c.targets = append(c.targets, tg)
	}
	c.sheet, c.index = c.documents(1, opt.shards)
}

// documents returns a sheet and an index of the given revision.
func (c *cluster) documents(revision uint64, shards int) (*sheet.Sheet, *index.Document) {
	digest := sha256.Sum256([]byte(callerKey))
	s := &sheet.Sheet{
		Revision:   revision,
		Date:       "2026-12-04",
		Workspaces: []sheet.Workspace{{Name: "asan-toolroom"}},
		Callers: []sheet.Caller{{
			Name: "asan-buyer", Workspace: "asan-toolroom", KeyDigest: hex.EncodeToString(digest[:]),
			Services: []string{"quote-desk-1", "drawing-vault"},
		}},
		Services: []sheet.Service{
			service("quote-desk-1", sheet.Repeat{Rule: sheet.Idempotent}),
			service("drawing-vault", sheet.Repeat{Rule: sheet.AtMostOnce, WindowS: 600}),
		},
	}
	for n, tg := range c.targets {
		s.Targets = append(s.Targets, sheet.Target{
			ID: tg.ID(), Address: tg.Addr(), Zone: fmt.Sprintf("az-%d", 1+n%zones), Slots: 8, MaxConnections: 64,
		})
	}
	d := &index.Document{Revision: revision}
	for _, name := range []string{"quote-desk-1", "drawing-vault"} {
		d.Services = append(d.Services, index.Service{Name: name, Snapshots: []index.Snapshot{c.snapshot(1, 1, shards)}})
	}
	return s, d
}

func service(name string, repeat sheet.Repeat) sheet.Service {
	budget := 0.05
	if repeat.Rule == sheet.AtMostOnce {
		budget = 0 // Requests that run at most once are never hedged.
	}
	return sheet.Service{
		Name: name, Priority: 1,
		Latency:  sheet.Latency{ContractMS: 500, MaxDeadlineMS: 5_000},
		Coverage: sheet.Coverage{MinRatio: 0.9},
		Repeat:   repeat,
		Limits:   sheet.Limits{MaxConcurrency: 256, MaxQueue: 256, MaxFanout: 256},
		Hedge:    sheet.Hedge{BudgetRatio: budget},
		Canary:   sheet.Canary{MaxWaitMS: 1_000},
	}
}

// snapshot places each shard on a target of each zone.
func (c *cluster) snapshot(version, epoch uint64, shards int) index.Snapshot {
	snap := index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: version, ShardMapEpoch: epoch}}
	for n := range shards {
		first := c.targets[n%len(c.targets)].ID()
		second := c.targets[(n+1)%len(c.targets)].ID()
		snap.Shards = append(snap.Shards, []string{first, second})
	}
	return snap
}

func (c *cluster) startPlatform(options) {
	set := platform.NewSettings(c.dir)
	set.Address = "127.0.0.1:0"
	p, err := platform.New(set, zerolog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	p.Start(lis)
	c.t.Cleanup(p.Close)
	c.platform = p
	c.publish(platformapi.SheetKey, c.sheet)
	c.publish(platformapi.IndexKey, c.index)
}

func (c *cluster) publish(key string, doc any) {
	value, err := json.Marshal(doc)
	if err == nil {
		_, err = c.platform.Publish(key, value)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) newEntry(n int, opt options) *entryProcess {
	p := &entryProcess{settings: *settings.NewEntry()}
	s := &p.settings
	s.ID = fmt.Sprintf("entry-%d", n)
	s.Zone = fmt.Sprintf("az-%d", 1+n%zones)
	s.CallerAddress, s.AdminAddress, s.PeerAddress = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	s.PlatformAddress = c.platform.Addr()
	s.PeerKey = "peer-key-of-the-test-0123456789abcd"
	s.PermitKey = "permit-key-of-the-test-0123456789ab"
	s.AdminKey = adminKey
	s.BalancerDelayMS = opt.balancerDelayMS
	s.ExchangeIntervalMS = 200
	s.PollIntervalMS = 2_000
	if opt.policyOff {
		s.PolicyMode = settings.PolicyOff
	}
	p.file = filepath.Join(c.dir, s.ID+".json")
	return p
}

// Addresses for processes that start later are taken below the ports that the
// system gives to outgoing connections (32768 and above on Linux). One of those
// can be taken by any connection before the process listens on it.
const (
	firstPort = 20_000
	ports     = 12_000
	// portTries bounds the search for a free port.
	portTries = 100
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portTries {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err == nil {
			defer lis.Close()
			return lis.Addr().String()
		}
	}
	t.Fatal("no free port was found")
	return ""
}

func (c *cluster) start(p *entryProcess) {
	c.t.Helper()
	data, err := json.Marshal(p.settings)
	if err == nil {
		err = os.WriteFile(p.file, data, 0o600)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(entryBinary, "--config", p.file)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		if c.t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			c.t.Logf("log of %s:\n%s", p.settings.ID, p.log.String())
			p.log.Reset()
		}
	})
}

func (c *cluster) signal(p *entryProcess, s syscall.Signal) {
	c.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) kill(p *entryProcess) {
	c.signal(p, syscall.SIGKILL)
	<-p.exited
}

// eventually waits until check holds.
func (c *cluster) eventually(what string, check func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	c.t.Fatalf("did not happen in %v: %s", waitBound, what)
}

func (c *cluster) waitReady(p *entryProcess) {
	c.t.Helper()
	c.eventually(p.settings.ID+" is ready", func() bool { return c.ready(p) })
}

func (c *cluster) ready(p *entryProcess) bool {
	resp, err := c.client.Get("http://" + p.settings.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// admin reads an operator's endpoint into out.
func (c *cluster) admin(p *entryProcess, method, path string, out any) error {
	req, err := http.NewRequest(method, "http://"+p.settings.AdminAddress+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+adminKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

type entryStatus struct {
	SheetRevision uint64 `json:"sheet_revision"`
	Targets       []struct {
		ID      string `json:"id"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

func (c *cluster) revision(p *entryProcess) uint64 {
	var s entryStatus
	if err := c.admin(p, http.MethodGet, "/status", &s); err != nil {
		return 0
	}
	return s.SheetRevision
}

// result is a decoded answer.
type result struct {
	status int
	answer callerapi.SearchResponse
	fault  callerapi.ErrorResponse
	err    error
}

func (c *cluster) search(p *entryProcess, req callerapi.SearchRequest) result {
	body, _ := json.Marshal(req)
	httpReq, err := http.NewRequest(http.MethodPost, "http://"+p.settings.CallerAddress+callerapi.SearchPath, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	httpReq.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := c.client.Do(httpReq)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	r := result{status: resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		r.err = json.NewDecoder(resp.Body).Decode(&r.answer)
	} else {
		r.err = json.NewDecoder(resp.Body).Decode(&r.fault)
	}
	return r
}

// testSeed returns the seed of a randomised run: 1, or the environment variable
// BALSAM_SEED.
func testSeed(t *testing.T) uint64 {
	seed := envNumber(t, "BALSAM_SEED", 1)
	t.Logf("seed %d", seed)
	return seed
}

// envNumber reads a number from the environment.
func envNumber(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func quote(query string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "quote-desk-1", Query: query, DeadlineMS: 3_000}
}

func fetch(query, permit string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "drawing-vault", Query: query, Permit: permit, DeadlineMS: 2_000}
}

// runs returns the attempts with a query that started on any target.
func (c *cluster) runs(query string) []target.Run {
	var out []target.Run
	for _, tg := range c.targets {
		for _, r := range tg.Record().Runs {
			if r.Query == query {
				out = append(out, r)
			}
		}
	}
	return out
}

// checkAnswer fails the test when an answer breaks a promise.
func (c *cluster) checkAnswer(query string, r result) {
	c.t.Helper()
	if r.err != nil {
		return // The connection to the entry broke; the caller knows nothing.
	}
	if r.status != http.StatusOK {
		for _, run := range c.runs(query) {
			if run.RequestID == r.fault.RequestID && r.fault.Outcome == status.NotRun {
				c.t.Errorf("%s: request %s is reported as not run and ran on a target", query, run.RequestID)
			}
		}
		return
	}
	shards := map[int]bool{}
	for _, s := range r.answer.Coverage.Searched {
		shards[s] = true
	}
	for _, n := range r.answer.Coverage.NotSearched {
		if shards[n.Shard] {
			c.t.Errorf("%s: shard %d is searched and not searched", query, n.Shard)
		}
		shards[n.Shard] = true
	}
	for s := range shards {
		if s < 0 || s >= len(shards) {
			c.t.Errorf("%s: the coverage is not complete: %+v", query, r.answer.Coverage)
		}
	}
	c.checkHits(query, r)
}

// checkHits compares the hits with those that the searched shards hold at the
// snapshot of the answer. A foreign, lost, doubled or mixed hit shows here.
func (c *cluster) checkHits(query string, r result) {
	c.t.Helper()
	want := map[string]int{}
	for _, shard := range r.answer.Coverage.Searched {
		id := targetapi.Identity{Workspace: "asan-toolroom", Service: r.answer.Service, Shard: shard, Snapshot: r.answer.Snapshot}
		for _, h := range target.Hits(id, query) {
			want[h.ID]++
		}
	}
	for _, h := range r.answer.Results {
		want[h.ID]--
	}
	for id, n := range want {
		if n != 0 {
			c.t.Errorf("%s: hit %s is missing (%d) or foreign", query, id, n)
		}
	}
}
