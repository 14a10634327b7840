package document

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against duplicate keys, from which two readers can see different values, and against
// rejecting equal keys in different objects.
func TestDuplicateKeysAreNamed(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{
		`{"a":1,"a":2}`:                         "a",
		`{"a":1,"A":2}`:                         "A",
		`{"s":[{"n":1},{"n":1,"x":{},"n":2}]}`:  "s[1].n",
		`{"a":{"b":{"c":1,"c":1}}}`:             "a.b.c",
		`{"a":{"b":1},"c":{"b":1},"d":[1,"a"]}`: "",
		`[1,[2,{"a":"a"}]]`:                     "",
		`{"a":1,`:                               "",
		`not JSON`:                              "",
	} {
		path, found := DuplicateKey([]byte(text))
		is.Equal(path, want) // text
		is.Equal(found, want != "")
	}
}

// Guards against accepting a document with a duplicate key.
func TestDecodeRefusesDuplicateKeys(t *testing.T) {
	is := is.New(t)
	var dst struct{ A int }
	err := Decode("sheet", []byte(`{"A":1,"A":2}`), &dst)
	is.True(err != nil)
	is.Equal(err.(*Error).Faults[0].Path, "A")
}

// FuzzDuplicateKey guards against input that panics the scanner.
func FuzzDuplicateKey(f *testing.F) {
	f.Add([]byte(`{"a":[{"b":1,"b":2}]}`))
	f.Add([]byte(`{"a":`))
	f.Add([]byte(`]`))
	f.Fuzz(func(t *testing.T, data []byte) { DuplicateKey(data) })
}
