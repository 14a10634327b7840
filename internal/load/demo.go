package load

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// demoDeadlineMS is the deadline of each query of the demo, in milliseconds.
const demoDeadlineMS = 2_000

// demoEntries is the number of entries that the demo needs: a permit is fetched from the first,
// used through the second and used again through the third.
const demoEntries = 3

// DemoStep is one query of the demo and its answer.
type DemoStep struct {
	Name     string     `json:"name"`
	Entry    string     `json:"entry"`
	Caller   string     `json:"caller"`
	Service  string     `json:"service"`
	Answer   DemoAnswer `json:"answer"`
	Faults   []string   `json:"faults"`
	request  *callerapi.SearchRequest
	received Answer
}

// DemoAnswer is the part of an answer that the demo prints.
type DemoAnswer struct {
	HTTPStatus int            `json:"http_status"`
	Outcome    status.Outcome `json:"outcome"`
	Code       status.Code    `json:"code,omitempty"`
	Error      string         `json:"error,omitempty"`
	Hits       int            `json:"hits"`
	Searched   int            `json:"searched"`
	// Shards is the number of shards of the snapshot.
	Shards        int     `json:"shards"`
	Ratio         float64 `json:"ratio"`
	ContractMet   bool    `json:"contract_met"`
	IndexVersion  uint64  `json:"index_version"`
	SheetRevision uint64  `json:"sheet_revision"`
	RunBy         string  `json:"run_by,omitempty"`
	Replayed      bool    `json:"replayed,omitempty"`
}

// DemoFailure is the error of a demo with answers that were not as expected.
type DemoFailure struct {
	Failed, Steps int
}

// Error implements the error interface.
func (e *DemoFailure) Error() string {
	return fmt.Sprintf("%d of %d answers are not as expected", e.Failed, e.Steps)
}

type demo struct {
	ctx      context.Context
	client   *Client
	settings *Settings
	steps    []*DemoStep
}

// RunDemo sends the demo queries through the first three entries of the settings. The error is a
// *DemoFailure if an answer is not as expected.
func RunDemo(ctx context.Context, s *Settings) ([]*DemoStep, error) {
	if len(s.Entries) < demoEntries {
		return nil, status.New(status.InvalidArgument, "", "the demo needs %d entries; the settings have %d", demoEntries, len(s.Entries))
	}
	d := &demo{ctx: ctx, client: NewClient(), settings: s}
	defer d.client.Close()
	asan, err := s.caller("asan-buyer")
	if err != nil {
		return nil, err
	}
	molina, err := s.caller("molina-counter")
	if err != nil {
		return nil, err
	}

	d.search("search", 0, asan, "quote-desk-1", "jig plate").wantAnswer()
	d.search("search", 1, asan, "member-ledger-1", "clamp 40 mm").wantAnswer()
	d.search("search", 2, molina, "vitrina-1", "mortar basalt").wantAnswer()
	d.search("service of others", 0, molina, "quote-desk-1", "jig plate").wantRefusal(status.PermissionDenied)
	d.search("wrong key", 1, Caller{Name: "(nobody)", Key: "wrong-key"}, "quote-desk-1", "jig plate").wantRefusal(status.Unauthenticated)
	d.runPermitSteps(asan, "drawing-vault", "drawing 1187-B")

	failed := 0
	for _, step := range d.steps {
		if len(step.Faults) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return d.steps, &DemoFailure{Failed: failed, Steps: len(d.steps)}
	}
	return d.steps, nil
}

// runPermitSteps fetches a permit from the first entry, uses it through the second, which forwards
// the request to the issuer of the permit, and uses it again through the third.
func (d *demo) runPermitSteps(caller Caller, service, query string) {
	fetch := d.search("no permit", 0, caller, service, query)
	fetch.wantRefusal(status.PermitRequired)
	permit := ""
	if fetch.received.Refusal != nil {
		permit = fetch.received.Refusal.Permit
	}
	fetch.check(permit != "", "the refusal carries no permit")

	firstUse := d.send("permit, forwarded", 1, caller, &callerapi.SearchRequest{Service: service, Query: query, Permit: permit})
	firstUse.wantAnswer()
	firstUse.check(firstUse.received.Response != nil && firstUse.received.Response.Entry == d.settings.Entries[0].ID, "the issuer of the permit did not run the request")
	firstUse.check(firstUse.received.Response != nil && !firstUse.received.Response.Replayed, "the first use is marked as replayed")

	repeat := d.send("permit, repeated", 2, caller, &callerapi.SearchRequest{Service: service, Query: query, Permit: permit})
	repeat.wantAnswer()
	repeat.check(repeat.received.Response != nil && repeat.received.Response.Replayed, "the repeat is not marked as replayed")
	repeat.check(sameAnswer(firstUse.received.Response, repeat.received.Response), "the repeat differs from the first answer")

	d.send("permit, other query", 0, caller, &callerapi.SearchRequest{Service: service, Query: query + " rev 2", Permit: permit}).
		wantRefusal(status.PermitInvalid)
}

