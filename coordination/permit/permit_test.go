package permit_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/permit"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

func drawClaims(t *rapid.T, req permit.Request) permit.Claims {
	return permit.Claims{
		Issuer:   ids.Incarnation(rapid.SliceOfN(rapid.Byte(), ids.IncarnationSize, ids.IncarnationSize).Draw(t, "issuer")),
		Entry:    rapid.StringN(0, 8, 32).Draw(t, "entry"),
		Sequence: rapid.Uint64().Draw(t, "sequence"),
		IssuedAt: time.Duration(rapid.Int64Range(0, 1<<61).Draw(t, "issued")),
		Window:   time.Duration(rapid.Int64Range(0, 1<<61).Draw(t, "window")),
		Caller:   req.Caller, Workspace: req.Workspace, Service: req.Service,
		QueryDigest: permit.Digest(req.Query),
	}
}

func drawRequest(t *rapid.T) permit.Request {
	// \xff is invalid UTF-8, which a JSON string would replace by \ufffd.
	name := rapid.SampledFrom([]string{"", "a", "ab", "b", "\xff", "\ufffd", strings.Repeat("x", permit.MaxNameLength)})
	return permit.Request{Caller: name.Draw(t, "caller"), Workspace: name.Draw(t, "workspace"), Service: name.Draw(t, "service"), Query: name.Draw(t, "query")}
}

func requireInvalid(t interface{ Fatalf(string, ...any) }, err error) {
	var e *status.Error
	if !errors.As(err, &e) || e.Code != status.PermitInvalid || e.Outcome != status.NotRun {
		t.Fatalf("got %v instead of permit_invalid, not run", err)
	}
}

// Guards against claims that change in encoding, and against a permit that is valid for
// another caller, workspace, service or query, or with another key.
func TestPermitIsValidForItsRequestOnly(t *testing.T) {
	signer, foreign := permit.NewSigner([]byte("key")), permit.NewSigner([]byte("other key"))
	rapid.Check(t, func(t *rapid.T) {
		req, other := drawRequest(t), drawRequest(t)
		claims := drawClaims(t, req)
		token := signer.Issue(claims)
		got, err := signer.Verify(token, req)
		if err != nil || got != claims {
			t.Fatalf("got %+v, %v instead of %+v", got, err, claims)
		}
		if _, err := signer.Verify(token, other); req != other {
			requireInvalid(t, err)
		}
		_, err = foreign.Verify(token, req)
		requireInvalid(t, err)
		i := rapid.IntRange(0, len(token)-1).Draw(t, "changed byte")
		changed := token[:i] + string(token[i]^byte(rapid.IntRange(1, 255).Draw(t, "change"))) + token[i+1:]
		_, err = signer.Verify(changed, req)
		requireInvalid(t, err)
	})
}

// Guards against a run by another incarnation, and against a run after the journal may
// have dropped the outcome, also when a later sheet sets another window.
func TestDecideRunsOnlyAtIssuerWithinWindow(t *testing.T) {
	is := is.New(t)
	c := permit.Claims{Issuer: ids.Incarnation{1}, IssuedAt: 10 * time.Second, Window: time.Minute}
	is.Equal(permit.Decide(c, ids.Incarnation{2}, 20*time.Second, time.Minute), permit.Forward)
	is.Equal(permit.Decide(c, c.Issuer, 10*time.Second, time.Minute), permit.Run)
	is.Equal(permit.Decide(c, c.Issuer, c.Expires()-1, time.Minute), permit.Run)
	is.Equal(permit.Decide(c, c.Issuer, c.Expires(), time.Hour), permit.Expired)
	is.Equal(permit.Decide(c, c.Issuer, 41*time.Second, 30*time.Second), permit.Expired)
	is.Equal(permit.Decide(c, c.Issuer, 9*time.Second, time.Minute), permit.Expired)
}

func FuzzVerify(f *testing.F) {
	signer, req := permit.NewSigner([]byte("key")), permit.Request{Caller: "c", Workspace: "w", Service: "s", Query: "q"}
	valid := signer.Issue(permit.Claims{Caller: "c", Workspace: "w", Service: "s", QueryDigest: permit.Digest("q")})
	// The last character of an encoded signature has two unused bits, so alias differs
	// from valid only in these.
	alias := valid[:len(valid)-1] + string(valid[len(valid)-1]+1)
	for _, seed := range []string{"", ".", valid, alias, valid + "\n", strings.Repeat("A", permit.MaxTokenLength+1)} {
		f.Add(seed, []byte(`{"i":"","q":"`+strings.Repeat("A", 43)+`="}`))
	}
	// A token that is too long must be rejected even when its signature is valid.
	f.Add("", append(bytes.Repeat([]byte(" "), permit.MaxTokenLength), permit.PayloadForTest(valid)...))
	f.Fuzz(func(t *testing.T, token string, payload []byte) {
		if _, err := signer.Verify(token, req); err != nil {
			requireInvalid(t, err)
		} else if token != valid {
			t.Fatalf("forged permit %q accepted", token)
		}
		// A valid signature lets any payload reach the decoder of the claims.
		signed := permit.SignForTest(signer, payload)
		if _, err := signer.Verify(signed, req); err != nil || len(signed) > permit.MaxTokenLength {
			requireInvalid(t, err)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	signer := permit.NewSigner([]byte("key"))
	req := permit.Request{Caller: "member-7", Workspace: "toolroom-7", Service: "drawing-vault", Query: "drawing 8814"}
	token := signer.Issue(permit.Claims{Entry: "entry-1", Caller: req.Caller, Workspace: req.Workspace, Service: req.Service, QueryDigest: permit.Digest(req.Query)})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := signer.Verify(token, req); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleSigner() {
	signer := permit.NewSigner([]byte("a secret that all entries share"))
	self := ids.Incarnation{1}
	token := signer.Issue(permit.Claims{
		Issuer: self, Entry: "entry-1", Sequence: 7, IssuedAt: time.Second, Window: time.Minute,
		Caller: "agent-2", Workspace: "shop", Service: "despacho", QueryDigest: permit.Digest("reserve mortar 12"),
	})
	claims, err := signer.Verify(token, permit.Request{Caller: "agent-2", Workspace: "shop", Service: "despacho", Query: "reserve mortar 12"})
	fmt.Println(claims.Sequence, err, permit.Decide(claims, self, 2*time.Second, time.Minute))
	_, err = signer.Verify(token, permit.Request{Caller: "agent-2", Workspace: "shop", Service: "despacho", Query: "reserve mortar 13"})
	fmt.Println(err)
	// Output:
	// 7 <nil> run
	// permit_invalid: permit rejected: issued for another request
}
