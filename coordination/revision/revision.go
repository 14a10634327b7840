// Package revision decides whether a configuration document replaces the one in
// force. The decision depends on these two documents only, so every entry
// decides alike and in any order of arrival the highest valid revision ends up
// in force.
//
// The package is pure and allocates nothing.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a document in its compact form.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document in compact form.
func DigestOf(compact []byte) Digest { return sha256.Sum256(compact) }

// ParseDigest returns the digest with the given bytes, and false when b does
// not have the size of a digest.
func ParseDigest(b []byte) (Digest, bool) {
	if len(b) != sha256.Size {
		return Digest{}, false
	}
	return Digest(b), true
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Version identifies a document. The zero value means that there is none.
type Version struct {
	// Revision counts the published documents of one key. It starts at 1.
	Revision uint64
	Digest   Digest
}

// IsZero reports whether v stands for no document.
func (v Version) IsZero() bool { return v.Revision == 0 }

// Decision says what happens to a candidate.
type Decision uint8

// Decisions.
const (
	// Accept puts the candidate in force.
	Accept Decision = iota + 1
	// Unchanged means that the candidate is in force already.
	Unchanged
	// Conflict refuses a candidate with the revision in force and another
	// digest. Two publishers used one revision; operators must publish a
	// higher one.
	Conflict
	// TooOld refuses a candidate below the revision in force.
	TooOld
	// Faulty refuses a candidate that is not valid, as a whole.
	Faulty
)

var names = [...]string{Accept: "accept", Unchanged: "unchanged", Conflict: "conflict", TooOld: "too_old", Faulty: "faulty"}

// String returns the decision in the spelling of the audit trail.
func (d Decision) String() string {
	if int(d) < len(names) && names[d] != "" {
		return names[d]
	}
	return "unknown"
}

// Newer reports whether a candidate is worth fetching and validating. It is the
// part of Decide that needs no document.
func Newer(inForce, candidate Version) bool { return candidate.Revision > inForce.Revision }

// Decide returns what happens to a candidate. valid says whether the whole
// candidate passed validation; it is read only when the candidate is newer.
func Decide(inForce, candidate Version, valid bool) Decision {
	switch {
	case candidate.Revision == 0:
		return Faulty
	case candidate.Revision < inForce.Revision:
		return TooOld
	case candidate.Revision == inForce.Revision && candidate.Digest == inForce.Digest:
		return Unchanged
	case candidate.Revision == inForce.Revision:
		return Conflict
	case !valid:
		return Faulty
	}
	return Accept
}
