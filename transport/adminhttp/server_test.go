package adminhttp

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

type fakeOperator struct{ drained bool }

func (*fakeOperator) Ready() bool    { return true }
func (*fakeOperator) Status() any    { return struct{}{} }
func (*fakeOperator) Audit() any     { return struct{}{} }
func (f *fakeOperator) Drain(string) { f.drained = true }

// Guards against an admin key that is accepted without the scheme Bearer, or
// with another one.
func TestAdminKeyNeedsTheSchemeBearer(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	op := &fakeOperator{}
	srv := NewServer(lis, op, "admin-key")
	for authorization, want := range map[string]int{
		"":                   http.StatusUnauthorized,
		"admin-key":          http.StatusUnauthorized,
		"Basic admin-key":    http.StatusUnauthorized,
		"Bearer":             http.StatusUnauthorized,
		"Bearer  admin-key":  http.StatusUnauthorized,
		"Bearer admin-key x": http.StatusUnauthorized,
		"Bearer admin-key":   http.StatusAccepted,
	} {
		op.drained = false
		req := httptest.NewRequest(http.MethodPost, "/drain", nil)
		req.Header.Set("Authorization", authorization)
		reply := httptest.NewRecorder()
		srv.ServeHTTP(reply, req)
		is.Equal(reply.Code, want) // authorization
		is.Equal(op.drained, want == http.StatusAccepted)
	}
}
