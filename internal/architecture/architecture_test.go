package architecture_test

import (
	"go/ast"
	"go/doc"
	"slices"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"
)

// layers is the import order, lowest first.
var layers = []string{"protocol", "state", "coordination", "transport", "internal", "platform", "cmd"}

// clockFunctions are the functions of package time that read a clock or wait.
var clockFunctions = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// impurePackages are imports for locks and I/O. Packages below them count too.
var impurePackages = []string{"sync", "net", "os"}

// Guards against a lower layer that depends on a higher one, and against a
// package that belongs to no layer.
func TestImportsPointDownwards(t *testing.T) {
	files, module := repository(t)
	for _, f := range files {
		for _, fault := range upwardImports(f, module) {
			t.Error(fault)
		}
	}
}

// upwardImports returns the imports of a file that break the order of layers.
func upwardImports(f source, module string) []string {
	if f.isTest() {
		return nil
	}
	var faults []string
	own := slices.Index(layers, f.layer())
	if own < 0 {
		faults = append(faults, f.name+": the directory is none of the layers")
	}
	for _, spec := range f.ast.Imports {
		imported, ok := strings.CutPrefix(importPath(spec), module+"/")
		if !ok {
			continue
		}
		layer, _, _ := strings.Cut(imported, "/")
		if other := slices.Index(layers, layer); other < 0 || other > own {
			faults = append(faults, f.at(spec)+": "+f.layer()+" must not import "+imported)
		}
	}
	return faults
}

// Guards against decisions that depend on the clock, on scheduling or on I/O:
// they could not be tested with given times, nor embedded elsewhere.
func TestCoordinationIsPure(t *testing.T) {
	files, _ := repository(t)
	checked := 0
	for _, f := range files {
		if f.layer() != "coordination" || f.isTest() {
			continue
		}
		checked++
		for _, fault := range impurities(f) {
			t.Error(fault)
		}
	}
	if checked == 0 {
		t.Error("no file under coordination was found")
	}
}

// impurities returns the parts of a file that make its package impure.
func impurities(f source) []string {
	var faults []string
	clock := ""
	for _, spec := range f.ast.Imports {
		imported := importPath(spec)
		for _, p := range impurePackages {
			if imported == p || strings.HasPrefix(imported, p+"/") {
				faults = append(faults, f.at(spec)+": imports "+imported)
			}
		}
		if imported != "time" {
			continue
		}
		clock = "time"
		if spec.Name != nil {
			clock = spec.Name.Name
		}
		if clock == "." {
			faults = append(faults, f.at(spec)+": imports the names of time")
		}
	}
	ast.Inspect(f.ast, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			faults = append(faults, f.at(n)+": starts a goroutine")
		case *ast.SelectorExpr:
			// A use without a call counts too: the function may be called later.
			if x, ok := n.X.(*ast.Ident); ok && clock != "" && x.Name == clock && slices.Contains(clockFunctions, n.Sel.Name) {
				faults = append(faults, f.at(n)+": uses time."+n.Sel.Name)
			}
		}
		return true
	})
	return faults
}

// Guards against a decision package that a reader cannot try out, or whose cost
// nobody can measure.
func TestCoordinationHasExamplesAndBenchmarks(t *testing.T) {
	files, _ := repository(t)
	dirs, packages := byPackage(files)
	checked := 0
	for _, dir := range dirs {
		if !strings.HasPrefix(dir, "coordination/") || allTests(packages[dir]) {
			continue
		}
		checked++
		if !hasExample(packages[dir]) {
			t.Errorf("%s: no Example with an output", dir)
		}
		if !hasBenchmark(packages[dir]) {
			t.Errorf("%s: no benchmark", dir)
		}
	}
	if checked == 0 {
		t.Error("no package under coordination was found")
	}
}

// hasExample reports whether the tests of a package hold an Example that is run.
func hasExample(files []source) bool {
	var tests []*ast.File
	for _, f := range files {
		if f.isTest() {
			tests = append(tests, f.ast)
		}
	}
	return slices.ContainsFunc(doc.Examples(tests...), func(e *doc.Example) bool {
		return e.Output != "" || e.EmptyOutput
	})
}

func hasBenchmark(files []source) bool {
	for _, f := range files {
		for _, decl := range f.ast.Decls {
			if fn, ok := decl.(*ast.FuncDecl); ok && f.isTest() && fn.Recv == nil && isBenchmark(fn.Name.Name) {
				return true
			}
		}
	}
	return false
}

// isBenchmark reports whether the testing package takes a function for a benchmark.
func isBenchmark(name string) bool {
	rest, ok := strings.CutPrefix(name, "Benchmark")
	first, _ := utf8.DecodeRuneInString(rest)
	return ok && !unicode.IsLower(first)
}

// Guards against a package whose purpose is not stated.
func TestPackagesHaveDocComments(t *testing.T) {
	files, _ := repository(t)
	dirs, packages := byPackage(files)
	for _, dir := range dirs {
		if !hasDocComment(packages[dir]) {
			t.Errorf("%s: no package doc comment", dir)
		}
	}
}

// hasDocComment reports whether a file of the package has a doc comment. Test
// files count for packages that have no others.
func hasDocComment(files []source) bool {
	testsCount := allTests(files)
	return slices.ContainsFunc(files, func(f source) bool {
		return (testsCount || !f.isTest()) && strings.TrimSpace(f.ast.Doc.Text()) != ""
	})
}

func allTests(files []source) bool {
	return !slices.ContainsFunc(files, func(f source) bool { return !f.isTest() })
}
