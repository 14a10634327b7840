// Package connshare divides a target's connection cap among the entries and
// paces their dials.
//
// Every entry computes its own share from its own view of the live entries, so
// that no shared state is needed. Rounding down leaves a remainder unused; it
// covers the time during which the views differ.
//
// All times are durations since an arbitrary start that is the same for every
// call. Nothing here locks: the caller serialises the calls on one Pacer.
package connshare

import "math"

// Share returns the number of connections to one target that one of entries
// live entries may hold: limit / entries, rounded down and at least 1. The least
// of 1 means that more entries than limit exceed it together; the target then
// refuses connections, and the Pacer backs off.
func Share(limit, entries int) int {
	return max(limit/max(entries, 1), 1)
}

// spareRatio is the part of the recent peak that is kept as idle connections.
// A quarter covers the growth of demand during one dial of 6 ms at a crest that
// doubles demand within 24 ms.
const spareRatio = 0.25

// Spares returns the number of idle connections to keep open, so that a new
// attempt seldom waits for a dial. inUse is the number that carry an attempt
// now, and peak the largest number in use over the recent past, such as 10 s.
// The total is the peak and a quarter more, and at least one idle connection,
// within share.
func Spares(share, inUse, peak int) int {
	wanted := int(math.Ceil(float64(max(peak, inUse)) * (1 + spareRatio)))
	total := min(max(wanted, inUse+1), share)
	return max(total-inUse, 0)
}
