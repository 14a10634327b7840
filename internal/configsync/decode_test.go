package configsync

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

// drawSheet returns a random sheet in which elements often repeat, and often move or differ in one
// field between two draws.
func drawSheet(t *rapid.T, label string) *sheet.Sheet {
	name := rapid.SampledFrom([]string{"a", "b", "c", `"]},`})
	s := &sheet.Sheet{Revision: rapid.Uint64Range(1, 3).Draw(t, label), Date: name.Draw(t, "date")}
	for range rapid.IntRange(0, 4).Draw(t, "services") {
		s.Services = append(s.Services, sheet.Service{Name: name.Draw(t, "service"), Priority: rapid.IntRange(0, 1).Draw(t, "priority")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "callers") {
		s.Callers = append(s.Callers, sheet.Caller{Name: name.Draw(t, "caller"), Services: rapid.SliceOfN(name, 0, 2).Draw(t, "allowed")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "targets") {
		s.Targets = append(s.Targets, sheet.Target{ID: name.Draw(t, "target")})
	}
	return s
}

// Guards against a sheet that differs from the published one because its unchanged parts were
// copied from the wrong position.
func TestDecodeChangedEqualsFullDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		content := func(s *sheet.Sheet) *delta.Document {
			data, err := json.Marshal(s)
			is.NoErr(err)
			c, err := delta.New(data)
			is.NoErr(err)
			return c
		}
		old, want := drawSheet(t, "old"), drawSheet(t, "new")
		value, ok := decodeChanged(platformapi.SheetKey, &documents.Document{Content: content(old), Value: old}, content(want))
		// A sheet with an array that is null on one side is decoded in full.
		arrays := func(s *sheet.Sheet) bool { return s.Services != nil && s.Callers != nil && s.Targets != nil }
		is.True(ok || !arrays(old) || !arrays(want))
		if ok {
			is.Equal(string(content(value.(*sheet.Sheet)).Bytes()), string(content(want).Bytes()))
		}
	})
}

// Guards against accepting a change that full decoding would refuse.
func TestDecodeChangedIsStrict(t *testing.T) {
	old := &sheet.Sheet{Revision: 1, Services: []sheet.Service{{Name: "a"}}}
	base, err := delta.New([]byte(`{"revision":1,"services":[{"name":"a"}]}`))
	is.New(t).NoErr(err)
	for _, data := range []string{
		`{"revision":2,"services":[{"name":"a"},{"unknown":1}]}`,
		`{"revision":2,"services":[{"name":7}]}`,
		`{"revision":2,"unknown":[]}`,
		`{"revision":2,"Services":[{"name":"b"}]}`,
		`{"revision":2,"services":[],"services":[]}`,
	} {
		content, err := delta.New([]byte(data))
		is.New(t).NoErr(err)
		_, ok := decodeChanged(platformapi.SheetKey, &documents.Document{Content: base, Value: old}, content)
		is.New(t).True(!ok)
	}
}
