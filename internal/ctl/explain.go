package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// ExplainCommand is "balsam-ctl explain".
type ExplainCommand struct {
	File      string `arg:"" help:"Log of one or more entries, one JSON object a line; - reads standard input."`
	RequestID string `arg:"" help:"Id of the request." name:"request-id"`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*ExplainCommand) Help() string {
	return "Examples:\n\n  balsam-ctl explain entry-1.log 9c41d07be2a35f68\n\n  cat *.log | balsam-ctl explain - 9c41d07be2a35f68 --json\n\n" +
		"Prints what the entries decided about a request in order, the attempts of each shard, and the documents that it read. " +
		"Text before the first brace of a line is ignored. " + exitCodes
}

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

// logLine is what explain reads of a line. Unknown fields are ignored.
type logLine struct {
	Time      string `json:"time"`
	Entry     string `json:"entry"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// Fields of a request's line.
	Service    string `json:"service"`
	Sheet      uint64 `json:"sheet"`
	Targets    uint64 `json:"targets"`
	Answered   int    `json:"answered"`
	Shards     int    `json:"shards"`
	TookMS     int64  `json:"took_ms"`
	GoalMS     int64  `json:"goal_ms"`
	DeadlineMS int64  `json:"deadline_ms"`
	RetryMS    int64  `json:"retry_after_ms"`
	Attempts   string `json:"attempts"`
	// Offers lists the homes of a forwarded request as "home+milliseconds=code".
	Offers  []string `json:"offers"`
	Code    string   `json:"code"`
	Outcome string   `json:"outcome"`
	// Fields of audit events and of lines about targets.
	Kind   string `json:"kind"`
	Actor  string `json:"actor"`
	Detail string `json:"detail"`
	Target string `json:"target"`
}

// decision is one step of an explanation.
type decision struct {
	Time  string `json:"time"`
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// Run runs the command.
func (c *ExplainCommand) Run(_ context.Context, out cli.Output) error {
	in, err := openLog(c.File)
	if err != nil {
		return err
	}
	defer in.Close()
	steps, err := explain(in, c.RequestID)
	if err != nil {
		return err
	}
	if len(steps) == 0 {
		return status.New(status.NotFound, "", "no line names request %s; requests that were answered in full within their goal have none", c.RequestID)
	}
	if c.JSON {
		return out.JSON(map[string][]decision{"decisions": steps})
	}
	for _, s := range steps {
		fmt.Fprintf(out, "%s %s: %s\n", s.Time, s.Entry, s.Text)
	}
	return nil
}

// explain returns the decisions about a request, in the order of the log. The
// documents that it read come before its first line.
func explain(in io.Reader, id string) ([]decision, error) {
	type version struct {
		entry, key string
		revision   uint64
	}
	accepted := make(map[version]decision)
	var steps []decision
	err := readLog(in, func(l *logLine) {
		if l.Kind == "document_accepted" {
			var v version
			if n, _ := fmt.Sscanf(l.Detail, "%s revision %d", &v.key, &v.revision); n == 2 {
				v.entry = l.Entry
				accepted[v] = decision{l.Time, l.Entry, fmt.Sprintf("%s revision %d came into force, from %s", v.key, v.revision, l.Actor)}
			}
			return
		}
		if l.RequestID != id {
			return
		}
		if l.Message == "request" {
			for key, revision := range map[string]uint64{"sheet": l.Sheet, "targets": l.Targets} {
				if d, ok := accepted[version{l.Entry, key, revision}]; ok {
					steps = append(steps, d)
				}
			}
		}
		steps = append(steps, l.decisions()...)
	})
	return steps, err
}

// openLog opens a log file, or standard input for "-".
func openLog(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &cli.UsageError{Message: err.Error()}
	}
	return f, nil
}

// readLog calls f for each line of a log. Text before the first brace of a line is
// ignored, and so are lines that hold no JSON object.
func readLog(in io.Reader, f func(*logLine)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		var l logLine
		if brace >= 0 && json.Unmarshal([]byte(text[brace:]), &l) == nil {
			f(&l)
		}
	}
	if err := scanner.Err(); err != nil {
		return status.Wrap(err, status.InvalidArgument, "", "reading the log")
	}
	return nil
}

// decisions returns the steps that one line tells.
func (l *logLine) decisions() []decision {
	if len(l.Offers) > 0 {
		return l.offers()
	}
	if l.Message != "request" {
		text := l.Message
		if l.Target != "" {
			text += ", target " + l.Target
		}
		return []decision{{l.Time, l.Entry, text}}
	}
	steps := []decision{{l.Time, l.Entry, fmt.Sprintf("service %s with sheet %d and targets %d: goal %d ms, deadline %d ms",
		l.Service, l.Sheet, l.Targets, l.GoalMS, l.DeadlineMS)}}
	for attempt := range strings.FieldsSeq(l.Attempts) {
		steps = append(steps, decision{l.Time, l.Entry, "  " + parseAttempt(attempt).String()})
	}
	text := fmt.Sprintf("answered with %d of %d shards after %d ms", l.Answered, l.Shards, l.TookMS)
	if l.Code != "" {
		text = fmt.Sprintf("failed after %d ms: %s (%s), outcome %s, %d of %d shards", l.TookMS, l.Code, l.Detail, l.Outcome, l.Answered, l.Shards)
		if l.RetryMS > 0 {
			text += fmt.Sprintf(", come back in %s", time.Duration(l.RetryMS)*time.Millisecond)
		}
	}
	return append(steps, decision{l.Time, l.Entry, text})
}

// offers returns the steps of a request that was offered to homes.
func (l *logLine) offers() []decision {
	var steps []decision
	for _, offer := range l.Offers {
		home, rest, _ := strings.Cut(offer, "+")
		took, code, _ := strings.Cut(rest, "=")
		steps = append(steps, decision{l.Time, l.Entry, fmt.Sprintf("offered to home %s, %s after %s ms", home, code, took)})
	}
	switch {
	case l.Code != "":
		steps = append(steps, decision{l.Time, l.Entry, fmt.Sprintf("failed at the home: %s (%s), outcome %s", l.Code, l.Detail, l.Outcome)})
	case !strings.HasSuffix(l.Offers[len(l.Offers)-1], "=ok"):
		steps = append(steps, decision{l.Time, l.Entry, "no home has taken it; it runs here"})
	}
	return steps
}
