package load

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

func answered(at, latency time.Duration, ratio float64) *Observation {
	return &Observation{Step: stepSearch, Final: true, IntendedUS: at.Microseconds(), DoneUS: (at + latency).Microseconds(),
		HTTPStatus: 200, Coverage: &callerapi.Coverage{Ratio: ratio}}
}

// Guards against requests that are counted in the wrong interval or under the wrong outcome, and
// against sends that fetch a permit being counted as requests.
func TestTimelineCountsEachRequestOnce(t *testing.T) {
	is := is.New(t)
	points, err := Timeline([]*Observation{
		answered(100*time.Millisecond, 50*time.Millisecond, 1),
		answered(900*time.Millisecond, 2*time.Second, 0.5), // Sent in the first interval, answered in a later one.
		{Step: stepPermit, IntendedUS: 1_500_000, HTTPStatus: 428},
		{Step: stepUse, Final: true, IntendedUS: 1_500_000, HTTPStatus: 503, Code: status.Overloaded},
		{Step: stepSearch, Final: true, IntendedUS: 3_000_000, Error: "connection reset"},
	}, time.Second)
	is.NoErr(err)
	is.Equal(len(points), 4)
	first, second, third, last := points[0], points[1], points[2], points[3]
	is.Equal([]int{first.Requests, first.Answered, first.Refused, first.Lost}, []int{2, 2, 0, 0})
	is.Equal([]float64{first.Coverage, first.MinCoverage}, []float64{0.75, 0.5})
	is.True(first.Max > 1999 && first.Max < 2010)
	is.Equal([]int{second.Requests, second.Sends, second.Refused}, []int{1, 2, 1})
	is.Equal([]float64{third.Coverage, third.MinCoverage}, []float64{1, 1})
	is.Equal([]int{last.Requests, last.Lost}, []int{1, 1})
}

// Guards against a report that is not well-formed XML or lacks a series.
func TestReportIsOneWellFormedImage(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	history, report := filepath.Join(dir, "history.jsonl"), filepath.Join(dir, "report.svg")
	is.NoErr(WriteHistory(history, []*Observation{answered(0, 10*time.Millisecond, 1), answered(time.Second, 20*time.Millisecond, 0.9)}))
	var out bytes.Buffer
	is.Equal(cli.Run(context.Background(), &Commands{}, "balsam-load", "", []string{"report", history, "--out", report}, &out, io.Discard), 0)
	image, err := os.ReadFile(report)
	is.NoErr(err)
	for d := xml.NewDecoder(bytes.NewReader(image)); ; {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range panels(time.Second) {
		is.True(strings.Contains(string(image), p.title))
		for _, s := range p.lines {
			is.True(strings.Contains(string(image), ">"+s.name+"<"))
		}
	}
}

// Guards against faulty histories that crash the program, make it run endlessly or yield an empty
// image.
func TestFaultyHistoriesAreRefused(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"empty":           "",
		"not JSON":        "{\n",
		"negative time":   `{"intended_us": -1}` + "\n",
		"too late a time": `{"intended_us": 9000000000000000000}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(dir, "history")
			is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			code := cli.Run(context.Background(), &Commands{}, "balsam-load", "", []string{"report", path, "--out", filepath.Join(dir, "r.svg")}, io.Discard, io.Discard)
			is.Equal(code, 2)
		})
	}
}
