package sheet

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/document"
)

func demoSheet(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/demo/sheet.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a demo sheet that entries reject.
func TestParseAcceptsTheDemoSheet(t *testing.T) {
	is := is.New(t)
	s, err := Parse(demoSheet(t))
	is.NoErr(err)
	is.Equal(len(s.Services), 4)
}

// Guards against a check that stops at the first fault or reports the wrong path.
func TestCheckNamesEveryFault(t *testing.T) {
	is := is.New(t)
	var s Sheet
	is.NoErr(json.Unmarshal(demoSheet(t), &s))
	s.Revision = 0
	s.Date = "4 December"
	s.Workspaces[1].Name = s.Workspaces[0].Name
	s.Callers[0].KeyDigest = "demo-key"
	s.Callers[1].Workspace = "nobody"
	s.Callers[0].Services[1] = "no-such-service"
	s.Targets[0].Address = "localhost:17101"
	s.Targets[1].ID = s.Targets[2].ID
	s.Targets[2].Slots = 0
	s.Services[0].Priority = 10
	s.Services[1].Latency.MaxDeadlineMS = 50
	s.Services[1].Coverage.MinRatio = 1.5
	s.Services[2].Repeat.WindowS = 5
	s.Services[3].Repeat.WindowS = 0
	s.Services[3].Hedge.BudgetRatio = 0.1

	var paths []string
	for _, f := range s.Check() {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{
		"revision", "date", "workspaces[1].name",
		"callers[0].key_digest", "callers[0].services[1]", "callers[1].workspace",
		"targets[0].address", "targets[2].id", "targets[2].slots",
		"services[0].priority", "services[1].latency.max_deadline_ms", "services[1].coverage.min_ratio",
		"services[2].repeat.window_s", "services[3].repeat.window_s", "services[3].hedge.budget_ratio",
	})
}

// Guards against exposing a caller's key that was entered in place of its digest.
func TestCheckHidesTheKeyDigest(t *testing.T) {
	is := is.New(t)
	s := Sheet{Callers: []Caller{{Name: "c", KeyDigest: "a-real-key"}}}
	for _, f := range s.Check() {
		is.True(f.Value != `"a-real-key"`)
	}
}

// Guards against a digest that differs from the digest of the entries for the same sheet. The
// platform publishes the sheet in compact form.
func TestDigestIgnoresWhiteSpace(t *testing.T) {
	is := is.New(t)
	var compact bytes.Buffer
	is.NoErr(json.Compact(&compact, demoSheet(t)))
	is.Equal(Digest(demoSheet(t)), Digest(compact.Bytes()))
	is.True(Digest([]byte(`{"revision":1}`)) != Digest([]byte(`{"revision":2}`)))
}

// Guards against accepting misspelled fields, oversized documents and trailing data, and against
// untyped errors.
func TestParseRefusesFaultyDocuments(t *testing.T) {
	good := demoSheet(t)
	for name, data := range map[string][]byte{
		"unknown field": bytes.Replace(good, []byte(`"slots"`), []byte(`"slot"`), 1),
		"wrong type":    bytes.Replace(good, []byte(`"revision": 1`), []byte(`"revision": "1"`), 1),
		"trailing data": append(bytes.Clone(good), "{}"...),
		"too large":     append(bytes.Clone(good), bytes.Repeat([]byte(" "), document.MaxSize)...),
		"empty":         nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(data)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(len(e.Faults), 1)
		})
	}
}
