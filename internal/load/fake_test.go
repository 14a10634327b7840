package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// fakeFleet serves the caller API at several addresses. The fake entries share their state.
type fakeFleet struct {
	settings Settings
	// alterAnswer, if set, modifies every answer before it is sent.
	alterAnswer func(*callerapi.SearchResponse)

	mu       sync.Mutex
	sequence int
	// permits maps a permit to the query that it was issued for.
	permits map[string]string
	answers map[string]callerapi.SearchResponse
}

func newFakeFleet(t *testing.T, entries int) *fakeFleet {
	f := &fakeFleet{permits: map[string]string{}, answers: map[string]callerapi.SearchResponse{}}
	f.settings.Callers = []Caller{
		{Name: "asan-buyer", Workspace: "asan-toolroom", Key: "asan-key"},
		{Name: "molina-counter", Workspace: "molina-shop", Key: "molina-key"},
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i+1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handle(w, r, id) }))
		t.Cleanup(server.Close)
		f.settings.Entries = append(f.settings.Entries, Entry{ID: id, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return f
}

func (f *fakeFleet) handle(w http.ResponseWriter, r *http.Request, entry string) {
	var request callerapi.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeRefusal(w, callerapi.ErrorResponse{Code: status.InvalidArgument, Outcome: status.NotRun})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	id := fmt.Sprintf("%s-%d", entry, f.sequence)
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	workspace := ""
	for _, c := range f.settings.Callers {
		if c.Key == key {
			workspace = c.Workspace
		}
	}
	refusal := callerapi.ErrorResponse{Outcome: status.NotRun, RequestID: id}
	issued, known := f.permits[request.Permit]
	remembered, replay := f.answers[request.Permit]
	switch {
	case workspace == "":
		refusal.Code = status.Unauthenticated
	case workspace == "molina-shop" && request.Service == "quote-desk-1":
		refusal.Code = status.PermissionDenied
	case request.Service == "drawing-vault" && request.Permit == "":
		refusal.Code, refusal.Permit = status.PermitRequired, "permit-"+id
		f.permits[refusal.Permit] = request.Query
	case request.Service == "drawing-vault" && (!known || issued != request.Query):
		refusal.Code = status.PermitInvalid
	case replay:
		remembered.Replayed = true
		f.writeAnswer(w, remembered)
		return
	default:
		if request.Permit != "" {
			entry = f.settings.Entries[0].ID
		}
		response := fakeResponse(id, entry, workspace, &request)
		if request.Permit != "" {
			f.answers[request.Permit] = response
		}
		f.writeAnswer(w, response)
		return
	}
	writeRefusal(w, refusal)
}

func fakeResponse(id, entry, workspace string, request *callerapi.SearchRequest) callerapi.SearchResponse {
	r := callerapi.SearchResponse{
		RequestID: id, Outcome: status.Done, Service: request.Service, Entry: entry, SheetRevision: 1,
		Snapshot: ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1},
		Coverage: callerapi.Coverage{Searched: []int{0, 1}, Ratio: 1, ContractMet: true},
	}
	if request.Permit != "" {
		r.Coverage = callerapi.Coverage{Searched: []int{0}, NotSearched: []callerapi.NotSearched{{Shard: 1, Reason: callerapi.ReasonNotNeeded}}, Ratio: 1, ContractMet: true}
	}
	for _, shard := range r.Coverage.Searched {
		for n, owner := range []string{"", "", workspace} {
			r.Results = append(r.Results, callerapi.Hit{Shard: shard, ID: hitID(&r, shard, owner, n, request.Query)})
		}
	}
	return r
}

func (f *fakeFleet) writeAnswer(w http.ResponseWriter, response callerapi.SearchResponse) {
	if f.alterAnswer != nil {
		f.alterAnswer(&response)
	}
	json.NewEncoder(w).Encode(response)
}

func writeRefusal(w http.ResponseWriter, refusal callerapi.ErrorResponse) {
	w.WriteHeader(status.HTTPStatus(refusal.Code))
	json.NewEncoder(w).Encode(refusal)
}
