// Package architecture_test checks the rules of docs/design.md, section 3, on the
// source of the repository: the import order, the purity of the decisions, and
// the comments and examples that every package has.
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

// root is the directory of the repository, seen from this package.
const root = "../.."

// source is one parsed Go file.
type source struct {
	// name is the path of the file from the root, with slashes.
	name string
	ast  *ast.File
	fset *token.FileSet
}

// isTest reports whether the file belongs to tests only.
func (s source) isTest() bool { return strings.HasSuffix(s.name, "_test.go") }

// dir returns the directory of the package from the root.
func (s source) dir() string { return path.Dir(s.name) }

// layer returns the first part of the path.
func (s source) layer() string {
	first, _, _ := strings.Cut(s.name, "/")
	return first
}

// at returns the place of a node for a message.
func (s source) at(n ast.Node) string {
	return s.name + ":" + strconv.Itoa(s.fset.Position(n.Pos()).Line)
}

// importPath returns the path of an import. The parser has checked the quotes.
func importPath(spec *ast.ImportSpec) string {
	p, _ := strconv.Unquote(spec.Path.Value)
	return p
}

// repository returns every Go file of the repository and its module path.
// Directories that the go command ignores are left out.
func repository(t *testing.T) (files []source, module string) {
	t.Helper()
	is := is.New(t)
	mod, err := os.ReadFile(filepath.Join(root, "go.mod"))
	is.NoErr(err)
	line, _, _ := strings.Cut(string(mod), "\n")
	module, ok := strings.CutPrefix(strings.TrimSpace(line), "module ")
	is.True(ok) // go.mod starts with the module path
	is.NoErr(filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if name != root && (strings.HasPrefix(d.Name(), ".") || strings.HasPrefix(d.Name(), "_") || d.Name() == "testdata") {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		s, err := parse(filepath.ToSlash(relative), string(text))
		files = append(files, s)
		return err
	}))
	is.True(len(files) > 0)
	return files, module
}

func parse(name, text string) (source, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, text, parser.ParseComments)
	return source{name: name, ast: file, fset: fset}, err
}

// byPackage groups files by directory and returns the directories in order.
func byPackage(files []source) (dirs []string, packages map[string][]source) {
	packages = make(map[string][]source)
	for _, f := range files {
		if packages[f.dir()] == nil {
			dirs = append(dirs, f.dir())
		}
		packages[f.dir()] = append(packages[f.dir()], f)
	}
	slices.Sort(dirs)
	return dirs, packages
}
