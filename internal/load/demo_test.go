package load

import (
	"bytes"
	"context"
	"errors"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
)

// Guards against example settings that the programs reject.
func TestExampleSettingsAreValid(t *testing.T) {
	is := is.New(t)
	s, err := LoadSettings("../../examples/demo/load.json")
	is.NoErr(err)
	is.Equal(len(s.Entries), demoEntries)
	_, err = loadBenchSettings("../../examples/bench/load.json")
	is.NoErr(err)
	for _, pattern := range []string{"../../examples/demo/entry-*.json", "../../examples/bench/entry-*.json"} {
		files, err := filepath.Glob(pattern)
		is.NoErr(err)
		is.Equal(len(files), demoEntries)
		for _, file := range files {
			is.NoErr(settings.Load(file, settings.NewEntry()))
		}
	}
}

// Guards against a demo that fails although all answers are correct.
func TestDemoAcceptsCorrectAnswers(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, demoEntries)
	steps, err := RunDemo(context.Background(), &f.settings)
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(WriteDemo(&out, steps))
	is.True(bytes.Contains(out.Bytes(), []byte("1.00 (2 of 2 shards)")))
}

// Guards against a demo that reports success although an answer is wrong.
func TestDemoReportsWrongAnswers(t *testing.T) {
	for name, change := range map[string]func(*callerapi.SearchResponse){
		"not marked as replayed": func(r *callerapi.SearchResponse) { r.Replayed = false },
		"repeat differs": func(r *callerapi.SearchResponse) {
			if r.Replayed {
				r.Results = r.Results[:1]
			}
		},
		"not run by the issuer": func(r *callerapi.SearchResponse) { r.Entry = "entry-2" },
		"other service":         func(r *callerapi.SearchResponse) { r.Service = "bodega-1" },
		"shard named twice":     func(r *callerapi.SearchResponse) { r.Coverage.Searched = []int{0, 0} },
		"coverage overstated": func(r *callerapi.SearchResponse) {
			r.Coverage.NotSearched = []callerapi.NotSearched{{Shard: 2, Reason: callerapi.ReasonDeadline}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t, demoEntries)
			f.alterAnswer = change
			_, err := RunDemo(context.Background(), &f.settings)
			var failure *DemoFailure
			is.True(errors.As(err, &failure))
		})
	}
}
