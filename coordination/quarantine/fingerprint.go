package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// FingerprintSize is the size of a fingerprint in bytes. HMAC-SHA256 truncated to 16 bytes makes
// accidental collisions negligible: among 10,000 entries their probability is below 2^-100.
const FingerprintSize = 16

// keyContext separates the fingerprint key from other uses of the same secret.
const keyContext = "balsamstall quarantine v1"

// Fingerprint identifies equal requests without revealing their content.
type Fingerprint [FingerprintSize]byte

// ParseFingerprint converts the bytes of a peer's message to a Fingerprint. The error is a
// *status.Error with the code InvalidArgument.
func ParseFingerprint(b []byte) (Fingerprint, error) {
	if len(b) != FingerprintSize {
		return Fingerprint{}, status.New(status.InvalidArgument, "", "fingerprint has %d bytes instead of %d", len(b), FingerprintSize)
	}
	return Fingerprint(b), nil
}

// Keyer computes fingerprints with a secret key, so that no caller can construct a query with the
// fingerprint of another query to get that one refused. All entries of a fleet use the same key. A
// Keyer is immutable and safe for concurrent use.
type Keyer struct {
	key []byte
}

// NewKeyer returns a Keyer whose HMAC key is derived from key.
func NewKeyer(key []byte) *Keyer {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(keyContext))
	return &Keyer{key: h.Sum(nil)}
}

// Fingerprint returns the fingerprint of a request whose query is given in two parts. It does not copy the
// second one, which may be large.
func (k *Keyer) Fingerprint(workspace, service, query string, body []byte) Fingerprint {
	h := hmac.New(sha256.New, k.key)
	write := func(field string, rest []byte) {
		// The length prefix keeps adjacent fields apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)+len(rest)))
		h.Write(length[:])
		h.Write([]byte(field))
		h.Write(rest)
	}
	write(workspace, nil)
	write(service, nil)
	write(query, body)
	return Fingerprint(h.Sum(nil)[:FingerprintSize])
}
