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

// decodeAndCompare guards against a crash, an error without a type, and a value
// that changes when it is encoded and decoded again.
func decodeAndCompare[T any](t *testing.T, data []byte) {
	v, err := jsonmsg.Decode[T](data, limit, jsonmsg.Ignore)
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
	again, err := jsonmsg.Decode[T](first, 1<<20, jsonmsg.Refuse)
	if err != nil {
		t.Fatalf("%T: decode again: %v", v, err)
	}
	if second, err := json.Marshal(again); err != nil || !reflect.DeepEqual(first, second) {
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

// Guards against a message that is read beyond its limit, and against a read
// error or a misspelt field that passes as a message.
func TestReadIsBoundedAndTyped(t *testing.T) {
	is := is.New(t)
	endless := &countingReader{}
	_, err := jsonmsg.Read[sheet.Sheet](endless, limit, jsonmsg.Ignore)
	is.Equal(status.CodeOf(err), status.TooLarge)
	is.Equal(endless.n, limit+1)
	_, err = jsonmsg.Read[sheet.Sheet](iotest.ErrReader(io.ErrUnexpectedEOF), limit, jsonmsg.Ignore)
	is.Equal(status.CodeOf(err), status.ConnectionFailed)
	_, err = jsonmsg.Decode[sheet.Sheet]([]byte(`{"revison":1}`), limit, jsonmsg.Refuse)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
	_, err = jsonmsg.Decode[sheet.Sheet]([]byte(`{} {}`), limit, jsonmsg.Ignore)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
}

// countingReader is an endless blank message.
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
		if _, err := jsonmsg.Decode[callerapi.SearchRequest](data, limit, jsonmsg.Ignore); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleRead() {
	r, err := jsonmsg.Read[callerapi.SearchRequest](strings.NewReader(`{"service":"despacho","query":"mortar 12"}`), limit, jsonmsg.Ignore)
	fmt.Println(r.Service, r.Query, err)
	_, err = jsonmsg.Read[callerapi.SearchRequest](strings.NewReader(`{"service":`), limit, jsonmsg.Ignore)
	fmt.Println(status.CodeOf(err))
	// Output:
	// despacho mortar 12 <nil>
	// invalid_argument
}
