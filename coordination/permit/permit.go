// Package permit issues and verifies the permits of at-most-once requests.
//
// A permit binds one request (caller, workspace, service and query) to the
// incarnation of the entry that issued it. Only that incarnation runs the
// request, so running it at most once needs no consensus, shared clock or
// membership list. docs/policies/permit.md describes the design and its
// alternatives.
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
	// MaxNameLength is the maximum length in bytes of an entry id and of a caller,
	// workspace or service name in a permit.
	MaxNameLength = 256
	// MaxTokenLength is the maximum length in bytes of a token that Verify accepts.
	// Four names of MaxNameLength take 1,820 bytes after both base64 encodings; the
	// other fields take less than 400.
	MaxTokenLength = 4096

	// keyContext separates the permit key from other uses of the same secret.
	keyContext = "balsamstall permit v1"
	separator  = "."
)

// Claims are the contents of a permit.
type Claims struct {
	// Issuer is the incarnation that issued the permit. Only it may run the request.
	Issuer ids.Incarnation
	// Entry is the id of the entry that issued the permit.
	Entry string
	// Sequence numbers the permits of one incarnation.
	Sequence uint64
	// IssuedAt is the time of issue on the issuer's monotonic clock, measured from
	// the start of its process.
	IssuedAt time.Duration
	// Window is the repeat window that the sheet set at the time of issue. It is
	// part of the permit because a later sheet with a longer window must not
	// revalidate a permit whose journal entry has expired.
	Window time.Duration
	// Caller, Workspace and Service identify the request that the permit is for.
	Caller, Workspace, Service string
	// QueryDigest is the Digest of the query.
	QueryDigest [sha256.Size]byte
}

// Expires returns the time on the issuer's clock at which the permit expires. The
// issuer's journal (package state/journal) keeps the outcome until then.
func (c Claims) Expires() time.Duration { return c.IssuedAt + c.Window }

// Request describes the request that presents a permit.
type Request struct {
	Caller, Workspace, Service, Query string
}

// Digest returns the SHA-256 digest of a query.
func Digest(query string) [sha256.Size]byte { return sha256.Sum256([]byte(query)) }

// wireClaims is the JSON encoding of Claims. The names are byte slices because
// encoding/json replaces invalid UTF-8 in strings, so that two different names
// could encode alike and share a permit.
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

// NewSigner returns a signer whose HMAC key is derived from key. All entries of a
// fleet use the same key. The settings package validates its length.
func NewSigner(key []byte) *Signer {
	return &Signer{key: computeMAC(key, []byte(keyContext))}
}

// Issue returns the token of a permit with claims c, as base64url text. Verify
// rejects a permit that has a name longer than MaxNameLength.
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
		// Marshal cannot fail: wireClaims has only integers and byte slices.
		panic(status.Wrap(err, status.Internal, status.NotRun, "encode permit"))
	}
	return encode(payload) + separator + encode(computeMAC(s.key, payload))
}

// Verify returns the claims of token if this fleet issued it for req. Every error
// is a *status.Error with the code PermitInvalid and the outcome NotRun, because a
// forged permit or one of another request never runs. Verify does not check the
// age; Decide does.
func (s *Signer) Verify(token string, req Request) (Claims, error) {
	if len(token) > MaxTokenLength {
		return Claims{}, invalid("token is %d bytes long, maximum is %d", len(token), MaxTokenLength)
	}
	payloadText, macText, ok := strings.Cut(token, separator)
	if !ok {
		return Claims{}, invalid("missing signature")
	}
	payload, err := decode(payloadText)
	if err != nil {
		return Claims{}, wrapInvalid(err, "claims are not base64url text")
	}
	mac, err := decode(macText)
	if err != nil {
		return Claims{}, wrapInvalid(err, "signature is not base64url text")
	}
	if !hmac.Equal(mac, computeMAC(s.key, payload)) {
		return Claims{}, invalid("signature does not match")
	}
	claims, err := parseClaims(payload)
	if err != nil {
		return Claims{}, err
	}
	digest := Digest(req.Query)
	same := subtle.ConstantTimeCompare([]byte(claims.Caller), []byte(req.Caller)) &
		subtle.ConstantTimeCompare([]byte(claims.Workspace), []byte(req.Workspace)) &
		subtle.ConstantTimeCompare([]byte(claims.Service), []byte(req.Service)) &
		subtle.ConstantTimeCompare(claims.QueryDigest[:], digest[:])
	if same != 1 {
		return Claims{}, invalid("issued for another request")
	}
	return claims, nil
}

func parseClaims(payload []byte) (Claims, error) {
	var w wireClaims
	dec := json.NewDecoder(bytes.NewReader(payload))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return Claims{}, wrapInvalid(err, "malformed claims")
	}
	if _, err := dec.Token(); err != io.EOF {
		return Claims{}, invalid("trailing data after the claims")
	}
	if len(w.Issuer) != ids.IncarnationSize || len(w.Query) != sha256.Size {
		return Claims{}, invalid("wrong length of issuer or query digest")
	}
	if w.IssuedAt < 0 || w.Window < 0 || w.IssuedAt+w.Window < 0 {
		return Claims{}, invalid("time of issue or window out of range")
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
			return Claims{}, invalid("name is %d bytes long, maximum is %d", len(name), MaxNameLength)
		}
	}
	return c, nil
}

// Decision says how an entry handles a request with a verified permit.
type Decision int

// Decisions.
const (
	// Expired means that the permit's window has passed. The journal may have
	// dropped the outcome, so the request must not run.
	Expired Decision = iota
	// Run means that this incarnation issued the permit and looks it up in its
	// journal (package state/journal).
	Run
	// Forward means that the request goes to the entry named in the claims.
	Forward
)

// String returns the name of the decision.
func (d Decision) String() string {
	switch d {
	case Run:
		return "run"
	case Forward:
		return "forward"
	default:
		return "expired"
	}
}

// Decide returns how the entry with incarnation self handles a request with verified
// claims. now is the time on self's monotonic clock, measured from its start. window
// is the repeat window of the current sheet: one shorter than the permit's own takes
// effect at once, and a longer one does not extend the permit. Only the issuer checks
// the age, because the clocks of two processes are not comparable.
func Decide(c Claims, self ids.Incarnation, now, window time.Duration) Decision {
	if c.Issuer != self {
		return Forward
	}
	age := now - c.IssuedAt
	if age < 0 || age >= min(c.Window, window) {
		return Expired
	}
	return Run
}

// computeMAC returns the HMAC-SHA-256 of message.
func computeMAC(key, message []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(message)
	return h.Sum(nil)
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// decode accepts only the canonical encoding, so that each permit has exactly one
// valid token.
func decode(s string) ([]byte, error) {
	if strings.ContainsAny(s, "\r\n") {
		// The base64 package ignores line breaks.
		return nil, base64.CorruptInputError(strings.IndexAny(s, "\r\n"))
	}
	return base64.RawURLEncoding.Strict().DecodeString(s)
}

func invalid(format string, args ...any) error {
	return status.New(status.PermitInvalid, status.NotRun, "permit rejected: "+format, args...)
}

func wrapInvalid(cause error, format string, args ...any) error {
	return status.Wrap(cause, status.PermitInvalid, status.NotRun, "permit rejected: "+format, args...)
}
