// Package ids defines the identifiers of processes, requests and index snapshots.
package ids

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// IncarnationSize is the size of an incarnation in bytes.
const IncarnationSize = 16

// Incarnation identifies one run of a process. It is generated at random when the process starts,
// so a restarted process has a different incarnation.
type Incarnation [IncarnationSize]byte

// NewIncarnation generates a random incarnation.
func NewIncarnation() Incarnation {
	var inc Incarnation
	rand.Read(inc[:]) // crypto/rand.Read never returns an error.
	return inc
}

// String formats the incarnation as 32 hexadecimal digits.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// ParseIncarnation parses the output of Incarnation.String. It returns an InvalidArgument error for
// any other input.
func ParseIncarnation(s string) (Incarnation, error) {
	var inc Incarnation
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != IncarnationSize {
		return inc, status.New(status.InvalidArgument, "", "incarnation must be %d hexadecimal digits", 2*IncarnationSize)
	}
	copy(inc[:], b)
	return inc, nil
}

// Request identifies one request across all entries.
type Request struct {
	Incarnation Incarnation
	Sequence    uint64
}

// String formats the identifier as "incarnation-sequence".
func (r Request) String() string {
	return r.Incarnation.String() + "-" + strconv.FormatUint(r.Sequence, 10)
}

// ParseRequest parses the output of Request.String. It returns an InvalidArgument error for any
// other input.
func ParseRequest(s string) (Request, error) {
	incText, seqText, ok := strings.Cut(s, "-")
	if !ok {
		return Request{}, status.New(status.InvalidArgument, "", "request id must have the form incarnation-sequence")
	}
	inc, err := ParseIncarnation(incText)
	if err != nil {
		return Request{}, err
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		return Request{}, status.New(status.InvalidArgument, "", "request sequence must be a decimal number")
	}
	return Request{Incarnation: inc, Sequence: seq}, nil
}

// Snapshot identifies the version of an index that a query reads.
type Snapshot struct {
	IndexVersion  uint64 `json:"index_version"`
	ShardMapEpoch uint64 `json:"shard_map_epoch"`
}

// Newer reports whether s is newer than o. It compares the index versions first and the shard map
// epochs second.
func (s Snapshot) Newer(o Snapshot) bool {
	if s.IndexVersion != o.IndexVersion {
		return s.IndexVersion > o.IndexVersion
	}
	return s.ShardMapEpoch > o.ShardMapEpoch
}
