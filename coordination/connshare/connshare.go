// Package connshare divides the connection limit of a target among the entries and limits the
// rate at which they dial.
//
// Each entry computes its share from its own view of the live entries, so no shared state is
// needed. Shares are rounded down, and the unused remainder covers the time during which the
// views differ.
//
// All times are durations since an arbitrary origin that is the same for every call. A Pacer is
// not safe for concurrent use.
package connshare

import "math"

// Share returns the number of connections to a target that each of the given number of live
// entries may hold: limit / entries, rounded down, but at least 1. Because of this minimum, the
// entries together exceed limit when there are more entries than that. The target then refuses
// connections, and the Pacer backs off.
func Share(limit, entries int) int {
	return max(limit/max(entries, 1), 1)
}

// spareRatio is the number of spare connections relative to the recent peak. A quarter covers
// the growth of demand during one dial of 6 ms, when demand doubles within 24 ms.
const spareRatio = 0.25

// SpareConnections returns the number of idle connections to keep open so that a new attempt
// rarely waits for a dial. inUse is the number of connections that carry an attempt now, and
// peak the maximum of that number over the recent past, such as 10 s. The total of used and idle
// connections is a quarter above the peak, with at least one idle connection, but never exceeds
// share.
func SpareConnections(share, inUse, peak int) int {
	desired := int(math.Ceil(float64(max(peak, inUse)) * (1 + spareRatio)))
	total := min(max(desired, inUse+1), share)
	return max(total-inUse, 0)
}
