// Package revision decides whether a candidate configuration document replaces the
// current one. The decision depends only on these two documents, so all entries decide
// alike and converge on the highest valid revision, whatever the order of arrival.
//
// The package has no state and does no I/O. Decide does not allocate.
package revision

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a document in compact form.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document in compact form.
func DigestOf(compact []byte) Digest { return sha256.Sum256(compact) }

// ParseDigest returns b as a Digest, and false when b does not have the size of a
// digest.
func ParseDigest(b []byte) (Digest, bool) {
	if len(b) != sha256.Size {
		return Digest{}, false
	}
	return Digest(b), true
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Version identifies a document. The zero value stands for no document.
type Version struct {
	// Era counts the resets of the counter that assigns revisions, such as a restore of the
	// platform's store from a backup. It is zero for documents whose publisher never resets it.
	Era uint64
	// Revision numbers the published documents of one key and era, starting at 1.
	Revision uint64
	Digest   Digest
}

// IsZero reports whether v stands for no document.
func (v Version) IsZero() bool { return v.Revision == 0 }

// Decision says how a candidate document is handled.
type Decision uint8

// Decisions.
const (
	// Accept makes the candidate the current document.
	Accept Decision = iota + 1
	// Unchanged means that the candidate is the current document.
	Unchanged
	// Conflict rejects a candidate with the current revision and another digest: two
	// publishers used the same revision. An operator must publish a higher one.
	Conflict
	// TooOld rejects a candidate of an earlier era, or with a revision below the current one.
	TooOld
	// Faulty rejects an invalid candidate as a whole; none of it is applied.
	Faulty
)

var decisionNames = [...]string{Accept: "accept", Unchanged: "unchanged", Conflict: "conflict", TooOld: "too_old", Faulty: "faulty"}

// String returns the decision as the audit log spells it.
func (d Decision) String() string {
	if int(d) < len(decisionNames) && decisionNames[d] != "" {
		return decisionNames[d]
	}
	return "unknown"
}

// Compare orders versions by era and, within an era, by revision. It returns -1, 0 or +1.
func Compare(a, b Version) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
}

// Newer reports whether a candidate is worth fetching and validating. It is the part
// of Decide that needs only the eras and revisions.
func Newer(current, candidate Version) bool { return Compare(candidate, current) > 0 }

// Claim is a version of a document, with what is known about its revision.
type Claim struct {
	Version Version
	// Settled is set if the publisher has confirmed that the revision has this document.
	Settled bool
}

// Replaces reports whether a candidate is worth fetching and validating: it is newer, or it is settled
// and in conflict with a current document that is not.
func (c Claim) Replaces(current Claim) bool { return DecideClaim(current, c, true) == Accept }

// DecideClaim returns how a candidate is handled, like Decide. A conflict is decided for the one document
// that is settled, if any.
func DecideClaim(current, candidate Claim, valid bool) Decision {
	decision := Decide(current.Version, candidate.Version, valid)
	switch {
	case decision != Conflict || current.Settled || !candidate.Settled:
		return decision
	case !valid:
		return Faulty
	}
	return Accept
}

// Decide returns how a candidate is handled. valid says whether the whole candidate
// passed validation; it matters only when the candidate is newer than the current
// document.
func Decide(current, candidate Version, valid bool) Decision {
	order := Compare(candidate, current)
	switch {
	case candidate.Revision == 0:
		return Faulty
	case order < 0:
		return TooOld
	case order == 0 && candidate.Digest == current.Digest:
		return Unchanged
	case order == 0:
		return Conflict
	case !valid:
		return Faulty
	}
	return Accept
}
