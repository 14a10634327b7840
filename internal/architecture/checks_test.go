package architecture_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against checks of files that pass because they do not detect violations.
func TestChecksFindViolations(t *testing.T) {
	const module = "example.test/m"
	for name, c := range map[string]struct {
		file, text string
		imports    int
		impure     int
	}{
		"nothing":             {"coordination/a/a.go", `package a; import ("time"; "example.test/m/protocol/status")`, 0, 0},
		"upward import":       {"coordination/a/a.go", `package a; import "example.test/m/transport/b"`, 1, 0},
		"import by state":     {"state/documents/a.go", `package a; import "example.test/m/coordination/delta"`, 1, 0},
		"import of cmd":       {"internal/a/a.go", `package a; import "example.test/m/cmd/b"`, 1, 0},
		"import of no layer":  {"internal/a/a.go", `package a; import "example.test/m/tools/b"`, 1, 0},
		"file in no layer":    {"tools/a/a.go", `package a`, 1, 0},
		"test file":           {"protocol/a/a_test.go", `package a; import "example.test/m/internal/b"`, 0, 0},
		"another module":      {"protocol/a/a.go", `package a; import "example.test/mm/internal/b"`, 0, 0},
		"lock":                {"coordination/a/a.go", `package a; import "sync"`, 0, 1},
		"atomic and network":  {"coordination/a/a.go", `package a; import ("sync/atomic"; "net/http")`, 0, 2},
		"similar name":        {"coordination/a/a.go", `package a; import "example.test/network"`, 0, 0},
		"goroutine":           {"coordination/a/a.go", `package a; func f() { go f() }`, 0, 1},
		"clock":               {"coordination/a/a.go", `package a; import "time"; var t = time.Now()`, 0, 1},
		"clock without call":  {"coordination/a/a.go", `package a; import "time"; var t = time.Since`, 0, 1},
		"clock, renamed":      {"coordination/a/a.go", `package a; import x "time"; var t = x.NewTimer(x.Second)`, 0, 1},
		"clock, names import": {"coordination/a/a.go", `package a; import . "time"; var t = Now()`, 0, 1},
		"time without clock":  {"coordination/a/a.go", `package a; import "time"; var t = time.Unix(1, 0).Add(time.Second)`, 0, 0},
		"another Now":         {"coordination/a/a.go", `package a; import "time"; func f(c interface{ Now() time.Time }) { c.Now() }`, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := parseFile(c.file, c.text)
			is.NoErr(err)
			is.Equal(len(forbiddenImports(f, module)), c.imports)
			is.Equal(len(impurities(f)), c.impure)
		})
	}
}

// Guards against checks of packages that accept examples that are never run, functions that are not
// benchmarks or comments that are not doc comments.
func TestChecksOfPackages(t *testing.T) {
	is := is.New(t)
	parseOne := func(file, text string) []sourceFile {
		f, err := parseFile(file, text)
		is.NoErr(err)
		return []sourceFile{f}
	}
	is.True(hasExample(parseOne("a/a_test.go", "package a\nfunc Example() {\n\t// Output:\n\t// 1\n}\n")))
	is.True(!hasExample(parseOne("a/a_test.go", "package a\nfunc Example() {}\n"))) // never run
	is.True(hasBenchmark(parseOne("a/a_test.go", "package a\nfunc BenchmarkX(b *testing.B) {}\n")))
	is.True(!hasBenchmark(parseOne("a/a_test.go", "package a\nfunc Benchmarked(b *testing.B) {}\n")))
	is.True(hasDocComment(parseOne("a/a.go", "// Package a is.\npackage a\n")))
	is.True(!hasDocComment(parseOne("a/a.go", "// Package a is.\n\npackage a\n"))) // detached
	is.True(hasDocComment(parseOne("a/a_test.go", "// Package a is.\npackage a\n")))
	is.True(!hasDocComment(append(parseOne("a/a.go", "package a\n"), parseOne("a/a_test.go", "// Package a is.\npackage a\n")...)))
}
