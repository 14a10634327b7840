package testfleet

import "testing"

// Guards against giving the same address to two processes, of which the second cannot listen on it.
// This made an entry of a soak test fail.
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
