package index

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

func loadDemo(t *testing.T) (*Document, *sheet.Sheet) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("../../examples/demo/index.json")
	is.NoErr(err)
	d, err := Parse(data)
	is.NoErr(err)
	data, err = os.ReadFile("../../examples/demo/sheet.json")
	is.NoErr(err)
	s, err := sheet.Parse(data)
	is.NoErr(err)
	return d, s
}

func faultPaths(faults []Fault) []string {
	var out []string
	for _, f := range faults {
		out = append(out, f.Path)
	}
	return out
}

// Guards against a demo index that is inconsistent with the demo sheet.
func TestDemoIndexFitsTheDemoSheet(t *testing.T) {
	is := is.New(t)
	d, s := loadDemo(t)
	is.Equal(faultPaths(d.CheckAgainst(s)), nil)
}

// Guards against a check that stops at the first fault or reports the wrong path.
func TestCheckNamesEveryFault(t *testing.T) {
	is := is.New(t)
	d, s := loadDemo(t)
	d.Revision = 0
	d.Services[0].Name = "no-such-service"
	d.Services[1].Snapshots = append(d.Services[1].Snapshots, d.Services[1].Snapshots[0])
	d.Services[2].Snapshots[0].Shards[1] = []string{"vitrina-1-target-1", "vitrina-1-target-1"}
	d.Services[3].Snapshots = []Snapshot{{Snapshot: ids.Snapshot{IndexVersion: 2}}}
	is.Equal(faultPaths(d.Check()), []string{
		"revision", "services[1].snapshots[1]", "services[2].snapshots[0].shards[1][1]",
		"services[3].snapshots[0].shard_map_epoch", "services[3].snapshots[0].shards",
	})

	d.Services[2].Snapshots[0].Shards[0][0] = "no-such-target"
	s.Services[1].Limits.MaxFanout = 1
	is.Equal(faultPaths(d.CheckAgainst(s)), []string{
		"services[0].name", "services[1].snapshots[0].shards", "services[1].snapshots[1].shards",
		"services[2].snapshots[0].shards[0][0]",
	})
}
