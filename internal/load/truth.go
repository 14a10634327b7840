package load

import (
	"context"
	"fmt"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// truth is what the stand-in targets really ran during one run.
type truth struct {
	// started is the number of attempts that started.
	started uint64
	// complete says that no attempt is missing from runs.
	complete bool
	// byRequest lists the runs by request id.
	byRequest map[string][]run
	// byQuery lists the runs of at_most_once requests by service and query.
	byQuery map[string][]run
}

// baseline is the number of attempts started before a run, by target.
type baseline map[string]uint64

func (c *controlClient) baseline(ctx context.Context, addresses []string) (baseline, error) {
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

// since returns what ran after the baseline.
func (c *controlClient) since(ctx context.Context, addresses []string, before baseline) (*truth, error) {
	t := &truth{complete: true, byRequest: map[string][]run{}, byQuery: map[string][]run{}}
	for _, address := range addresses {
		records, err := c.records(ctx, address)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			t.add(r, before[r.Target])
		}
	}
	return t, nil
}

func (t *truth) add(r record, before uint64) {
	started := r.Started - before
	t.started += started
	if uint64(len(r.Runs)) < started {
		t.complete = false
		started = uint64(len(r.Runs))
	}
	for _, one := range r.Runs[uint64(len(r.Runs))-started:] {
		t.byRequest[one.RequestID] = append(t.byRequest[one.RequestID], one)
		if one.AtMostOnce {
			key := queryKey(one.Service, one.Query)
			t.byQuery[key] = append(t.byQuery[key], one)
		}
	}
}

func queryKey(service, query string) string { return service + "|" + query }

// check returns what the observation claims and the targets contradict.
func (t *truth) check(o *Observation) []string {
	var faults []string
	runs := t.byRequest[o.RequestID]
	switch {
	case o.Outcome == status.NotRun && o.RequestID != "" && len(runs) > 0:
		faults = append(faults, fmt.Sprintf("reported as not run, but %d attempts ran", len(runs)))
	case o.response != nil && t.complete:
		completed := make(map[int]bool, len(runs))
		for _, r := range runs {
			if r.End == endCompleted && r.Snapshot == o.response.Snapshot {
				completed[r.Shard] = true
			}
		}
		for _, shard := range o.response.Coverage.Searched {
			if !completed[shard] {
				faults = append(faults, fmt.Sprintf("shard %d is reported as searched, but no target completed it at the snapshot", shard))
			}
		}
	}
	if o.Final && o.AtMostOnce {
		if n := len(t.byQuery[queryKey(o.Service, o.Query)]); n > 1 {
			faults = append(faults, fmt.Sprintf("an at_most_once request ran %d times", n))
		}
	}
	return faults
}
