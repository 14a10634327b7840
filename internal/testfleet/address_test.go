package testfleet

import "testing"

// Guards against two processes that get the same address: an entry of a soak could not
// listen on it.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 400 {
		address := FreeAddress(t)
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
