// Package permit issues and checks the permits of at-most-once requests.
//
// A permit binds one request (caller, workspace, service and query) to the
// incarnation of the entry that issued it. Only that incarnation runs the
// request, so at most one run needs no agreement, shared clock or membership
// list. The design and its alternatives are in docs/policies/permit.md.
package permit

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// MaxNameLength is the longest entry id, caller, workspace or service name
	// that fits into a permit, in bytes.
	MaxNameLength = 256
	// MaxTokenLength is the longest permit that Verify reads, in bytes. Four
	// names of MaxNameLength take 1,820 bytes after both base64 encodings;
	// the other fields take less than 400.
	MaxTokenLength = 4096

	// keyContext separates the permit key from other uses of the same secret.
	keyContext = "balsamstall permit v1"
	separator  = "."
)

// Claims are the contents of a permit.
type Claims struct {
	// Issuer is the incarnation that issued the permit and alone may run it.
	Issuer ids.Incarnation
	// Entry is the id of the entry that issued the permit.
	Entry string
	// Sequence numbers the permits of one incarnation.
	Sequence uint64
	// IssuedAt is the time of issue on the issuer's monotonic clock, counted
	// from the start of its process.
	IssuedAt time.Duration
	// Window is the repeat window of the sheet at the time of issue. It is part
	// of the permit because a window that grows with a later sheet must not
	// make a permit valid again whose journal entry has expired.
	Window time.Duration
	// Caller, Workspace and Service name whom and what the permit is for.
	Caller, Workspace, Service string
	// QueryDigest is Digest of the query.
	QueryDigest [sha256.Size]byte
}

// Expires returns the time on the issuer's clock from which the permit is no
// longer valid. The journal keeps the outcome until this time.
func (c Claims) Expires() time.Duration { return c.IssuedAt + c.Window }

// Use describes the request that presents a permit.
type Use struct {
	Caller, Workspace, Service, Query string
}

// Digest returns the SHA-256 digest of a query.
func Digest(query string) [sha256.Size]byte { return sha256.Sum256([]byte(query)) }

// wireClaims is the JSON form of Claims. The names are byte slices because
// encoding/json replaces invalid UTF-8 in strings, which would let two names
// share a permit.
type wireClaims struct {
	Issuer    []byte `json:"i"`
	Entry     []byte `json:"e"`
	Sequence  uint64 `json:"n"`
	IssuedAt  int64  `json:"t"` // nanoseconds
	Window    int64  `json:"v"` // nanoseconds
	Caller    []byte `json:"c"`
	Workspace []byte `json:"w"`
	Service   []byte `json:"s"`
	Query     []byte `json:"q"`
}

// Signer issues and verifies permits with one secret key. It is immutable and
// safe for concurrent use.
type Signer struct {
	key []byte
}

// NewSigner returns a signer whose HMAC key is derived from key. All entries of
// a fleet use the same key. The settings check the key's length.
func NewSigner(key []byte) *Signer {
	return &Signer{key: sum(key, []byte(keyContext))}
}

// Issue returns the permit for c as base64 URL text. Names longer than
// MaxNameLength give a permit that Verify refuses.
func (s *Signer) Issue(c Claims) string {
	payload, err := json.Marshal(wireClaims{
		Issuer:    c.Issuer[:],
		Entry:     []byte(c.Entry),
		Sequence:  c.Sequence,
		IssuedAt:  int64(c.IssuedAt),
		Window:    int64(c.Window),
		Caller:    []byte(c.Caller),
		Workspace: []byte(c.Workspace),
		Service:   []byte(c.Service),
		Query:     c.QueryDigest[:],
	})
	if err != nil {
		// Numbers and byte slices always encode.
		panic(status.Wrap(err, status.Internal, status.NotRun, "encode permit"))
	}
	return encode(payload) + separator + encode(sum(s.key, payload))
}

