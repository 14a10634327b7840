// Package architecture_test checks that the source code of the repository follows the rules of
// docs/design.md, section 3: the import order, the purity of the coordination packages, and the
// required doc comments, examples and benchmarks.
package architecture_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// repositoryRoot is the path of the repository relative to this package.
const repositoryRoot = "../.."

// sourceFile is a parsed Go file.
type sourceFile struct {
	// name is the slash-separated path of the file relative to the root of the repository.
	name string
	ast  *ast.File
	fset *token.FileSet
}

// isTest reports whether the file is a test file.
func (s sourceFile) isTest() bool { return strings.HasSuffix(s.name, "_test.go") }

// dir returns the directory of the file relative to the root of the repository.
func (s sourceFile) dir() string { return path.Dir(s.name) }

// layer returns the top-level directory of the file.
func (s sourceFile) layer() string {
	first, _, _ := strings.Cut(s.name, "/")
	return first
}

// position returns the file name and line of a node, for messages.
func (s sourceFile) position(n ast.Node) string {
	return s.name + ":" + strconv.Itoa(s.fset.Position(n.Pos()).Line)
}

// importPath returns the path of an import. Unquoting cannot fail, because the parser has checked the
// quotes.
func importPath(spec *ast.ImportSpec) string {
	p, _ := strconv.Unquote(spec.Path.Value)
	return p
}

// parseRepository returns all Go files of the repository and its module path. It skips directories
// that the go command ignores.
func parseRepository(t *testing.T) (files []sourceFile, module string) {
	t.Helper()
	is := is.New(t)
	mod, err := os.ReadFile(filepath.Join(repositoryRoot, "go.mod"))
	is.NoErr(err)
	line, _, _ := strings.Cut(string(mod), "\n")
	module, ok := strings.CutPrefix(strings.TrimSpace(line), "module ")
	is.True(ok) // go.mod starts with the module path
	is.NoErr(filepath.WalkDir(repositoryRoot, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if name != repositoryRoot && (strings.HasPrefix(d.Name(), ".") || strings.HasPrefix(d.Name(), "_") || d.Name() == "testdata") {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		relative, err := filepath.Rel(repositoryRoot, name)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		s, err := parseFile(filepath.ToSlash(relative), string(text))
		files = append(files, s)
		return err
	}))
	is.True(len(files) > 0)
	return files, module
}

func parseFile(name, text string) (sourceFile, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, text, parser.ParseComments)
	return sourceFile{name: name, ast: file, fset: fset}, err
}

// groupByPackage groups files by directory and returns the sorted directories.
func groupByPackage(files []sourceFile) (dirs []string, packages map[string][]sourceFile) {
	packages = make(map[string][]sourceFile)
	for _, f := range files {
		if packages[f.dir()] == nil {
			dirs = append(dirs, f.dir())
		}
		packages[f.dir()] = append(packages[f.dir()], f)
	}
	slices.Sort(dirs)
	return dirs, packages
}
