package delta

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func document(t interface{ Fatal(...any) }, data string) *Document {
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

// drawObject returns a JSON object with scalars, objects, arrays and strings
// that contain the characters of the syntax.
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

// Guards against a delta whose result differs from the target, also after it
// was encoded, and against results that cannot serve as the next base.
func TestApplyGivesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		base := document(t, drawObject(t, "base"))
		target := document(t, drawObject(t, "target"))
		encoded, err := proto.Marshal(Diff(base, target))
		is.NoErr(err)
		var change peerpb.Delta
		is.NoErr(proto.Unmarshal(encoded, &change))
		result, err := Apply(base, &change, target.Digest())
		is.NoErr(err)
		is.Equal(result.Bytes(), target.Bytes())
		is.Equal(result.Digest(), target.Digest())
		is.Equal(fmt.Sprint(result.fields), fmt.Sprint(target.fields)) // The parts, from which the next delta starts.
	})
}

// Guards against a delta that is applied to another base, or is damaged, and
// still puts a document in force, or stops the program.
func TestUnfitDeltaIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, other := document(t, drawObject(t, "base")), document(t, drawObject(t, "other"))
		target := document(t, drawObject(t, "target"))
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

// Guards against a small delta that expands without bound.
func TestExpandingDeltaIsRefused(t *testing.T) {
	is := is.New(t)
	base := document(t, `{"a":["`+strings.Repeat("x", MaxBytes/2)+`"]}`)
	run := &peerpb.DeltaRun{Count: 1}
	change := &peerpb.Delta{Fields: []*peerpb.DeltaField{{Name: []byte(`"a"`), Array: true, Runs: []*peerpb.DeltaRun{run, run, run}}}}
	_, err := Apply(base, change, base.Digest())
	is.Equal(status.CodeOf(err), status.TooLarge)
}

// Guards against faulty documents that stop the program.
func TestFaultyDocumentsAreRefused(t *testing.T) {
	for _, data := range []string{``, `{`, `[]`, `7`, `{"a":}`, `{"a":1}{}`} {
		_, err := New([]byte(data))
		is.New(t).Equal(status.CodeOf(err), status.InvalidArgument)
	}
}

// Sizes of the sheets in the benchmarks. Today's services have 3 targets each.
// A sheet of 3,500 such services would exceed 1 MB, so its targets are fewer.
var sheetSizes = []struct{ services, targets int }{{35, 105}, {350, 1050}, {3500, 600}}

func benchSheet(services, targets int) *sheet.Sheet {
	s := &sheet.Sheet{Revision: 41, Date: "2026-12-04", Workspaces: []sheet.Workspace{{Name: "w1"}}}
	for i := range services {
		s.Services = append(s.Services, sheet.Service{
			Name: fmt.Sprintf("quote-%04d", i), Group: "quote-desk", Priority: 1 + i%9,
			Latency:  sheet.Latency{ContractMS: 110, MaxDeadlineMS: 400},
			Coverage: sheet.Coverage{MinRatio: 0.95}, Repeat: sheet.Repeat{Rule: sheet.Idempotent},
			Limits: sheet.Limits{MaxConcurrency: 64, MaxQueue: 128, MaxFanout: 68}, Hedge: sheet.Hedge{BudgetRatio: 0.05},
		})
	}
	for i := range targets {
		s.Targets = append(s.Targets, sheet.Target{ID: fmt.Sprintf("t%05d", i), Zone: fmt.Sprintf("z%d", i%18),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Slots: 3, MaxConnections: 30})
	}
	return s
}

// benchPair returns a sheet and the same sheet with one service changed.
func benchPair(b *testing.B, services, targets int) (base, target *Document) {
	s := benchSheet(services, targets)
	encode := func() *Document {
		data, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		return document(b, string(data))
	}
	base = encode()
	s.Revision++
	s.Services[services/2].Limits.MaxConcurrency++
	return base, encode()
}

func deflatedSize(b *testing.B, data []byte) int {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err != nil || w.Close() != nil {
		b.Fatal("compression failed")
	}
	return out.Len()
}

func forSheets(b *testing.B, run func(b *testing.B, base, target *Document)) {
	for _, size := range sheetSizes {
		base, target := benchPair(b, size.services, size.targets)
		b.Run(fmt.Sprintf("services=%d", size.services), func(b *testing.B) {
			b.ReportAllocs()
			run(b, base, target)
		})
	}
}

// BenchmarkNew is the cost of splitting a whole document.
func BenchmarkNew(b *testing.B) {
	forSheets(b, func(b *testing.B, _, target *Document) {
		for b.Loop() {
			if _, err := New(target.Bytes()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(target.Bytes())), "whole-bytes")
		b.ReportMetric(float64(deflatedSize(b, target.Bytes())), "whole-deflated-bytes")
	})
}

// BenchmarkDiff is the cost of a delta at the sender, which keeps the result.
func BenchmarkDiff(b *testing.B) {
	forSheets(b, func(b *testing.B, base, target *Document) {
		size := 0
		for b.Loop() {
			encoded, err := proto.Marshal(Diff(base, target))
			if err != nil {
				b.Fatal(err)
			}
			size = len(encoded)
		}
		b.ReportMetric(float64(size), "delta-bytes")
	})
}

// BenchmarkApply is the cost of a delta at the receiver, with the digest.
func BenchmarkApply(b *testing.B) {
	forSheets(b, func(b *testing.B, base, target *Document) {
		change := Diff(base, target)
		for b.Loop() {
			if _, err := Apply(base, change, target.Digest()); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkParse is the cost of decoding the typed sheet at every acceptance.
func BenchmarkParse(b *testing.B) {
	forSheets(b, func(b *testing.B, _, target *Document) {
		for b.Loop() {
			var s sheet.Sheet
			if err := json.NewDecoder(io.LimitReader(bytes.NewReader(target.Bytes()), MaxBytes)).Decode(&s); err != nil {
				b.Fatal(err)
			}
		}
	})
}
