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
	"github.com/balsamstall/balsamstall/protocol/platformapi"
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
		"Prints the decisions of the entries about a request in order, the attempts for each shard, and the documents that the request used. " +
		"Text before the first brace of a line is ignored. " + exitCodes
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// logLine holds the fields of a log line that explain and load use. Others are ignored.
type logLine struct {
	Time      string `json:"time"`
	Entry     string `json:"entry"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// Fields of request lines.
	Service      string `json:"service"`
	Sheet        uint64 `json:"sheet"`
	Targets      uint64 `json:"targets"`
	Answered     int    `json:"answered"`
	Shards       int    `json:"shards"`
	TookMS       int64  `json:"took_ms"`
	GoalMS       int64  `json:"goal_ms"`
	DeadlineMS   int64  `json:"deadline_ms"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Attempts     string `json:"attempts"`
	// Offers lists the homes that a request was offered to, as "home+milliseconds=code".
	Offers  []string `json:"offers"`
	Code    string   `json:"code"`
	Outcome string   `json:"outcome"`
	// Fields of audit events and of lines about targets.
	Kind   string `json:"kind"`
	Actor  string `json:"actor"`
	Detail string `json:"detail"`
	Target string `json:"target"`
	// LimitPerS is the rate limit of a target, nil if the line has none.
	LimitPerS *float64 `json:"limit_per_s"`
}

// decision is one step of an explanation.
type decision struct {
	Time  string `json:"time"`
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// Run prints the decisions about the request. It fails if the log has no line for it.
func (c *ExplainCommand) Run(_ context.Context, out cli.Output) error {
	in, err := openLog(c.File)
	if err != nil {
		return err
	}
	defer in.Close()
	decisions, err := explain(in, c.RequestID)
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return status.New(status.NotFound, "", "the log has no line for request %s; requests answered in full within their latency goal are logged only at level debug", c.RequestID)
	}
	if c.JSON {
		return out.JSON(map[string][]decision{"decisions": decisions})
	}
	for _, d := range decisions {
		fmt.Fprintf(out, "%s %s: %s\n", d.Time, d.Entry, d.Text)
	}
	return nil
}

// explain returns the decisions about a request in the order of the log. The documents that an
// entry used for the request come before the decisions in that entry's line.
func explain(in io.Reader, id string) ([]decision, error) {
	type documentVersion struct {
		entry, key string
		revision   uint64
	}
	accepted := make(map[documentVersion]*logLine)
	var decisions []decision
	err := readLog(in, func(l *logLine) {
		if l.Kind == "document_accepted" {
			if key, _, revision, ok := parseDocument(l.Detail); ok {
				acceptance := *l
				accepted[documentVersion{l.Entry, key, revision}] = &acceptance
			}
			return
		}
		if l.RequestID != id {
			return
		}
		if l.Message == "request" {
			for key, revision := range map[string]uint64{"sheet": l.Sheet, "targets": l.Targets} {
				if acceptance, ok := accepted[documentVersion{l.Entry, key, revision}]; ok {
					decisions = append(decisions, acceptance.acceptance(l))
				}
			}
		}
		decisions = append(decisions, l.decisions()...)
	})
	return decisions, err
}

// acceptance returns the acceptance of a document that a request used, with the age of its oldest part when
// the request arrived. A list of a peer counts from its receipt.
func (l *logLine) acceptance(request *logLine) decision {
	key, version, _, _ := parseDocument(l.Detail)
	text := fmt.Sprintf("%s %s came into force, from %s", key, version, l.Actor)
	acceptedAt, err := time.Parse(time.RFC3339Nano, l.Time)
	loggedAt, requestErr := time.Parse(time.RFC3339Nano, request.Time)
	if key == platformapi.TargetsKey && err == nil && requestErr == nil {
		age := loggedAt.Sub(acceptedAt).Milliseconds() - request.TookMS
		var readBefore int64
		if _, detail, ok := strings.Cut(l.Detail, oldestPart); ok {
			fmt.Sscanf(detail, "%d ms before", &readBefore)
			text += fmt.Sprintf("; when the request arrived, its oldest part had been read %d ms before", age+readBefore)
		} else {
			text += fmt.Sprintf("; the request arrived %d ms later", age)
		}
	}
	return decision{l.Time, l.Entry, text}
}

