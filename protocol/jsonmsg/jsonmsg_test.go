package jsonmsg_test

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/jsonmsg"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

const limit = 1 << 12

// decodeAndCompare guards against panics, untyped errors and values that do not survive a round
// trip through JSON.
func decodeAndCompare[T any](t *testing.T, data []byte) {
	v, err := jsonmsg.Decode[T](data, limit, jsonmsg.IgnoreUnknownFields)
	if err != nil {
		if code := status.CodeOf(err); code != status.InvalidArgument && (code != status.TooLarge || len(data) <= limit) {
			t.Fatalf("%T: got %v", v, err)
		}
		return
	}
	first, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("%T: encode: %v", v, err)
	}
	redecoded, err := jsonmsg.Decode[T](first, 1<<20, jsonmsg.RejectUnknownFields)
	if err != nil {
		t.Fatalf("%T: decode again: %v", v, err)
	}
	if second, err := json.Marshal(redecoded); err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("%T: %s became %s, %v", v, first, second, err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `[]`, `{} {}`, `{"service":"s","query":"q","deadline_ms":-1,"permit":"p"}`, `{"deadline_ms":1e400}`,
		`{"request_id":"r","attempt":4294967296}`, `{"shard":1,"snapshot":{"index_version":7},"hits":[{"id":"a","score":1e308,"body":{"x":[1]}}]}`,
		`{"code":"shed","not_run":true,"retry_after_ms":5}`, `{"revision":1,"services":[{"name":"s","snapshots":[{"index_version":1,"shards":[["a"],null]}]}]}`,
		`{"targets":[{"id":"t","slots":3}],"services":[{"repeat":{"rule":"at_most_once","window_s":60},"coverage":{"min_ratio":0.9}}]}`,
		strings.Repeat("[", limit), "\"\xff\"", strings.Repeat(" ", limit+1),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decodeAndCompare[callerapi.SearchRequest](t, data)
		decodeAndCompare[callerapi.SearchResponse](t, data)
		decodeAndCompare[callerapi.ErrorResponse](t, data)
		decodeAndCompare[targetapi.SearchRequest](t, data)
		decodeAndCompare[targetapi.SearchReply](t, data)
		decodeAndCompare[targetapi.Refusal](t, data)
		decodeAndCompare[targetapi.Status](t, data)
		decodeAndCompare[index.Document](t, data)
		decodeAndCompare[sheet.Sheet](t, data)
	})
}

// Guards against reading a message beyond its limit, and against accepting a message after a read
// error or with a misspelled field.
func TestReadIsBoundedAndTyped(t *testing.T) {
	is := is.New(t)
	endless := &countingReader{}
	_, err := jsonmsg.Read[sheet.Sheet](endless, limit, jsonmsg.IgnoreUnknownFields)
	is.Equal(status.CodeOf(err), status.TooLarge)
	is.Equal(endless.n, limit+1)
	_, err = jsonmsg.Read[sheet.Sheet](iotest.ErrReader(io.ErrUnexpectedEOF), limit, jsonmsg.IgnoreUnknownFields)
	is.Equal(status.CodeOf(err), status.ConnectionFailed)
	_, err = jsonmsg.Decode[sheet.Sheet]([]byte(`{"revison":1}`), limit, jsonmsg.RejectUnknownFields)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
	_, err = jsonmsg.Decode[sheet.Sheet]([]byte(`{} {}`), limit, jsonmsg.IgnoreUnknownFields)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
}

// countingReader returns blanks without end and counts the bytes read.
type countingReader struct{ n int }

func (r *countingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	r.n += len(p)
	return len(p), nil
}

func BenchmarkDecodeSearchRequest(b *testing.B) {
	data := []byte(`{"service":"vitrina-1","query":"mortero basalto 30 cm","deadline_ms":110}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := jsonmsg.Decode[callerapi.SearchRequest](data, limit, jsonmsg.IgnoreUnknownFields); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleRead() {
	r, err := jsonmsg.Read[callerapi.SearchRequest](strings.NewReader(`{"service":"despacho","query":"mortar 12"}`), limit, jsonmsg.IgnoreUnknownFields)
	fmt.Println(r.Service, r.Query, err)
	_, err = jsonmsg.Read[callerapi.SearchRequest](strings.NewReader(`{"service":`), limit, jsonmsg.IgnoreUnknownFields)
	fmt.Println(status.CodeOf(err))
	// Output:
	// despacho mortar 12 <nil>
	// invalid_argument
}
