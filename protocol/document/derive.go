package document

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

const (
	// derivedMark precedes the digest at the end of a derived name.
	derivedMark = ".."
	// derivedDigestBytes is the number of bytes of the SHA-256 digest in a derived name.
	derivedDigestBytes = 16
	// maxDerivedPrefix is the maximum number of bytes of a derived name that resemble the original.
	maxDerivedPrefix = 32
)

// DeriveName returns the name that stands in documents for a name of another system, which may have any length
// and any characters. It is s itself if that is a valid name. Otherwise it is the beginning of s with a hyphen
// in place of each invalid byte, and a digest of s. Different strings have different names.
func DeriveName(s string) string {
	if validName(s) && !hasDerivedForm(s) {
		return s
	}
	prefix := []byte(s[:min(len(s), maxDerivedPrefix)])
	for i, b := range prefix {
		if !validNameRune(rune(b)) {
			prefix[i] = '-'
		}
	}
	digest := sha256.Sum256([]byte(s))
	return string(prefix) + derivedMark + base64.RawURLEncoding.EncodeToString(digest[:derivedDigestBytes])
}

// hasDerivedForm reports whether s could be a derived name.
func hasDerivedForm(s string) bool {
	end := len(s) - base64.RawURLEncoding.EncodedLen(derivedDigestBytes)
	return end >= 0 && strings.HasSuffix(s[:end], derivedMark)
}