func sameAnswer(a, b *callerapi.SearchResponse) bool {
	return a != nil && b != nil && a.Snapshot == b.Snapshot && a.Entry == b.Entry && a.SheetRevision == b.SheetRevision &&
		reflect.DeepEqual(a.Results, b.Results) && reflect.DeepEqual(a.Coverage, b.Coverage)
}

func (d *demo) search(name string, entryIndex int, caller Caller, service, query string) *DemoStep {
	return d.send(name, entryIndex, caller, &callerapi.SearchRequest{Service: service, Query: query})
}

func (d *demo) send(name string, entryIndex int, caller Caller, request *callerapi.SearchRequest) *DemoStep {
	request.DeadlineMS = demoDeadlineMS
	entry := d.settings.Entries[entryIndex]
	step := &DemoStep{Name: name, Entry: entry.ID, Caller: caller.Name, Service: request.Service, request: request}
	step.received = d.client.Search(d.ctx, entry.Address, caller.Key, request)
	step.Answer = newDemoAnswer(&step.received)
	d.steps = append(d.steps, step)
	return step
}

func newDemoAnswer(a *Answer) DemoAnswer {
	out := DemoAnswer{HTTPStatus: a.HTTPStatus, Outcome: a.Outcome(), Code: a.Code()}
	if a.Err != nil {
		out.Error = a.Err.Error()
	}
	if r := a.Response; r != nil {
		out.Hits = len(r.Results)
		out.Searched = len(r.Coverage.Searched)
		out.Shards = len(r.Coverage.Searched) + len(r.Coverage.NotSearched)
		out.Ratio = r.Coverage.Ratio
		out.ContractMet = r.Coverage.ContractMet
		out.IndexVersion = r.Snapshot.IndexVersion
		out.SheetRevision = r.SheetRevision
		out.RunBy = r.Entry
		out.Replayed = r.Replayed
	}
	return out
}

func (s *DemoStep) check(ok bool, format string, args ...any) {
	if !ok {
		s.Faults = append(s.Faults, fmt.Sprintf(format, args...))
	}
}

func (s *DemoStep) wantAnswer() {
	r := s.received.Response
	if r == nil {
		s.check(false, "want an answer, got %s %s", s.received.Code(), s.Answer.Error)
		return
	}
	s.check(r.Outcome == status.Done, "outcome is %q, want %q", r.Outcome, status.Done)
	s.check(r.Service == s.request.Service, "service is %q", r.Service)
	s.check(r.RequestID != "", "no request id")
	s.check(len(r.Results) > 0, "no results")
	s.check(r.Coverage.Ratio == 1 && r.Coverage.ContractMet, "coverage is %.2f, contract met: %t", r.Coverage.Ratio, r.Coverage.ContractMet)
	s.Faults = append(s.Faults, coverageViolations(r)...)
}

func (s *DemoStep) wantRefusal(code status.Code) {
	s.check(s.received.Refusal != nil && s.received.Refusal.Code == code, "code is %q, want %q", s.received.Code(), code)
	s.check(s.received.Outcome() == status.NotRun, "outcome is %q, want %q", s.received.Outcome(), status.NotRun)
}

func (s *Settings) caller(name string) (Caller, error) {
	for _, c := range s.Callers {
		if c.Name == name {
			return c, nil
		}
	}
	return Caller{}, status.New(status.InvalidArgument, "", "the settings have no caller %q", name)
}

// WriteDemo prints the steps as a table.
func WriteDemo(w io.Writer, steps []*DemoStep) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUERY\tENTRY\tCALLER\tSERVICE\tHTTP\tOUTCOME\tCODE\tHITS\tCOVERAGE\tCONTRACT\tRUN BY\tREPLAYED\tRESULT")
	for _, s := range steps {
		a := s.Answer
		coverage, contract, hits := "-", "-", "-"
		if s.received.Response != nil {
			hits = fmt.Sprint(a.Hits)
			coverage = fmt.Sprintf("%.2f (%d of %d shards)", a.Ratio, a.Searched, a.Shards)
			contract = "met"
			if !a.ContractMet {
				contract = "missed"
			}
		}
		result := "as expected"
		if len(s.Faults) > 0 {
			result = strings.Join(s.Faults, "; ")
		}
		replayed := "-"
		if a.Replayed {
			replayed = "yes"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, s.Entry, s.Caller, s.Service,
			a.HTTPStatus, a.Outcome, orDash(string(a.Code)), hits, coverage, contract, orDash(a.RunBy), replayed, result)
	}
	return t.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
