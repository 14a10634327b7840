package inputs

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/standin/platform"
	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

const (
	// waitTimeout is the timeout of every wait for a condition. The service does not guarantee it.
	waitTimeout = 30 * time.Second
	// maxConnections is max_caller_connections of the entry.
	maxConnections = 16
	// maxBodyBytes is max_body_bytes of the entry.
	maxBodyBytes = 4_096
	asanKey      = "key-of-asan-buyer"
	molinaKey    = "key-of-molina-counter"
)

// startEntry runs an entry with a platform and a target in this process and returns the address for
// its callers.
func startEntry(t *testing.T) string {
	t.Helper()
	snapshot := ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1}
	tg := target.New(target.Config{ID: "target-1", Address: "127.0.0.1:0", Zone: "az-1", Slots: 8, MaxConnections: 64, Queue: 64, QueueWaitMS: 500},
		map[string]target.Service{"quote-desk-1": {Snapshots: []ids.Snapshot{snapshot}}, "member-ledger-1": {Snapshots: []ids.Snapshot{snapshot}}}, zerolog.Nop())
	tg.Start(listen(t))
	t.Cleanup(tg.Close)
	pf, err := platform.New(platform.NewSettings(t.TempDir()), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	pf.Start(listen(t))
	t.Cleanup(pf.Close)
	testfleet.Publish(t, pf, platformapi.SheetKey, testSheet(tg.Addr()))
	var services []index.Service
	for _, name := range []string{"quote-desk-1", "member-ledger-1"} {
		services = append(services, index.Service{Name: name, Snapshots: []index.Snapshot{{Snapshot: snapshot, Shards: [][]string{{"target-1"}, {"target-1"}}}}})
	}
	testfleet.Publish(t, pf, platformapi.IndexKey, &index.Document{Revision: 1, Services: services})

	callers, admin := testfleet.FreeAddress(t), testfleet.FreeAddress(t)
	set := entrySettings(callers)
	set["admin_address"], set["platform_address"] = admin, pf.Addr()
	set["max_caller_connections"], set["max_body_bytes"] = maxConnections, maxBodyBytes
	data, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	startProcess(t, writeFile(t, "entry.json", string(data)))
	testfleet.Eventually(t, "the entry is ready", func() bool {
		resp, err := http.Get("http://" + admin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return callers
}

// startProcess runs balsam-entry until the test ends.
func startProcess(t *testing.T, settings string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "balsam-entry"), "--config", settings)
	log, err := os.Create(settings + ".log")
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		log.Close()
		if data, err := os.ReadFile(settings + ".log"); err == nil && t.Failed() {
			t.Logf("entry log:\n%s", data)
		}
	})
}

func testSheet(targetAddress string) *sheet.Sheet {
	service := func(name string) sheet.Service {
		return sheet.Service{
			Name: name, Priority: 1,
			Latency:  sheet.Latency{ContractMS: 2_000, MaxDeadlineMS: 5_000},
			Coverage: sheet.Coverage{MinRatio: 1},
			Repeat:   sheet.Repeat{Rule: sheet.Idempotent},
			Limits:   sheet.Limits{MaxConcurrency: 64, MaxQueue: 64, MaxFanout: 16},
		}
	}
	return &sheet.Sheet{
		Revision: 1, Date: "2026-12-04",
		Workspaces: []sheet.Workspace{{Name: "asan-toolroom"}, {Name: "molina-shop"}},
		Callers: []sheet.Caller{
			{Name: "asan-buyer", Workspace: "asan-toolroom", KeyDigest: testfleet.KeyDigest(asanKey), Services: []string{"quote-desk-1"}},
			{Name: "molina-counter", Workspace: "molina-shop", KeyDigest: testfleet.KeyDigest(molinaKey), Services: []string{"member-ledger-1"}},
		},
		Targets:  []sheet.Target{{ID: "target-1", Address: targetAddress, Zone: "az-1", Slots: 8, MaxConnections: 64}},
		Services: []sheet.Service{service("quote-desk-1"), service("member-ledger-1")},
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

// servesRequests reports whether a request on a new connection gets a complete answer.
func servesRequests(address string) bool {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+callerapi.SearchPath, bytes.NewReader([]byte(`{"service":"quote-desk-1","query":"jig plate"}`)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+asanKey)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var answer callerapi.SearchResponse
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&answer) == nil && answer.Coverage.ContractMet
}
