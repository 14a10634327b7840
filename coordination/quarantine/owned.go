package quarantine

import "slices"

// Owned returns the targets that an entry prefers for requests that run alone: each
// n-th one in the order of their ids, for n entries in the order of their names.
// Entries that agree on both lists own different targets, so that a crashing request
// that runs alone at one entry does not share its target with an innocent one that
// runs alone at another. Views that differ cost this separation only. A hash instead
// of the order left one of three entries without any of six targets.
func Owned(entry string, entries, targets []string) []string {
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
