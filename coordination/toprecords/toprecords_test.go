package toprecords

import (
	"bytes"
	"fmt"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// Guards against lost or duplicated records, a wrong order, and an incomplete record that is
// returned as a whole one.
func TestGreatestEqualsSortingEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 6).Draw(t, "parts")
		k := rapid.IntRange(0, 12).Draw(t, "k")
		var all []string
		for _, p := range parts {
			for i := 0; i+RecordSize <= len(p); i += RecordSize {
				all = append(all, string(p[i:i+RecordSize]))
			}
		}
		sort.Sort(sort.Reverse(sort.StringSlice(all)))
		var want bytes.Buffer
		for _, r := range all[:min(k, len(all))] {
			want.WriteString(r)
		}
		if got := Greatest(parts, k); !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("got %x, want %x", got, want.Bytes())
		}
	})
}

func Example() {
	shard1 := []byte("record-0000000a1record-0000000c3")
	shard2 := []byte("record-0000000b2")
	fmt.Printf("%s\n", Greatest([][]byte{shard1, shard2}, 2))
	// Output: record-0000000c3record-0000000b2
}

func BenchmarkGreatest(b *testing.B) {
	part := bytes.Repeat([]byte("0123456789abcdef"), 25)
	parts := make([][]byte, 10)
	for i := range parts {
		parts[i] = part
	}
	for b.Loop() {
		Greatest(parts, 20)
	}
}