// Verify returns the claims of token when this fleet issued it for use. Every
// error is a *status.Error with the code PermitInvalid and the outcome NotRun:
// a forged or foreign permit never runs. The age is judged by Judge.
func (s *Signer) Verify(token string, use Use) (Claims, error) {
	if len(token) > MaxTokenLength {
		return Claims{}, invalid("it has %d bytes, and %d are allowed", len(token), MaxTokenLength)
	}
	payloadText, macText, ok := strings.Cut(token, separator)
	if !ok {
		return Claims{}, invalid("it has no signature")
	}
	payload, err := decode(payloadText)
	if err != nil {
		return Claims{}, invalidCause(err, "its claims are not base64 URL text")
	}
	mac, err := decode(macText)
	if err != nil {
		return Claims{}, invalidCause(err, "its signature is not base64 URL text")
	}
	if !hmac.Equal(mac, sum(s.key, payload)) {
		return Claims{}, invalid("its signature does not match")
	}
	claims, err := parse(payload)
	if err != nil {
		return Claims{}, err
	}
	digest := Digest(use.Query)
	same := subtle.ConstantTimeCompare([]byte(claims.Caller), []byte(use.Caller)) &
		subtle.ConstantTimeCompare([]byte(claims.Workspace), []byte(use.Workspace)) &
		subtle.ConstantTimeCompare([]byte(claims.Service), []byte(use.Service)) &
		subtle.ConstantTimeCompare(claims.QueryDigest[:], digest[:])
	if same != 1 {
		return Claims{}, invalid("it was issued for another request")
	}
	return claims, nil
}

func parse(payload []byte) (Claims, error) {
	var w wireClaims
	dec := json.NewDecoder(bytes.NewReader(payload))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return Claims{}, invalidCause(err, "its claims are malformed")
	}
	if _, err := dec.Token(); err != io.EOF {
		return Claims{}, invalid("data follows its claims")
	}
	if len(w.Issuer) != ids.IncarnationSize || len(w.Query) != sha256.Size {
		return Claims{}, invalid("its issuer or its query digest has a wrong length")
	}
	if w.IssuedAt < 0 || w.Window < 0 || w.IssuedAt+w.Window < 0 {
		return Claims{}, invalid("its time of issue or its window is out of range")
	}
	c := Claims{
		Issuer:      ids.Incarnation(w.Issuer),
		Entry:       string(w.Entry),
		Sequence:    w.Sequence,
		IssuedAt:    time.Duration(w.IssuedAt),
		Window:      time.Duration(w.Window),
		Caller:      string(w.Caller),
		Workspace:   string(w.Workspace),
		Service:     string(w.Service),
		QueryDigest: [sha256.Size]byte(w.Query),
	}
	for _, name := range []string{c.Entry, c.Caller, c.Workspace, c.Service} {
		if len(name) > MaxNameLength {
			return Claims{}, invalid("a name in it has %d bytes, and %d are allowed", len(name), MaxNameLength)
		}
	}
	return c, nil
}

// Verdict says what the entry that receives a verified permit does with it.
type Verdict int

// Verdicts.
const (
	// Expired means that the permit's window has passed. Its outcome may have
	// been forgotten, so it must not run.
	Expired Verdict = iota
	// Run means that this incarnation issued the permit and consults its journal.
	Run
	// Forward means that the request goes to the entry named in the claims.
	Forward
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Forward:
		return "forward"
	default:
		return "expired"
	}
}

// Judge decides about verified claims. The time now is on the monotonic clock
// of self, counted from its start. The window is the repeat window of the sheet
// in force; a window shorter than the permit's own takes effect at once, and a
// longer one does not extend the permit. Only the issuer judges the age,
// because another process has another clock.
func Judge(c Claims, self ids.Incarnation, now, window time.Duration) Verdict {
	if c.Issuer != self {
		return Forward
	}
	age := now - c.IssuedAt
	if age < 0 || age >= min(c.Window, window) {
		return Expired
	}
	return Run
}

func sum(key, message []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(message)
	return h.Sum(nil)
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// decode accepts only the canonical encoding, so that one permit has one text.
func decode(s string) ([]byte, error) {
	if strings.ContainsAny(s, "\r\n") {
		// The base64 package skips line breaks.
		return nil, base64.CorruptInputError(strings.IndexAny(s, "\r\n"))
	}
	return base64.RawURLEncoding.Strict().DecodeString(s)
}

func invalid(format string, args ...any) error {
	return status.New(status.PermitInvalid, status.NotRun, "permit refused: "+format, args...)
}

func invalidCause(cause error, format string, args ...any) error {
	return status.Wrap(cause, status.PermitInvalid, status.NotRun, "permit refused: "+format, args...)
}
