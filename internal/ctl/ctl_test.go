package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
)

const demoSheet = "../../examples/demo/sheet.json"

// run runs a command line and returns its exit code, standard output and standard error.
func run(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = cli.Run(context.Background(), &Commands{}, "balsam-ctl", "", args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// editedSheet writes the demo sheet with the replacements to a temporary file and returns its path.
func editedSheet(t *testing.T, oldnew ...string) string {
	t.Helper()
	data, err := os.ReadFile(demoSheet)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "sheet.json")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(oldnew...).Replace(string(data))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		want int
		args []string
	}{
		{cli.ExitOK, []string{"--help"}},
		{cli.ExitOK, []string{"sheet", "check", demoSheet, "--index", "../../examples/demo/index.json"}},
		{cli.ExitOK, []string{"sheet", "diff", demoSheet, demoSheet}},
		{cli.ExitUsage, []string{"sheet", "check", editedSheet(t, `"slots": 3`, `"slots": 0`)}},
		{cli.ExitUsage, []string{"sheet", "check", "no-such-file"}},
		{cli.ExitUsage, []string{"no-such-command"}},
		{cli.ExitUsage, []string{"status"}},
		{cli.ExitUsage, []string{"status", "--entry", "localhost:1"}},
		{cli.ExitUsage, []string{"drain", "--entry", "127.0.0.1:1"}},
		{cli.ExitUsage, []string{"audit", "--entry", "127.0.0.1:1"}},
		{cli.ExitFailed, []string{"status", "--entry", "127.0.0.1:1", "--key-file", demoSheet}},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			t.Setenv(adminKeyVariable, "")
			is := is.New(t)
			code, _, _ := run(c.args...)
			is.Equal(code, c.want)
		})
	}
}

// Guards against a diff that omits a change or does not report that entries will refuse the sheet.
func TestSheetDiff(t *testing.T) {
	is := is.New(t)
	next := editedSheet(t, `"revision": 1,`, `"revision": 2,`, `"priority": 2`, `"priority": 3`, `"vitrina-1-target-2"`, `"vitrina-1-target-9"`)
	_, out, _ := run("sheet", "diff", demoSheet, next)
	is.Equal(strings.Split(strings.TrimSpace(out), "\n"), []string{
		`sheet: revision 1 -> 2`,
		`target "vitrina-1-target-2": removed (it gets no new attempts)`,
		`target "vitrina-1-target-9": added (it starts cold)`,
		`service "quote-desk-1": priority 2 -> 3 (lower priority: shed earlier under overload)`,
	})
	_, out, _ = run("sheet", "diff", next, demoSheet)
	is.True(strings.Contains(out, "entries refuse it: the revision is lower"))
	_, out, _ = run("sheet", "diff", demoSheet, editedSheet(t, `"priority": 2`, `"priority": 3`))
	is.True(strings.Contains(out, "entries refuse it: the revision is the same"))
}

