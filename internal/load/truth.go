package load

import (
	"context"
	"fmt"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// groundTruth is what the stand-in targets recorded during one run.
type groundTruth struct {
	// started is the number of attempts that started.
	started uint64
	// complete reports that no attempt is missing from the records.
	complete bool
	// byRequestID holds the attempts by request id.
	byRequestID map[string][]attempt
	// byQuery holds the attempts of at_most_once requests by queryKey.
	byQuery map[string][]attempt
}

// baseline is the number of attempts that each target started before a run.
type baseline map[string]uint64

func (c *controlClient) startedAttempts(ctx context.Context, addresses []string) (baseline, error) {
	before := baseline{}
	for _, address := range addresses {
		records, err := c.records(ctx, address)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			before[r.Target] = r.Started
		}
	}
	return before, nil
}

// attemptsSince returns the attempts that started after the baseline.
func (c *controlClient) attemptsSince(ctx context.Context, addresses []string, before baseline) (*groundTruth, error) {
	truth := &groundTruth{complete: true, byRequestID: map[string][]attempt{}, byQuery: map[string][]attempt{}}
	for _, address := range addresses {
		records, err := c.records(ctx, address)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			truth.add(r, before[r.Target])
		}
	}
	return truth, nil
}

func (g *groundTruth) add(r targetRecord, before uint64) {
	started := r.Started - before
	g.started += started
	if uint64(len(r.Attempts)) < started {
		g.complete = false
		started = uint64(len(r.Attempts))
	}
	for _, a := range r.Attempts[uint64(len(r.Attempts))-started:] {
		g.byRequestID[a.RequestID] = append(g.byRequestID[a.RequestID], a)
		if a.AtMostOnce {
			key := queryKey(a.Service, a.Query)
			g.byQuery[key] = append(g.byQuery[key], a)
		}
	}
}

func queryKey(service, query string) string { return service + "|" + query }

// contradictions returns the claims of the observation that contradict the targets' records.
func (g *groundTruth) contradictions(o *Observation) []string {
	var violations []string
	attempts := g.byRequestID[o.RequestID]
	switch {
	case o.Outcome == status.NotRun && o.RequestID != "" && len(attempts) > 0:
		violations = append(violations, fmt.Sprintf("reported as not run, but %d attempts ran", len(attempts)))
	case o.response != nil && g.complete:
		completed := make(map[int]bool, len(attempts))
		for _, a := range attempts {
			if a.End == endCompleted && a.Snapshot == o.response.Snapshot {
				completed[a.Shard] = true
			}
		}
		for _, shard := range o.response.Coverage.Searched {
			if !completed[shard] {
				violations = append(violations, fmt.Sprintf("shard %d is reported as searched, but no target completed it on the snapshot", shard))
			}
		}
	}
	if o.Final && o.AtMostOnce {
		if n := len(g.byQuery[queryKey(o.Service, o.Query)]); n > 1 {
			violations = append(violations, fmt.Sprintf("an at_most_once request ran %d times", n))
		}
	}
	return violations
}
