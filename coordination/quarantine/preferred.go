package quarantine

import "slices"

// PreferredTargets returns the targets that an entry prefers for isolated runs. With n entries sorted
// by name and the targets sorted by id, the k-th entry prefers every n-th target from the k-th on.
// The result is nil if entries does not contain entry.
//
// Entries that agree on both lists prefer different targets, so that a crashing request that runs in
// isolation at one entry does not share its target with an unrelated one that runs in isolation at
// another. Entries with differing lists lose only this separation. Assignment by hash left one of
// three entries without any of six targets.
func PreferredTargets(entry string, entries, targets []string) []string {
	entries, targets = slices.Sorted(slices.Values(entries)), slices.Sorted(slices.Values(targets))
	entries = slices.Compact(entries)
	first, ok := slices.BinarySearch(entries, entry)
	if !ok {
		return nil
	}
	var preferred []string
	for i := first; i < len(targets); i += len(entries) {
		preferred = append(preferred, targets[i])
	}
	return preferred
}
