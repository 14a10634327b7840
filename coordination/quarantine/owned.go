package quarantine

import "slices"

// OwnedTargets returns the targets that an entry prefers for requests that run alone. With n entries
// sorted by name and the targets sorted by id, the k-th entry owns every n-th target from the k-th
// on.
//
// Entries that agree on both lists own different targets, so that a crashing request that runs alone
// at one entry does not share its target with an unrelated one that runs alone at another. Entries
// with differing lists lose only this separation. Assignment by hash left one of three entries
// without any of six targets.
func OwnedTargets(entry string, entries, targets []string) []string {
	entries, targets = slices.Sorted(slices.Values(entries)), slices.Sorted(slices.Values(targets))
	entries = slices.Compact(entries)
	first, ok := slices.BinarySearch(entries, entry)
	if !ok {
		return nil
	}
	var owned []string
	for i := first; i < len(targets); i += len(entries) {
		owned = append(owned, targets[i])
	}
	return owned
}
