package document

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against deeply nested input that exhausts the stack or takes more than linear time, and
// against counting brackets inside strings.
func TestDepthIsBounded(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckDepth([]byte(strings.Repeat("[", MaxDepth) + strings.Repeat("]", MaxDepth))))
	is.NoErr(CheckDepth([]byte(strings.Repeat("[],", 10*MaxDepth))))
	is.NoErr(CheckDepth([]byte(`"` + strings.Repeat(`[\"{`, MaxDepth) + `"`)))

	var depthErr *DepthError
	is.True(errors.As(CheckDepth([]byte(strings.Repeat(`{"a":`, MaxDepth+1))), &depthErr))
	is.Equal(depthErr.Limit, MaxDepth)
	is.True(errors.As(CheckDepth([]byte(`"\\"`+strings.Repeat("[", MaxDepth+1))), &depthErr))

	var dst struct{ A int }
	err := Decode("sheet", []byte(strings.Repeat("[", MaxSize/2)), &dst)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "nested at most 64 deep"))
}

// Guards against a duplicate key scan that copies the path at each level. The test compares
// allocated bytes, which do not depend on the load of the machine.
func TestDuplicateKeyScanIsLinear(t *testing.T) {
	for name, unit := range map[string]string{
		"arrays":  "[",
		"objects": `{"a":`,
	} {
		t.Run(name, func(t *testing.T) {
			small, large := allocatedBytes(strings.Repeat(unit, 1_000)), allocatedBytes(strings.Repeat(unit, 16_000))
			if large > 40*small {
				t.Errorf("input of 16 times the size allocates %d bytes, %d times as many", large, large/small)
			}
		})
	}
	t.Run("elements under a long key", func(t *testing.T) {
		text := func(n int) string {
			return `{"` + strings.Repeat("k", n) + `":[` + strings.Repeat("1,", n) + "1]}"
		}
		small, large := allocatedBytes(text(1_000)), allocatedBytes(text(16_000))
		if large > 40*small {
			t.Errorf("input of 16 times the size allocates %d bytes, %d times as many", large, large/small)
		}
	})
}

func allocatedBytes(text string) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	DuplicateKey([]byte(text))
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// BenchmarkDecodeDepth measures the duplicate key scan of deeply nested input of increasing size.
func BenchmarkDecodeDepth(b *testing.B) {
	for _, kib := range []int{8, 16, 32, 64} {
		b.Run(strings.Repeat("#", kib/8), func(b *testing.B) {
			text := []byte(strings.Repeat("[", kib<<10))
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				DuplicateKey(text)
			}
		})
	}
}