// fakeEntry serves the admin and caller paths of one entry and returns its address.
func fakeEntry(t *testing.T) string {
	reply := func(code int, v any) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(code)
			json.NewEncoder(w).Encode(v)
		}
	}
	mux := http.NewServeMux()
	protected := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer right-key" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			h(w, r)
		}
	}
	mux.HandleFunc("GET "+adminapi.StatusPath, protected(reply(http.StatusOK, adminapi.Status{
		ID: "entry-1", Zone: "az-1", Ready: true, SheetRevision: 7,
		Peers:    []adminapi.Peer{{ID: "entry-2", Alive: true}, {ID: "entry-3"}},
		Services: []adminapi.Service{{Name: "vitrina-1", Answered: 5}, {Name: "bodega-1", Answered: 6}},
		Targets:  []adminapi.Target{{ID: "vitrina-1-target-1", EWMAMS: 4.25}},
	})))
	now := time.Now()
	mux.HandleFunc("GET "+adminapi.AuditPath, protected(reply(http.StatusOK, adminapi.Audit{Events: []adminapi.Event{
		{Sequence: 1, Kind: "document_accepted", Actor: "platform", Detail: "revision 6", Time: now.Add(-time.Hour)},
		{Sequence: 2, Kind: "drain_started", Actor: "operator", Time: now},
		{Sequence: 3, Kind: "document_accepted", Actor: "entry-2", Detail: "revision 7", Time: now},
	}})))
	mux.HandleFunc("POST "+adminapi.DrainPath, protected(reply(http.StatusAccepted, nil)))
	mux.HandleFunc("POST "+callerapi.SearchPath, func(w http.ResponseWriter, r *http.Request) {
		var request callerapi.SearchRequest
		json.NewDecoder(r.Body).Decode(&request)
		if request.Service == "drawing-vault" {
			reply(http.StatusPreconditionRequired, callerapi.ErrorResponse{Code: status.PermitRequired, Outcome: status.NotRun, Permit: "fresh"})(w, r)
			return
		}
		reply(http.StatusOK, callerapi.SearchResponse{Coverage: callerapi.Coverage{
			Searched: []int{0}, NotSearched: []callerapi.NotSearched{{Shard: 1, Reason: callerapi.ReasonDeadline}}, Ratio: 0.5}})(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a status without the entries that answer when another does not, and against totals
// that omit services.
func TestStatusShowsEveryEntry(t *testing.T) {
	is := is.New(t)
	t.Setenv(adminKeyVariable, "right-key")
	code, out, _ := run("status", "--details", "--entry", "127.0.0.1:1,"+fakeEntry(t))
	is.Equal(code, cli.ExitFailed)
	is.True(strings.Contains(out, "no answer"))
	rows := strings.Split(out, "\n")
	is.Equal(strings.Fields(rows[2])[4:11], []string{"7", "0", "1", "of", "2", "0", "0"})
	is.Equal(strings.Fields(rows[2])[11], "11")
	is.True(strings.Contains(out, "vitrina-1-target-1"))
}

// Guards against filters that pass events that do not match.
func TestAuditFilters(t *testing.T) {
	is := is.New(t)
	t.Setenv(adminKeyVariable, "right-key")
	address := fakeEntry(t)
	for args, want := range map[string]int{
		"":                                      3,
		"--kind document_accepted":              2,
		"--kind document_accepted --since 1m":   1,
		"--actor operator":                      1,
		"--match revision":                      2,
		"--limit 1":                             1,
		"--kind drain_started --match revision": 0,
		"--kind drain_started,document_accepted --limit 2": 2,
	} {
		code, out, _ := run(append([]string{"audit", "--json", "--entry", address}, strings.Fields(args)...)...)
		is.Equal(code, cli.ExitOK)
		var got adminapi.Audit
		is.NoErr(json.Unmarshal([]byte(out), &got))
		is.Equal(len(got.Events), want) // args
	}
}

// Guards against a drain that reports success although the entry rejected the key.
func TestDrainNeedsTheKey(t *testing.T) {
	is := is.New(t)
	address := fakeEntry(t)
	t.Setenv(adminKeyVariable, "wrong-key")
	code, _, _ := run("drain", "--entry", address)
	is.Equal(code, cli.ExitFailed)
	t.Setenv(adminKeyVariable, "right-key")
	code, _, _ = run("drain", "--entry", address)
	is.Equal(code, cli.ExitOK)
}

// Guards against output that does not show that an answer is partial, and against a refusal that is
// reported as success.
func TestQueryShowsCoverageAndRefusals(t *testing.T) {
	is := is.New(t)
	address := fakeEntry(t)
	t.Setenv(callerKeyVariable, "key")
	code, out, _ := run("query", "--entry", address, "--service", "vitrina-1", "mortar")
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(out, "0.5000, 1 of 2 shards searched, contract missed"))
	is.True(strings.Contains(out, "shard 1: deadline"))
	code, out, stderr := run("query", "--entry", address, "--service", "drawing-vault", "1187-B")
	is.Equal(code, cli.ExitFailed)
	is.True(strings.Contains(out, "permit: fresh"))
	is.True(strings.Contains(stderr, "permit_required"))
}

// Guards against accepting a kind of event that entries never record, which would show an empty
// trail, and against help that does not list the kinds.
func TestAuditKnowsTheKinds(t *testing.T) {
	is := is.New(t)
	t.Setenv(adminKeyVariable, "right-key")
	address := fakeEntry(t)
	_, help, _ := run("audit", "--help")
	words := strings.Fields(help) // The help wraps long lines.
	for _, kind := range audit.Kinds() {
		code, _, _ := run("audit", "--entry", address, "--kind", string(kind))
		is.Equal(code, cli.ExitOK)
		is.True(slices.ContainsFunc(words, func(w string) bool { return strings.Trim(w, ",.") == string(kind) })) // listed in the help
	}
	code, _, stderr := run("audit", "--entry", address, "--kind", "sheet_accepted")
	is.Equal(code, cli.ExitUsage)
	is.True(strings.Contains(stderr, "document_accepted"))
}
