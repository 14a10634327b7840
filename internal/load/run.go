package load

import (
	"context"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Steps of a request.
const (
	// stepSearch is the only send of an idempotent request.
	stepSearch = "search"
	// stepPermit fetches a permit.
	stepPermit = "permit"
	// stepUse sends the request with its permit.
	stepUse = "use"
	// stepRepeat sends the same request with the same permit again.
	stepRepeat = "repeat"
)

// maxOutstanding bounds the requests without an answer. Requests above it are
// not sent and are counted as such.
const maxOutstanding = 10_000

// Observation is one send and its answer, one line of the history.
type Observation struct {
	Sequence int    `json:"sequence"`
	Step     string `json:"step"`
	// Final marks the send whose answer decides the request.
	Final bool `json:"final"`
	// Times are in microseconds since the start of the run.
	IntendedUS int64  `json:"intended_us"`
	SentUS     int64  `json:"sent_us"`
	DoneUS     int64  `json:"done_us"`
	Entry      string `json:"entry"`
	Caller     string `json:"caller"`
	Workspace  string `json:"workspace"`
	Service    string `json:"service"`
	Query      string `json:"query"`
	AtMostOnce bool   `json:"at_most_once,omitempty"`
	Permit     string `json:"permit,omitempty"`
	DeadlineMS int64  `json:"deadline_ms"`

	HTTPStatus   int                 `json:"http_status"`
	Outcome      status.Outcome      `json:"outcome"`
	Code         status.Code         `json:"code,omitempty"`
	Error        string              `json:"error,omitempty"`
	RequestID    string              `json:"request_id,omitempty"`
	RetryAfterMS int64               `json:"retry_after_ms,omitempty"`
	RunBy        string              `json:"run_by,omitempty"`
	Replayed     bool                `json:"replayed,omitempty"`
	IndexVersion uint64              `json:"index_version,omitempty"`
	ShardMap     uint64              `json:"shard_map_epoch,omitempty"`
	Coverage     *callerapi.Coverage `json:"coverage,omitempty"`
	// Violations says what is wrong with the answer.
	Violations []string `json:"violations,omitempty"`

	contractMS int64
	response   *callerapi.SearchResponse
	refused    bool
	notSent    bool
}

// Runner sends the arrivals of a schedule at their intended times.
type Runner struct {
	settings *Settings
	client   *Client
	start    time.Time

	mu sync.Mutex
	// The fields below are guarded by mu.
	observations []*Observation
	// requestIDs holds the ids of all answers, to find one that is used twice.
	requestIDs map[string]int
}

// Run sends the arrivals and returns one observation per send, in no
// particular order. It returns when every send is answered or given up; when
// ctx ends it sends no more.
func Run(ctx context.Context, s *Settings, arrivals []Arrival) []*Observation {
	r := &Runner{settings: s, client: NewClient(), start: time.Now(), requestIDs: map[string]int{}}
	defer r.client.Close()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxOutstanding)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range arrivals {
		a := &arrivals[i]
		timer.Reset(time.Until(r.start.Add(a.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			wg.Wait()
			return r.observations
		}
		select {
		case slots <- struct{}{}:
		default:
			r.skip(a)
			continue
		}
		wg.Go(func() {
			r.request(ctx, a)
			<-slots
		})
	}
	wg.Wait()
	return r.observations
}

func (r *Runner) request(ctx context.Context, a *Arrival) {
	if !a.Workload.AtMostOnce {
		r.send(ctx, a, stepSearch, 0, "")
		return
	}
	first := r.send(ctx, a, stepPermit, 0, "")
	if first.Final {
		return
	}
	// The first use and the repeat go through other entries than the issuer
	// where there are enough.
	permit := first.Permit
	use := r.send(ctx, a, stepUse, 1, permit)
	if a.Repeat || (use.Outcome == status.Unknown && !use.refused) {
		again := r.send(ctx, a, stepRepeat, 2, permit)
		r.compare(use, again)
	}
}

// compare checks that a repeat of an answered request gave the same answer.
func (r *Runner) compare(use, again *Observation) {
	if use.response == nil || again.response == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !sameAnswer(use.response, again.response) {
		again.Violations = append(again.Violations, "the repeat differs from the first answer")
	}
	if !again.Replayed {
		again.Violations = append(again.Violations, "the repeat is not marked as replayed")
	}
}

func (r *Runner) skip(a *Arrival) {
	o := r.observation(a, stepSearch, 0)
	o.Final, o.notSent, o.Outcome, o.Error = true, true, status.NotRun, "not sent: too many requests without an answer"
	r.keep(o)
}

func (r *Runner) observation(a *Arrival, step string, hop int) *Observation {
	now := time.Since(r.start).Microseconds()
	return &Observation{
		Sequence: a.Sequence, Step: step, IntendedUS: a.At.Microseconds(), SentUS: now, DoneUS: now,
		Entry: r.settings.Entries[a.Route[hop%len(a.Route)]].ID, Caller: a.Caller.Name, Workspace: a.Caller.Workspace,
		Service: a.Workload.Service, Query: a.Query, AtMostOnce: a.Workload.AtMostOnce,
		DeadlineMS: a.Workload.DeadlineMS, contractMS: a.Workload.ContractMS,
	}
}

// send sends one request and records its answer. A permit that comes with a
// refusal is in the Permit field of the result.
func (r *Runner) send(ctx context.Context, a *Arrival, step string, hop int, permit string) *Observation {
	o := r.observation(a, step, hop)
	entry := r.settings.Entries[a.Route[hop%len(a.Route)]]
	got := r.client.Search(ctx, entry.Address, a.Caller.Key, &callerapi.SearchRequest{
		Service: o.Service, Query: o.Query, DeadlineMS: o.DeadlineMS, Permit: permit,
	})
	o.DoneUS = time.Since(r.start).Microseconds()
	o.Permit = permit
	o.HTTPStatus, o.Outcome, o.Code, o.RequestID = got.HTTPStatus, got.Outcome(), got.Code(), got.RequestID()
	// A permit_required refusal is the first half of an at_most_once request.
	o.Final = step != stepRepeat && (step != stepPermit || o.Code != status.PermitRequired)
	switch {
	case got.Err != nil:
		o.Error = got.Err.Error()
	case got.Refusal != nil:
		o.refused = true
		o.Error = got.Refusal.Message
		o.RetryAfterMS = got.Refusal.RetryAfterMS
		o.Violations = refusalFaults(got.Refusal)
		if step == stepPermit {
			o.Permit = got.Refusal.Permit
			if !o.Final && o.Permit == "" {
				o.Final = true
				o.Violations = append(o.Violations, "the refusal carries no permit")
			}
		}
	default:
		o.response = got.Response
		o.RunBy, o.Replayed = got.Response.Entry, got.Response.Replayed
		o.IndexVersion, o.ShardMap = got.Response.Snapshot.IndexVersion, got.Response.Snapshot.ShardMapEpoch
		o.Coverage = &got.Response.Coverage
		o.Violations = answerFaults(a, got.Response)
		if step == stepPermit {
			o.Violations = append(o.Violations, "an at_most_once request ran without a permit")
		}
	}
	r.keep(o)
	return o
}

// keep stores the observation and checks that its request id is its own.
func (r *Runner) keep(o *Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, o)
	if o.RequestID == "" || o.Replayed {
		return
	}
	if owner, used := r.requestIDs[o.RequestID]; used && owner != o.Sequence {
		o.Violations = append(o.Violations, "the request id belongs to another request")
	}
	r.requestIDs[o.RequestID] = o.Sequence
}
