package settings

import (
	"cmp"

	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// Held holds the setting of the bytes that an entry holds for callers, targets and other entries.
type Held struct {
	// HeldBytesMB is the bound on the bytes held, in mebibytes. Zero, the default, selects a quarter
	// of the memory of the process, at least 16.
	HeldBytesMB int64 `json:"held_bytes_mb"`
}

// minHeldMB is the smallest bound: sixteen bodies of the largest size that any setting permits.
const minHeldMB = bytebudget.MinBytes >> 20

// check requires that the held bytes fit into the memory of the process.
func (h *Held) check(c *Checks, memoryMB int64) {
	if h.HeldBytesMB != 0 {
		c.Range("held_bytes_mb", h.HeldBytesMB, minHeldMB, max(cmp.Or(memoryMB, defaultMemoryMB)/2, minHeldMB))
	}
}

// HeldBytes returns the bound on the bytes held in a process with the given memory, zero if it is not stated.
func (h *Held) HeldBytes(memoryMB int64) int64 {
	if h.HeldBytesMB != 0 {
		return h.HeldBytesMB << 20
	}
	return bytebudget.Default(cmp.Or(memoryMB, defaultMemoryMB) << 20)
}
