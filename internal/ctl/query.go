package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/internal/load"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// QueryCommand is "balsam-ctl query".
type QueryCommand struct {
	Entry    string        `help:"Caller address of the entry as IP:port." required:"" placeholder:"IP:PORT"`
	Service  string        `help:"Service to query." required:""`
	Query    string        `arg:"" help:"Query text."`
	KeyFile  string        `help:"File that holds the caller's key. The default is the variable BALSAM_CALLER_KEY." placeholder:"FILE"`
	Deadline time.Duration `help:"Deadline of the request." default:"2s"`
	Permit   string        `help:"Permit for a service whose repeat rule is at_most_once."`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*QueryCommand) Help() string {
	return "Example:\n\n  BALSAM_CALLER_KEY=demo-key-asan-buyer-not-a-secret \\\n" +
		"    balsam-ctl query --entry 127.0.0.1:17011 --service quote-desk-1 'jig plate'\n\n" +
		"A refusal is printed with its outcome and its permit, if it has one, and the exit code is 1. " + exitCodes
}

// Run sends the search and prints the answer. A refusal is returned as a *status.Error.
func (c *QueryCommand) Run(ctx context.Context, out cli.Output) error {
	if err := checkAddress(c.Entry); err != nil {
		return err
	}
	if c.Deadline < time.Millisecond {
		return &cli.UsageError{Message: fmt.Sprintf("--deadline %s must be at least 1ms", c.Deadline)}
	}
	key, err := readKey(c.KeyFile, callerKeyVariable)
	if err != nil {
		return err
	}
	client := load.NewClient()
	defer client.Close()
	answer := client.Search(ctx, c.Entry, key, &callerapi.SearchRequest{
		Service: c.Service, Query: c.Query, DeadlineMS: c.Deadline.Milliseconds(), Permit: c.Permit,
	})
	switch {
	case answer.Err != nil:
		return answer.Err
	case answer.Refusal != nil:
		return c.reportRefusal(out, answer.Refusal)
	case c.JSON:
		return out.JSON(answer.Response)
	default:
		return writeAnswer(out, answer.Response)
	}
}

// reportRefusal prints a refusal and returns it as a *status.Error.
func (c *QueryCommand) reportRefusal(out cli.Output, r *callerapi.ErrorResponse) error {
	if c.JSON {
		if err := out.JSON(r); err != nil {
			return err
		}
	} else if r.Permit != "" {
		fmt.Fprintf(out, "permit: %s\n", r.Permit)
	}
	err := status.New(r.Code, r.Outcome, "%s (outcome %s)", r.Message, r.Outcome)
	if r.RetryAfterMS > 0 {
		return err.WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
	}
	return err
}

func writeAnswer(out io.Writer, r *callerapi.SearchResponse) error {
	total := len(r.Coverage.Searched) + len(r.Coverage.NotSearched)
	contract := "met"
	if !r.Coverage.ContractMet {
		contract = "missed"
	}
	t := newTable(out)
	fmt.Fprintf(t, "request\t%s\n", r.RequestID)
	fmt.Fprintf(t, "outcome\t%s\n", r.Outcome)
	fmt.Fprintf(t, "run by\t%s\n", r.Entry)
	fmt.Fprintf(t, "replayed\t%s\n", yesOrNo(r.Replayed))
	fmt.Fprintf(t, "snapshot\tindex version %d, shard map epoch %d\n", r.Snapshot.IndexVersion, r.Snapshot.ShardMapEpoch)
	fmt.Fprintf(t, "sheet revision\t%d\n", r.SheetRevision)
	fmt.Fprintf(t, "coverage\t%.4f, %d of %d shards searched, contract %s\n", r.Coverage.Ratio, len(r.Coverage.Searched), total, contract)
	for _, n := range r.Coverage.NotSearched {
		fmt.Fprintf(t, "not searched\tshard %d: %s\n", n.Shard, n.Reason)
	}
	fmt.Fprintf(t, "results\t%d\n", len(r.Results))
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "SCORE\tSHARD\tID\tBODY")
	for _, hit := range r.Results {
		fmt.Fprintf(t, "%.4f\t%d\t%s\t%s\n", hit.Score, hit.Shard, hit.ID, hit.Body)
	}
	return t.Flush()
}
