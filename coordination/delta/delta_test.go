package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func mustParse(t interface{ Fatal(...any) }, data string) *Document {
	doc, err := New([]byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func Example() {
	base, _ := New([]byte(`{"revision": 1, "services": [{"name":"a"}, {"name":"b"}, {"name":"c"}]}`))
	target, _ := New([]byte(`{"revision": 2, "services": [{"name":"a"}, {"name":"b2"}, {"name":"c"}]}`))
	change := Diff(base, target)
	for _, run := range change.Fields[1].Runs {
		fmt.Printf("from %d, count %d, new %s\n", run.From, run.Count, run.Elements)
	}
	result, err := Apply(base, change, target.Digest())
	fmt.Println(string(result.Bytes()), err)
	// Output:
	// from 0, count 1, new [{"name":"b2"}]
	// from 2, count 1, new []
	// {"revision":2,"services":[{"name":"a"},{"name":"b2"},{"name":"c"}]} <nil>
}

// drawObject draws a JSON object with scalars, objects, arrays, and strings that contain JSON syntax
// characters.
func drawObject(t *rapid.T, label string) string {
	value := rapid.SampledFrom([]string{`1`, `-2.5e3`, `"a,]}\"[{:"`, `"\\"`, `""`, `null`, `true`, `{"x":[1,{"y":"]"}]}`, `[]`, `{}`, `["[",[2]]`})
	array := rapid.Custom(func(t *rapid.T) string {
		return "[" + strings.Join(rapid.SliceOfN(value, 0, 6).Draw(t, "elements"), " , ") + "]"
	})
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", `c\"`, "d", ""}), 0, 5, rapid.ID).Draw(t, label)
	fields := make([]string, len(names))
	for i, name := range names {
		fields[i] = `"` + name + `" : ` + rapid.OneOf(value, array).Draw(t, "value")
	}
	return "{" + strings.Join(fields, ", ") + "}"
}

// Guards against a delta that does not reproduce the target after it was encoded and decoded, and
// against results that cannot serve as the next base.
func TestApplyReproducesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		base := mustParse(t, drawObject(t, "base"))
		target := mustParse(t, drawObject(t, "target"))
		encoded, err := proto.Marshal(Diff(base, target))
		is.NoErr(err)
		var change peerpb.Delta
		is.NoErr(proto.Unmarshal(encoded, &change))
		result, err := Apply(base, &change, target.Digest())
		is.NoErr(err)
		is.Equal(result.Bytes(), target.Bytes())
		is.Equal(result.Digest(), target.Digest())
		is.Equal(fmt.Sprint(result.fields), fmt.Sprint(target.fields)) // The next delta is based on the parts.
	})
}

// Guards against a wrong document or a panic when a corrupted delta is applied, or a delta is applied
// to the wrong base.
func TestMismatchedDeltaIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, other := mustParse(t, drawObject(t, "base")), mustParse(t, drawObject(t, "other"))
		target := mustParse(t, drawObject(t, "target"))
		change := Diff(base, target)
		for _, f := range change.Fields {
			for _, run := range f.Runs {
				run.From += rapid.Uint32Range(0, 1).Draw(t, "shift")
				run.Count += rapid.SampledFrom([]uint32{0, 0, 1, 1 << 31}).Draw(t, "growth")
			}
		}
		result, err := Apply(other, change, target.Digest())
		if err == nil && !bytes.Equal(result.Bytes(), target.Bytes()) {
			t.Fatal("result has the digest of the target and other bytes")
		}
	})
}

// Guards against a small delta with a result of unbounded size.
func TestExpandingDeltaIsRefused(t *testing.T) {
	is := is.New(t)
	base := mustParse(t, `{"a":["`+strings.Repeat("x", document.MaxSize/2)+`"]}`)
	run := &peerpb.DeltaRun{Count: 1}
	change := &peerpb.Delta{Fields: []*peerpb.DeltaField{{Name: []byte(`"a"`), Array: true, Runs: []*peerpb.DeltaRun{run, run, run}}}}
	_, err := Apply(base, change, base.Digest())
	is.Equal(status.CodeOf(err), status.TooLarge)
}

// Guards against a panic on malformed documents.
func TestMalformedDocumentsAreRefused(t *testing.T) {
	for _, data := range []string{``, `{`, `[]`, `7`, `{"a":}`, `{"a":1}{}`} {
		_, err := New([]byte(data))
		is.New(t).Equal(status.CodeOf(err), status.InvalidArgument)
	}
}

// BenchmarkApply measures the cost at the receiver, including the digest, of one changed element
// among n elements of about 280 bytes. BenchmarkChange in internal/configsync measures complete
// changes of sheets.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{35, 350, 3500} {
		elements := make([]string, n)
		for i := range elements {
			elements[i] = fmt.Sprintf(`{"name":"service-%d","text":"%s"}`, i, strings.Repeat("x", 250))
		}
		base := mustParse(b, `{"services":[`+strings.Join(elements, ",")+`]}`)
		elements[n/2] = `{"name":"changed"}`
		target := mustParse(b, `{"services":[`+strings.Join(elements, ",")+`]}`)
		change := Diff(base, target)
		b.Run(fmt.Sprintf("elements=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Apply(base, change, target.Digest()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
