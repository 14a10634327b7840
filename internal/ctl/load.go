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
	// Service keeps the output short.
	Service string `help:"Show this service only." placeholder:"NAME"`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*LoadCommand) Help() string {
	return "Example:\n\n  cat *.log | balsam-ctl load - --every 500ms\n\n" +
		"Prints, for each interval, how the requests of each service ended and why they were refused, and for each shard and target " +
		"the attempts, the mean number in flight, the median and the 90th percentile of the replies, hedges, refusals, attempts " +
		"without a reply, and what was left out. Entries write a line for each request only with log_level debug, and as many as " +
		"request_lines_per_second allows. " + exitCodes
}

// Run runs the command.
func (c *LoadCommand) Run(_ context.Context, out cli.Output) error {
	if c.Every <= 0 {
		return &cli.UsageError{Message: "--every must be above 0"}
	}
	in, err := openLog(c.File)
	if err != nil {
		return err
	}
	defer in.Close()
	intervals, err := loadOf(in, c.Every, c.Service)
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

// loadInterval is what happened in one interval.
type loadInterval struct {
	Start    time.Time               `json:"start"`
	Services map[string]*serviceLoad `json:"services"`
	Targets  []*targetLoad           `json:"targets"`

	length  time.Duration
	targets map[string]*targetLoad
}

// serviceLoad counts the requests of a service by their end.
type serviceLoad struct {
	Whole   int `json:"whole"`
	Partial int `json:"partial"`
	Late    int `json:"late"`
	// Failed counts by code and detail.
	Failed map[string]int `json:"failed,omitempty"`
}

// targetLoad is what a target did for a shard of a service. Target is empty for what was
// not sent.
type targetLoad struct {
	Service  string  `json:"service"`
	Shard    string  `json:"shard"`
	Target   string  `json:"target,omitempty"`
	Attempts int     `json:"attempts"`
	Hedges   int     `json:"hedges,omitempty"`
	InFlight float64 `json:"in_flight"`
	P50MS    int64   `json:"p50_ms"`
	P90MS    int64   `json:"p90_ms"`
	// Other counts the attempts without a good reply by code, and what was left out by
	// cause.
	Other map[string]int `json:"other,omitempty"`

	replies []time.Duration
}

// unanswered is the time in flight that an attempt without a known end counts for.
const unanswered = 100 * time.Millisecond

// loadOf reads a log.
func loadOf(in io.Reader, every time.Duration, service string) ([]*loadInterval, error) {
	by := make(map[time.Time]*loadInterval)
	at := func(t time.Time) *loadInterval {
		start := t.Truncate(every)
		i := by[start]
		if i == nil {
			i = &loadInterval{Start: start, length: every, Services: make(map[string]*serviceLoad), targets: make(map[string]*targetLoad)}
			by[start] = i
		}
		return i
	}
	err := readLog(in, func(l *logLine) {
		end, err := time.Parse(time.RFC3339Nano, l.Time)
		if l.Message != "request" || err != nil || service != "" && l.Service != service {
			return
		}
		arrival := end.Add(-time.Duration(l.TookMS) * time.Millisecond)
		at(arrival).request(l)
		for text := range strings.FieldsSeq(l.Attempts) {
			if a := parseAttempt(text); a.shard != "" {
				began := arrival.Add(a.began)
				at(began).attempt(l.Service, a)
				for t := began; a.target != "" && t.Before(began.Add(a.length())); t = t.Truncate(every).Add(every) {
					at(t).inFlight(l.Service, a, t, began.Add(a.length()))
				}
			}
		}
	})
	intervals := slices.SortedFunc(maps.Values(by), func(a, b *loadInterval) int { return a.Start.Compare(b.Start) })
	for _, i := range intervals {
		i.finish()
	}
	return intervals, err
}

func (a loggedAttempt) length() time.Duration {
	if a.took < 0 {
		return unanswered
	}
	return a.took
}

func (i *loadInterval) request(l *logLine) {
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

func (i *loadInterval) target(service string, a loggedAttempt) *targetLoad {
	key := service + " " + a.shard + " " + a.target
	t := i.targets[key]
	if t == nil {
		t = &targetLoad{Service: service, Shard: a.shard, Target: a.target, Other: make(map[string]int)}
		i.targets[key] = t
	}
	return t
}

func (i *loadInterval) attempt(service string, a loggedAttempt) {
	t := i.target(service, a)
	switch {
	case a.target == "":
		t.Other[a.cause]++
		return
	case a.took < 0:
		t.Other["no reply"]++
	case a.code == "ok":
		t.replies = append(t.replies, a.took)
	default:
		t.Other[a.code]++
	}
	t.Attempts++
	if a.cause == "hedge" {
		t.Hedges++
	}
}

// inFlight adds the part of an attempt from a time in the interval to its end.
func (i *loadInterval) inFlight(service string, a loggedAttempt, from, end time.Time) {
	if last := i.Start.Add(i.length); end.After(last) {
		end = last
	}
	i.target(service, a).InFlight += end.Sub(from).Seconds() / i.length.Seconds()
}

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

func (i *loadInterval) print(out io.Writer) {
	fmt.Fprintf(out, "%s\n", i.Start.Format("15:04:05.000"))
	for _, name := range slices.Sorted(maps.Keys(i.Services)) {
		s := i.Services[name]
		fmt.Fprintf(out, "  %s: whole %d, partial %d, late %d%s\n", name, s.Whole, s.Partial, s.Late, counts(s.Failed))
	}
	for _, t := range i.Targets {
		if t.Target == "" {
			fmt.Fprintf(out, "    %s shard %s not sent%s\n", t.Service, t.Shard, counts(t.Other))
			continue
		}
		fmt.Fprintf(out, "    %s shard %s %s: %d attempts, %.1f in flight, p50 %d ms, p90 %d ms, %d hedges%s\n",
			t.Service, t.Shard, t.Target, t.Attempts, t.InFlight, t.P50MS, t.P90MS, t.Hedges, counts(t.Other))
	}
}

// counts lists numbers by name, the names in order.
func counts(m map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("; %d %s", m[name], name)
	}
	return text
}