// oldestPart precedes, in the detail of an acceptance, the time for which the oldest part was known.
const oldestPart = "oldest part read "

// parseDocument returns the key and the version of an accepted document. The version of a target list
// from a platform that counts the restores of its store names the era too.
func parseDocument(detail string) (key, version string, revision uint64, ok bool) {
	var era uint64
	if n, _ := fmt.Sscanf(detail, "%s era %d revision %d", &key, &era, &revision); n == 3 {
		return key, fmt.Sprintf("era %d revision %d", era, revision), revision, true
	}
	n, _ := fmt.Sscanf(detail, "%s revision %d", &key, &revision)
	return key, fmt.Sprintf("revision %d", revision), revision, n == 2
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

// readLog calls f for each line of a log that contains a JSON object. Text before the first brace
// of a line is ignored.
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
		return status.Wrap(err, status.InvalidArgument, "", "cannot read the log")
	}
	return nil
}

// decisions returns the decisions that the line records.
func (l *logLine) decisions() []decision {
	if len(l.Offers) > 0 || l.Message == detourMessage {
		return l.offerDecisions()
	}
	if l.Message != "request" {
		text := l.Message
		if l.Target != "" {
			text += ", target " + l.Target
		}
		if l.LimitPerS != nil {
			text += fmt.Sprintf(", %g requests a second", *l.LimitPerS)
		}
		return []decision{{l.Time, l.Entry, text}}
	}
	decisions := []decision{{l.Time, l.Entry, fmt.Sprintf("service %s with sheet %d and targets %d: goal %d ms, deadline %d ms",
		l.Service, l.Sheet, l.Targets, l.GoalMS, l.DeadlineMS)}}
	for attempt := range strings.FieldsSeq(l.Attempts) {
		decisions = append(decisions, decision{l.Time, l.Entry, "  " + parseAttempt(attempt).String()})
	}
	text := fmt.Sprintf("answered with %d of %d shards after %d ms", l.Answered, l.Shards, l.TookMS)
	if l.Code != "" {
		text = fmt.Sprintf("failed after %d ms: %s (%s), outcome %s, %d of %d shards", l.TookMS, l.Code, l.Detail, l.Outcome, l.Answered, l.Shards)
		if l.RetryAfterMS > 0 {
			text += fmt.Sprintf(", retry after %s", time.Duration(l.RetryAfterMS)*time.Millisecond)
		}
	}
	return append(decisions, decision{l.Time, l.Entry, text})
}

// detourMessage is the text of the log line about a request of an entry that reaches no target.
const detourMessage = "request offered to peers because this entry reaches no target"

// offerDecisions returns the decisions about a request that was offered to homes, or to peers because the
// entry reaches no target.
func (l *logLine) offerDecisions() []decision {
	var decisions []decision
	receiver, otherwise := "home", "no home accepted it; it runs on this entry"
	if l.Message == detourMessage {
		decisions = append(decisions, decision{l.Time, l.Entry, "this entry reaches no target"})
		receiver, otherwise = "peer", "no peer accepted it"
	}
	for _, offer := range l.Offers {
		name, rest, _ := strings.Cut(offer, "+")
		took, code, _ := strings.Cut(rest, "=")
		decisions = append(decisions, decision{l.Time, l.Entry, fmt.Sprintf("offered to %s %s, %s after %s ms", receiver, name, code, took)})
	}
	switch {
	case l.Code != "":
		decisions = append(decisions, decision{l.Time, l.Entry, fmt.Sprintf("failed at the %s: %s (%s), outcome %s", receiver, l.Code, l.Detail, l.Outcome)})
	case len(l.Offers) == 0 || !strings.HasSuffix(l.Offers[len(l.Offers)-1], "=ok"):
		decisions = append(decisions, decision{l.Time, l.Entry, otherwise})
	}
	return decisions
}
