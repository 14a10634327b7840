package architecture_test

import (
	"go/ast"
	"go/token"
	"strings"
	"testing"
)

// wireNames lists names that the users' platform uses on the wire. Only platform/ and deploy/ may
// contain them.
var wireNames = []string{
	"X-Deadline-Ms", "X-Expect-Instance", "X-Not-Executed", "X-Response-Stamp", "X-Part-Stamps",
	"X-Missing-Parts", "X-Instance-Id", "X-Request-Id", "kv-key", "kv-range", "kv-watch", "op/config",
	"path_prefix=", "weighted_backends", "latency_goal_ms", "min_shard_share", "warmup_left_ms", "warmup_per_s",
}

// Guards against wire names of the users' platform outside its adapter, which is platform/.
func TestWireNamesOnlyInPlatformAdapter(t *testing.T) {
	files, _ := parseRepository(t)
	found := 0
	for _, f := range files {
		inside := f.layer() == "platform" || strings.HasPrefix(f.name, "internal/architecture/")
		ast.Inspect(f.ast, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING {
				return true
			}
			for _, name := range wireNames {
				if strings.Contains(lit.Value, name) {
					found++
					if !inside {
						t.Errorf("%s: %s contains %s, which only platform/ may contain", f.position(n), f.name, name)
					}
				}
			}
			return true
		})
	}
	if found == 0 {
		t.Error("no wire name was found; the list is out of date")
	}
}

// Guards against decision logic in the platform adapter, which only translates between protocols.
func TestPlatformAdapterImportsNoDecisions(t *testing.T) {
	files, module := parseRepository(t)
	for _, f := range files {
		if f.layer() != "platform" || f.isTest() {
			continue
		}
		for _, spec := range f.ast.Imports {
			for _, layer := range []string{"/coordination/", "/state/", "/internal/"} {
				if strings.HasPrefix(importPath(spec), module+layer) {
					t.Errorf("%s: platform must not import %s", f.position(spec), importPath(spec))
				}
			}
		}
	}
}
