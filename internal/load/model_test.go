package load

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/cli"
)

// Guards against a model that simulates a different load than it prints, and against callers that
// are missing from the counts.
func TestModelSimulatesTheRequestedLoads(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := ModelCommand{Loads: []string{"calm", "shed"}, Entries: 2, Seeds: 2, Length: 200 * time.Millisecond, JSON: true}
	is.NoErr(c.Run(context.Background(), cli.Output{Writer: &out}))
	var got struct{ Loads []modelResult }
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(len(got.Loads), 2)
	for i, name := range c.Loads {
		wide := got.Loads[i].Kinds["wide"]
		is.Equal(got.Loads[i].Load, name)
		is.True(wide.Callers > 0)
		is.Equal(wide.Callers, wide.WithinGoal+wide.WithinRetryGoal+wide.Late+wide.Refused+wide.Failed)
	}
	is.True((&ModelCommand{Loads: []string{"none"}, Entries: 1, Seeds: 1}).Run(context.Background(), cli.Output{Writer: &out}) != nil)
	is.True((&ModelCommand{Entries: 0, Seeds: 1}).Run(context.Background(), cli.Output{Writer: &out}) != nil)
}
