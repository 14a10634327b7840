package inputs

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards the first command of the README: the four real programs answer the demo queries as
// expected and exit by themselves.
func TestDemo(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command("bash", "../../scripts/demo.sh", binaries).CombinedOutput()
	t.Logf("%s", out)
	is.NoErr(err)
	is.Equal(strings.Count(string(out), "as expected"), 9)
}
