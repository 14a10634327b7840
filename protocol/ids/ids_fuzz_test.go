package ids_test

import (
	"testing"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// FuzzParse guards against panics, untyped errors and identifiers that do not survive a round trip
// through String and the parser.
func FuzzParse(f *testing.F) {
	valid := ids.Request{Incarnation: ids.Incarnation{0xab, 15: 1}, Sequence: 1<<64 - 1}.String()
	for _, seed := range []string{"", "-", valid, valid + "0", valid[1:], "\xff" + valid[1:], valid[:33] + "+1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		inc, err := ids.ParseIncarnation(text)
		if err != nil && status.CodeOf(err) != status.InvalidArgument {
			t.Fatalf("incarnation %q: got %v", text, err)
		}
		if reparsed, err2 := ids.ParseIncarnation(inc.String()); err == nil && (err2 != nil || reparsed != inc) {
			t.Fatalf("incarnation %q became %v, %v", text, reparsed, err2)
		}
		req, err := ids.ParseRequest(text)
		if err != nil && status.CodeOf(err) != status.InvalidArgument {
			t.Fatalf("request %q: got %v", text, err)
		}
		if reparsed, err2 := ids.ParseRequest(req.String()); err == nil && (err2 != nil || reparsed != req) {
			t.Fatalf("request %q became %v, %v", text, reparsed, err2)
		}
	})
}
