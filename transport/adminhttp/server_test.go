package adminhttp

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

type fakeEntry struct{ drained bool }

func (*fakeEntry) Ready() bool    { return true }
func (*fakeEntry) Status() any    { return struct{}{} }
func (*fakeEntry) Audit() any     { return struct{}{} }
func (f *fakeEntry) Drain(string) { f.drained = true }

// Guards against accepting an admin key without the Bearer scheme, or with another scheme.
func TestAdminKeyRequiresBearerScheme(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	entry := &fakeEntry{}
	srv := NewServer(lis, entry, "admin-key")
	for authorization, want := range map[string]int{
		"":                   http.StatusUnauthorized,
		"admin-key":          http.StatusUnauthorized,
		"Basic admin-key":    http.StatusUnauthorized,
		"Bearer":             http.StatusUnauthorized,
		"Bearer  admin-key":  http.StatusUnauthorized,
		"Bearer admin-key x": http.StatusUnauthorized,
		"Bearer admin-key":   http.StatusAccepted,
	} {
		entry.drained = false
		req := httptest.NewRequest(http.MethodPost, "/drain", nil)
		req.Header.Set("Authorization", authorization)
		rec := httptest.NewRecorder()
		srv.ServeHTTP(rec, req)
		is.Equal(rec.Code, want) // authorization
		is.Equal(entry.drained, want == http.StatusAccepted)
	}
}
