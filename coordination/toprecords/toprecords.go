// Package toprecords merges the records that several shards return.
package toprecords

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one record in bytes.
const RecordSize = 16

// Greatest returns the k greatest records of all parts in descending byte order. Duplicates are
// kept. An incomplete record at the end of a part is ignored. The parts are not modified.
func Greatest(parts [][]byte, k int) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / RecordSize
	}
	records := make([][]byte, 0, n)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			records = append(records, p[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(k, 0), len(records))]
	merged := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		merged = append(merged, r...)
	}
	return merged
}
