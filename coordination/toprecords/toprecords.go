// Package toprecords merges the records of several shards.
package toprecords

import (
	"bytes"
	"slices"
)

// Size is the length of one record in bytes.
const Size = 16

// Greatest returns the k greatest records of all parts, greatest first, compared
// byte by byte. Equal records all count. A remainder shorter than a record is no
// record. The parts are not changed.
func Greatest(parts [][]byte, k int) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / Size
	}
	records := make([][]byte, 0, n)
	for _, p := range parts {
		for ; len(p) >= Size; p = p[Size:] {
			records = append(records, p[:Size])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(k, 0), len(records))]
	merged := make([]byte, 0, len(records)*Size)
	for _, r := range records {
		merged = append(merged, r...)
	}
	return merged
}
