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

// layers lists the top-level directories in import order, lowest first. A package may import packages
// of its own layer and of lower ones.
var layers = []string{"protocol", "state", "coordination", "transport", "internal", "platform", "cmd"}

// clockFunctions lists the functions of package time that read the clock or wait.
var clockFunctions = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// impurePackages lists packages for locks and I/O. Their subpackages count as impure too.
var impurePackages = []string{"sync", "net", "os"}

// Guards against a layer that imports a higher one, and against a package that belongs to no layer.
func TestImportsFollowLayerOrder(t *testing.T) {
	files, module := parseRepository(t)
	for _, f := range files {
		for _, violation := range forbiddenImports(f, module) {
			t.Error(violation)
		}
	}
}

// forbiddenImports returns the imports of a file that violate the order of layers.
func forbiddenImports(f sourceFile, module string) []string {
	if f.isTest() {
		return nil
	}
	var violations []string
	ownLayer := slices.Index(layers, f.layer())
	if ownLayer < 0 {
		violations = append(violations, f.name+": the directory is not a layer")
	}
	for _, spec := range f.ast.Imports {
		imported, ok := strings.CutPrefix(importPath(spec), module+"/")
		if !ok {
			continue
		}
		layer, _, _ := strings.Cut(imported, "/")
		if importedLayer := slices.Index(layers, layer); importedLayer < 0 || importedLayer > ownLayer {
			violations = append(violations, f.position(spec)+": "+f.layer()+" must not import "+imported)
		}
	}
	return violations
}

// Guards against coordination packages that depend on the clock, on scheduling or on I/O. They could
// not be tested with given times or be embedded elsewhere.
func TestCoordinationIsPure(t *testing.T) {
	files, _ := parseRepository(t)
	checked := 0
	for _, f := range files {
		if f.layer() != "coordination" || f.isTest() {
			continue
		}
		checked++
		for _, violation := range impurities(f) {
			t.Error(violation)
		}
	}
	if checked == 0 {
		t.Error("no file under coordination was found")
	}
}

// impurities returns the imports, goroutine starts and uses of the clock that make the package of a
// file impure.
func impurities(f sourceFile) []string {
	var violations []string
	timeName := ""
	for _, spec := range f.ast.Imports {
		imported := importPath(spec)
		for _, p := range impurePackages {
			if imported == p || strings.HasPrefix(imported, p+"/") {
				violations = append(violations, f.position(spec)+": imports "+imported)
			}
		}
		if imported != "time" {
			continue
		}
		timeName = "time"
		if spec.Name != nil {
			timeName = spec.Name.Name
		}
		if timeName == "." {
			violations = append(violations, f.position(spec)+": uses a dot import of time")
		}
	}
	ast.Inspect(f.ast, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			violations = append(violations, f.position(n)+": starts a goroutine")
		case *ast.SelectorExpr:
			// A use without a call counts too, because the function may be called later.
			if x, ok := n.X.(*ast.Ident); ok && timeName != "" && x.Name == timeName && slices.Contains(clockFunctions, n.Sel.Name) {
				violations = append(violations, f.position(n)+": uses time."+n.Sel.Name)
			}
		}
		return true
	})
	return violations
}

// Guards against a coordination package without a runnable example or without a benchmark.
func TestCoordinationHasExamplesAndBenchmarks(t *testing.T) {
	files, _ := parseRepository(t)
	dirs, packages := groupByPackage(files)
	checked := 0
	for _, dir := range dirs {
		if !strings.HasPrefix(dir, "coordination/") || onlyTestFiles(packages[dir]) {
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

// hasExample reports whether the tests of a package contain an Example that is run, that is, one with
// an output comment.
func hasExample(files []sourceFile) bool {
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

func hasBenchmark(files []sourceFile) bool {
	for _, f := range files {
		for _, decl := range f.ast.Decls {
			if fn, ok := decl.(*ast.FuncDecl); ok && f.isTest() && fn.Recv == nil && isBenchmark(fn.Name.Name) {
				return true
			}
		}
	}
	return false
}

// isBenchmark reports whether go test runs a function with the given name as a benchmark.
func isBenchmark(name string) bool {
	rest, ok := strings.CutPrefix(name, "Benchmark")
	first, _ := utf8.DecodeRuneInString(rest)
	return ok && !unicode.IsLower(first)
}

// Guards against a package without a doc comment.
func TestPackagesHaveDocComments(t *testing.T) {
	files, _ := parseRepository(t)
	dirs, packages := groupByPackage(files)
	for _, dir := range dirs {
		if !hasDocComment(packages[dir]) {
			t.Errorf("%s: no package doc comment", dir)
		}
	}
}

// hasDocComment reports whether a file of the package has a package doc comment. Test files only
// count in packages that have no other files.
func hasDocComment(files []sourceFile) bool {
	includeTests := onlyTestFiles(files)
	return slices.ContainsFunc(files, func(f sourceFile) bool {
		return (includeTests || !f.isTest()) && strings.TrimSpace(f.ast.Doc.Text()) != ""
	})
}

func onlyTestFiles(files []sourceFile) bool {
	return !slices.ContainsFunc(files, func(f sourceFile) bool { return !f.isTest() })
}
