package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// LoadCommand is "balsam-ctl load".
type LoadCommand struct {
	File  string        `arg:"" help:"Log of one or more entries, one JSON object a line; - reads standard input."`
	Every time.Duration `help:"Length of the intervals." default:"1s"`
	// Service limits the output to one service.
	Service string `help:"Show this service only." placeholder:"NAME"`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*LoadCommand) Help() string {
	return "Example:\n\n  cat *.log | balsam-ctl load - --every 500ms\n\n" +
		"Prints, for each interval, how the requests of each service ended and why they were refused, and for each shard and target " +
		"the attempts, the mean number in flight, the median and the 90th percentile of the reply times, hedges, refusals, attempts " +
		"without a reply, and attempts that were not sent. Entries log every request only with log_level debug, and no more " +
		"lines than request_lines_per_second allows. " + exitCodes
}

// Run prints the load by interval. It fails if the log has no line of a request.
func (c *LoadCommand) Run(_ context.Context, out cli.Output) error {
	if c.Every <= 0 {
		return &cli.UsageError{Message: "--every must be above 0"}
	}
	in, err := openLog(c.File)
	if err != nil {
		return err
	}
	defer in.Close()
	intervals, err := aggregateLoad(in, c.Every, c.Service)
	if err != nil {
		return err
	}
	if len(intervals) == 0 {
		return status.New(status.NotFound, "", "the log has no line of a request")
	}
	if c.JSON {
		return out.JSON(map[string][]*loadInterval{"intervals": intervals})
	}
	for _, i := range intervals {
		i.print(out)
	}
	return nil
}

// loadInterval holds the load of one interval.
type loadInterval struct {
	Start    time.Time               `json:"start"`
	Services map[string]*serviceLoad `json:"services"`
	Targets  []*targetLoad           `json:"targets"`

	length  time.Duration
	targets map[string]*targetLoad
}

// serviceLoad counts the requests of a service by their result.
type serviceLoad struct {
	Whole   int `json:"whole"`
	Partial int `json:"partial"`
	Late    int `json:"late"`
	// Failed counts failed requests by code and detail.
	Failed map[string]int `json:"failed,omitempty"`
}

// targetLoad holds the load of one target for one shard of a service. Target is empty for attempts
// that were not sent.
type targetLoad struct {
	Service  string  `json:"service"`
	Shard    string  `json:"shard"`
	Target   string  `json:"target,omitempty"`
	Attempts int     `json:"attempts"`
	Hedges   int     `json:"hedges,omitempty"`
	InFlight float64 `json:"in_flight"`
	P50MS    int64   `json:"p50_ms"`
	P90MS    int64   `json:"p90_ms"`
	// Other counts the attempts that failed by code, and the attempts that were not sent by
	// cause.
	Other map[string]int `json:"other,omitempty"`

	replies []time.Duration
}

// assumedTimeInFlight is the time in flight that is assumed for an attempt without a known end.
const assumedTimeInFlight = 100 * time.Millisecond

// aggregateLoad reads a log and returns the load by interval, ordered by time. Intervals without
// requests or attempts are left out. If service is not empty, other services are left out.
func aggregateLoad(in io.Reader, length time.Duration, service string) ([]*loadInterval, error) {
	byStart := make(map[time.Time]*loadInterval)
	intervalAt := func(t time.Time) *loadInterval {
		start := t.Truncate(length)
		i := byStart[start]
		if i == nil {
			i = &loadInterval{Start: start, length: length, Services: make(map[string]*serviceLoad), targets: make(map[string]*targetLoad)}
			byStart[start] = i
		}
		return i
	}
	err := readLog(in, func(l *logLine) {
		end, err := time.Parse(time.RFC3339Nano, l.Time)
		if l.Message != "request" || err != nil || service != "" && l.Service != service {
			return
		}
		arrival := end.Add(-time.Duration(l.TookMS) * time.Millisecond)
		intervalAt(arrival).addRequest(l)
		for text := range strings.FieldsSeq(l.Attempts) {
			if a := parseAttempt(text); a.shard != "" {
				start := arrival.Add(a.start)
				intervalAt(start).addAttempt(l.Service, a)
				for t := start; a.target != "" && t.Before(start.Add(a.timeInFlight())); t = t.Truncate(length).Add(length) {
					intervalAt(t).addInFlight(l.Service, a, t, start.Add(a.timeInFlight()))
				}
			}
		}
	})
	intervals := slices.SortedFunc(maps.Values(byStart), func(a, b *loadInterval) int { return a.Start.Compare(b.Start) })
	for _, i := range intervals {
		i.finish()
	}
	return intervals, err
}

