package load

import (
	"context"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Steps of a request, each of which is one send.
const (
	// stepSearch is the only step of an idempotent request.
	stepSearch = "search"
	// stepPermit fetches a permit.
	stepPermit = "permit"
	// stepUse sends the request with the permit.
	stepUse = "use"
	// stepRepeat sends the same request with the same permit a second time.
	stepRepeat = "repeat"
)

// maxOutstanding limits the requests that wait for an answer. Requests above the limit are not sent
// and are counted as not sent.
const maxOutstanding = 10_000

// Observation is one send and its answer. It is one line of the history.
type Observation struct {
	Sequence int    `json:"sequence"`
	Step     string `json:"step"`
	// Final marks the send whose answer determines the result of the request.
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
	// Violations describes what is wrong with the answer.
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
	// requestIDs maps the request id of each answer to its sequence number, to detect ids that
	// are used twice.
	requestIDs map[string]int
}

// Run sends the arrivals and returns one observation per send, in no particular order. It returns
// when every send is answered or has timed out. When ctx is done, it sends no further arrivals.
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
			r.recordNotSent(a)
			continue
		}
		wg.Go(func() {
			r.runArrival(ctx, a)
			<-slots
		})
	}
	wg.Wait()
	return r.observations
}

func (r *Runner) runArrival(ctx context.Context, a *Arrival) {
	if !a.Workload.AtMostOnce {
		r.send(ctx, a, stepSearch, 0, "")
		return
	}
	fetch := r.send(ctx, a, stepPermit, 0, "")
	if fetch.Final {
		return
	}
	// The first use and the repeat go to entries other than the issuer if there are enough.
	permit := fetch.Permit
	firstUse := r.send(ctx, a, stepUse, 1, permit)
	if a.Repeat || (firstUse.Outcome == status.Unknown && !firstUse.refused) {
		repeat := r.send(ctx, a, stepRepeat, 2, permit)
		r.checkRepeat(firstUse, repeat)
	}
}

// checkRepeat checks that the repeat of an answered request got the same answer.
func (r *Runner) checkRepeat(firstUse, repeat *Observation) {
	if firstUse.response == nil || repeat.response == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !sameAnswer(firstUse.response, repeat.response) {
		repeat.Violations = append(repeat.Violations, "the repeat differs from the first answer")
	}
	if !repeat.Replayed {
		repeat.Violations = append(repeat.Violations, "the repeat is not marked as replayed")
	}
}

func (r *Runner) recordNotSent(a *Arrival) {
	o := r.newObservation(a, stepSearch, 0)
	o.Final, o.notSent, o.Outcome, o.Error = true, true, status.NotRun, "not sent: too many outstanding requests"
	r.record(o)
}

func (r *Runner) newObservation(a *Arrival, step string, sendIndex int) *Observation {
	now := time.Since(r.start).Microseconds()
	return &Observation{
		Sequence: a.Sequence, Step: step, IntendedUS: a.At.Microseconds(), SentUS: now, DoneUS: now,
		Entry: r.settings.Entries[a.Route[sendIndex%len(a.Route)]].ID, Caller: a.Caller.Name, Workspace: a.Caller.Workspace,
		Service: a.Workload.Service, Query: a.Query, AtMostOnce: a.Workload.AtMostOnce,
		DeadlineMS: a.Workload.DeadlineMS, contractMS: a.Workload.ContractMS,
	}
}

// send sends one request and records its answer. If the refusal carries a permit, the Permit field
// of the result holds it.
func (r *Runner) send(ctx context.Context, a *Arrival, step string, sendIndex int, permit string) *Observation {
	o := r.newObservation(a, step, sendIndex)
	entry := r.settings.Entries[a.Route[sendIndex%len(a.Route)]]
	answer := r.client.Search(ctx, entry.Address, a.Caller.Key, &callerapi.SearchRequest{
		Service: o.Service, Query: o.Query, DeadlineMS: o.DeadlineMS, Permit: permit,
	})
	o.DoneUS = time.Since(r.start).Microseconds()
	o.Permit = permit
	o.HTTPStatus, o.Outcome, o.Code, o.RequestID = answer.HTTPStatus, answer.Outcome(), answer.Code(), answer.RequestID()
	// A permit_required refusal is the expected answer to the first step of an at_most_once request.
	o.Final = step != stepRepeat && (step != stepPermit || o.Code != status.PermitRequired)
	switch {
	case answer.Err != nil:
		o.Error = answer.Err.Error()
	case answer.Refusal != nil:
		o.refused = true
		o.Error = answer.Refusal.Message
		o.RetryAfterMS = answer.Refusal.RetryAfterMS
		o.Violations = refusalViolations(answer.Refusal)
		if step == stepPermit {
			o.Permit = answer.Refusal.Permit
			if !o.Final && o.Permit == "" {
				o.Final = true
				o.Violations = append(o.Violations, "the refusal carries no permit")
			}
		}
	default:
		o.response = answer.Response
		o.RunBy, o.Replayed = answer.Response.Entry, answer.Response.Replayed
		o.IndexVersion, o.ShardMap = answer.Response.Snapshot.IndexVersion, answer.Response.Snapshot.ShardMapEpoch
		o.Coverage = &answer.Response.Coverage
		o.Violations = answerViolations(a, answer.Response)
		if step == stepPermit {
			o.Violations = append(o.Violations, "an at_most_once request ran without a permit")
		}
	}
	r.record(o)
	return o
}

// record stores the observation and checks that its request id is not used by another request.
func (r *Runner) record(o *Observation) {
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
