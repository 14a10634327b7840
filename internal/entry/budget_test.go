package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// Guards against refusals that operators do not see, and against one log line for each of them.
func TestBudgetIsObserved(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	m := NewMetrics()
	h := newBudget(bytebudget.MinBytes, m, zerolog.New(&log)).Hold(bytebudget.Hosted)
	is.True(h.Acquire(1000))
	for range 3 {
		is.True(!h.Acquire(bytebudget.MinBytes))
	}
	is.True(strings.Contains(m.HeldBytes.String(), `"hosted":1000`))
	is.True(strings.Contains(m.GaveWay.String(), `"refused":3`))
	is.Equal(strings.Count(log.String(), "\n"), 1)
	is.True(strings.Contains(log.String(), `"reason":"refused","kind":"hosted"`))
}