// timeInFlight returns the duration of the attempt, or assumedTimeInFlight if it is unknown.
func (a loggedAttempt) timeInFlight() time.Duration {
	if a.duration < 0 {
		return assumedTimeInFlight
	}
	return a.duration
}

// addRequest counts a request, classified by its result.
func (i *loadInterval) addRequest(l *logLine) {
	s := i.Services[l.Service]
	if s == nil {
		s = &serviceLoad{Failed: make(map[string]int)}
		i.Services[l.Service] = s
	}
	switch {
	case l.Code != "":
		s.Failed[l.Code+": "+l.Detail]++
	case l.GoalMS > 0 && l.TookMS > l.GoalMS:
		s.Late++
	case l.Answered < l.Shards:
		s.Partial++
	default:
		s.Whole++
	}
}

// loadOfTarget returns the load of the target of an attempt, which it adds if it is missing.
func (i *loadInterval) loadOfTarget(service string, a loggedAttempt) *targetLoad {
	key := service + " " + a.shard + " " + a.target
	t := i.targets[key]
	if t == nil {
		t = &targetLoad{Service: service, Shard: a.shard, Target: a.target, Other: make(map[string]int)}
		i.targets[key] = t
	}
	return t
}

// addAttempt counts an attempt that started in the interval, or one that was not sent.
func (i *loadInterval) addAttempt(service string, a loggedAttempt) {
	t := i.loadOfTarget(service, a)
	switch {
	case a.target == "":
		t.Other[a.cause]++
		return
	case a.duration < 0:
		t.Other["no reply"]++
	case a.code == "ok":
		t.replies = append(t.replies, a.duration)
	default:
		t.Other[a.code]++
	}
	t.Attempts++
	if a.cause == "hedge" {
		t.Hedges++
	}
}

// addInFlight adds the time for which an attempt is in flight in this interval, as a fraction of the
// interval. from lies in the interval; end may lie after it.
func (i *loadInterval) addInFlight(service string, a loggedAttempt, from, end time.Time) {
	if intervalEnd := i.Start.Add(i.length); end.After(intervalEnd) {
		end = intervalEnd
	}
	i.loadOfTarget(service, a).InFlight += end.Sub(from).Seconds() / i.length.Seconds()
}

// finish sorts the targets and computes their percentiles.
func (i *loadInterval) finish() {
	i.Targets = slices.SortedFunc(maps.Values(i.targets), func(a, b *targetLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(len(a.Shard), len(b.Shard)), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Target, b.Target))
	})
	for _, t := range i.Targets {
		if n := len(t.replies); n > 0 {
			slices.Sort(t.replies)
			t.P50MS, t.P90MS = t.replies[n/2].Milliseconds(), t.replies[n*9/10].Milliseconds()
		}
	}
}

// print writes the interval as text.
func (i *loadInterval) print(out io.Writer) {
	fmt.Fprintf(out, "%s\n", i.Start.Format("15:04:05.000"))
	for _, name := range slices.Sorted(maps.Keys(i.Services)) {
		s := i.Services[name]
		fmt.Fprintf(out, "  %s: whole %d, partial %d, late %d%s\n", name, s.Whole, s.Partial, s.Late, formatCounts(s.Failed))
	}
	for _, t := range i.Targets {
		if t.Target == "" {
			fmt.Fprintf(out, "    %s shard %s not sent%s\n", t.Service, t.Shard, formatCounts(t.Other))
			continue
		}
		fmt.Fprintf(out, "    %s shard %s %s: %d attempts, %.1f in flight, p50 %d ms, p90 %d ms, %d hedges%s\n",
			t.Service, t.Shard, t.Target, t.Attempts, t.InFlight, t.P50MS, t.P90MS, t.Hedges, formatCounts(t.Other))
	}
}

// formatCounts formats counts as "; count name", sorted by name.
func formatCounts(m map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("; %d %s", m[name], name)
	}
	return text
}
