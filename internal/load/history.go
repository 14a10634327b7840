package load

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxHistoryLineBytes limits the length of a line of a history. A line holds one send with its
// coverage, which lists the shards.
const maxHistoryLineBytes = 4 << 20

// maxHistoryTime limits the send times in a history. A run lasts at most an hour.
const maxHistoryTime = 24 * time.Hour

// maxIntervals limits the points of a timeline. An hour in intervals of one second has 3,600.
const maxIntervals = 100_000

// ReadHistory reads a file written by WriteHistory. The error is a *status.Error.
func ReadHistory(path string) ([]*Observation, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "open the history %s", path)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxHistoryLineBytes)
	var observations []*Observation
	for n := 1; lines.Scan(); n++ {
		o := &Observation{}
		if err := json.Unmarshal(lines.Bytes(), o); err != nil {
			return nil, status.Wrap(err, status.InvalidArgument, "", "line %d of the history %s", n, path)
		}
		observations = append(observations, o)
	}
	if err := lines.Err(); err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "read the history %s", path)
	}
	return observations, nil
}

// Point summarizes the requests whose intended send time is within one interval.
type Point struct {
	// At is the start of the interval since the start of the run.
	At time.Duration
	// Requests is Answered + Refused + Lost.
	Requests, Answered, Refused, Lost int
	// Sends counts all sends, including those that fetch a permit or repeat a request.
	Sends int
	// P50, P99 and Max are the latencies of the answers in milliseconds, measured from the
	// intended send time.
	P50, P99, Max float64
	// Coverage and MinCoverage are the mean and the minimum coverage ratio of the answers, from 0
	// to 1. Both are 1 without answers.
	Coverage, MinCoverage float64
}

// Timeline summarizes a history in intervals of the given length. Requests that the load tool did
// not send count as lost, because their callers got no answer. The error is a *status.Error.
func Timeline(observations []*Observation, interval time.Duration) ([]Point, error) {
	if interval <= 0 {
		return nil, status.New(status.InvalidArgument, "", "the interval %s must be above 0", interval)
	}
	last := time.Duration(0)
	for _, o := range observations {
		if o.IntendedUS < 0 || o.IntendedUS > maxHistoryTime.Microseconds() {
			return nil, status.New(status.InvalidArgument, "", "request %d has the send time %d us, which is not from 0 to %s", o.Sequence, o.IntendedUS, maxHistoryTime)
		}
		last = max(last, time.Duration(o.IntendedUS)*time.Microsecond)
	}
	count := int(last/interval) + 1
	if count > maxIntervals {
		return nil, status.New(status.InvalidArgument, "", "%d intervals of %s exceed the limit of %d", count, interval, maxIntervals)
	}
	points := make([]Point, count)
	latencies := make([]*hdrhistogram.Histogram, count)
	for i := range points {
		points[i] = Point{At: time.Duration(i) * interval, MinCoverage: 1}
		latencies[i] = hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures)
	}
	for _, o := range observations {
		i := int(time.Duration(o.IntendedUS) * time.Microsecond / interval)
		points[i].add(o, latencies[i])
	}
	for i := range points {
		p, q := &points[i], quantiles(latencies[i])
		p.P50, p.P99, p.Max = q.P50, q.P99, q.Max
		if p.Answered > 0 {
			p.Coverage /= float64(p.Answered)
		} else {
			p.Coverage = 1
		}
	}
	return points, nil
}

func (p *Point) add(o *Observation, latency *hdrhistogram.Histogram) {
	p.Sends++
	if !o.Final {
		return
	}
	p.Requests++
	switch {
	case o.Coverage != nil:
		p.Answered++
		p.Coverage += o.Coverage.Ratio
		p.MinCoverage = min(p.MinCoverage, o.Coverage.Ratio)
		recordLatency(latency, o.DoneUS-o.IntendedUS)
	case o.HTTPStatus != 0:
		p.Refused++
	default:
		p.Lost++
	}
}
