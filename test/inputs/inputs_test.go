// Package inputs starts the built programs with bad input and checks that they refuse it with a
// message that states the problem.
package inputs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runTimeout is the timeout of one run of a program. With bad input every program must exit much
// earlier.
const runTimeout = 20 * time.Second

var programs = []string{"balsam-entry", "balsam-ctl", "balsam-load", "balsam-standin"}

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "balsam-inputs")
	if err != nil {
		panic(err)
	}
	binaries = dir
	for _, name := range programs {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "github.com/balsamstall/balsamstall/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "building %s: %v\n%s", name, err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runProgram runs a program and returns its exit status and its output. The status is -1 if the
// program had to be killed.
func runProgram(t *testing.T, env []string, name string, args ...string) (code int, output string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, name), args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		return exit.ExitCode(), out.String()
	case err != nil:
		t.Fatal(err)
	}
	return 0, out.String()
}

// writeFile writes a new temporary file and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// logTableRow logs a row of the table in docs/INPUTS.md. Temporary paths are shortened to the name
// of the file.
func logTableRow(t *testing.T, path, program, input, got string) {
	t.Helper()
	got = strings.TrimSpace(got)
	if path != "" {
		got = strings.ReplaceAll(got, filepath.Dir(path)+"/", "")
	}
	got = strings.ReplaceAll(strings.ReplaceAll(got, "\n", " / "), "|", `\|`)
	t.Logf("ROW | `%s` | %s | `%s` |", program, input, got)
}
