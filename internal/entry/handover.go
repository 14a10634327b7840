package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/state/journal"
)

const (
	// maxHandoverBytes is the total size of the record bodies after which a handover continues in
	// another part. Each part is one message.
	maxHandoverBytes = 512 << 10
	// maxHandoverParts limits the parts of one handover that a successor keeps before the last one
	// arrives.
	maxHandoverParts = 1_024
)

// Stop refuses new at-most-once requests, waits for the requests in flight until ctx ends, and seals
// the journal, so that no permit starts to run afterwards. It returns an error with the code
// DeadlineExceeded if requests were still running when ctx ended.
func (e *Engine) Stop(ctx context.Context) error {
	e.inflight.Close()
	err := e.inflight.Wait(ctx)
	e.journal.Seal()
	if idle := e.journal.WaitIdle(ctx); err == nil {
		err = idle
	}
	return err
}

// HandoverParts returns the journal of this entry and the journals that it inherited, in parts for
// the successor. It fails if the journal is not sealed.
func (e *Engine) HandoverParts() ([]*peerpb.HandoverRequest, error) {
	now := e.self.Clock()
	records, err := e.journal.Export(now)
	if err != nil {
		return nil, err
	}
	parts := handoverParts(e.self.Entry, journal.IncarnationJournal{
		Incarnation: e.self.Incarnation,
		Handover:    journal.Handover{Records: records, ExportedAt: now, PermitRemaining: e.longestRepeatWindow()},
	})
	for _, stopped := range e.inherited.Export(now) {
		parts = append(parts, handoverParts(e.self.Entry, stopped)...)
	}
	return parts, nil
}

// handoverParts splits one journal into parts of limited size.
func handoverParts(entry string, stopped journal.IncarnationJournal) []*peerpb.HandoverRequest {
	newPart := func() *peerpb.HandoverRequest {
		return &peerpb.HandoverRequest{
			Entry:             entry,
			Incarnation:       stopped.Incarnation[:],
			PermitRemainingMs: stopped.PermitRemaining.Milliseconds(),
			IssuerClockNs:     int64(stopped.ExportedAt),
		}
	}
	part := newPart()
	parts := []*peerpb.HandoverRequest{part}
	size := 0
	for _, r := range stopped.Records {
		if size > maxHandoverBytes {
			part = newPart()
			parts = append(parts, part)
			size = 0
		}
		size += len(r.Body)
		part.Records = append(part.Records, &peerpb.JournalRecord{
			Sequence:    r.Sequence,
			Outcome:     string(r.Outcome),
			HttpStatus:  int32(r.HTTPStatus),
			Body:        r.Body,
			RemainingMs: r.Remaining.Milliseconds(),
		})
	}
	part.Complete = true
	part.TotalRecords = int64(len(stopped.Records))
	return parts
}

// longestRepeatWindow returns the longest repeat window of the current sheet. Permits issued under
// an earlier sheet may remain valid for longer; the successor then reports their outcome as
// unknown, which is safe.
func (e *Engine) longestRepeatWindow() time.Duration {
	var longest time.Duration
	if p := e.plan.Load(); p != nil {
		for _, svc := range p.services {
			longest = max(longest, time.Duration(svc.Repeat.WindowS)*time.Second)
		}
	}
	return longest
}

// HandleHandover receives a part of the journal of a stopping entry and imports the journal once it
// is complete. An entry that is itself draining does not accept the part.
func (e *Engine) HandleHandover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	if len(in.Incarnation) != ids.IncarnationSize {
		return nil, status.New(status.InvalidArgument, "", "the handover has no valid incarnation")
	}
	if e.draining.Load() {
		return &peerpb.HandoverReply{Accepted: false}, nil
	}
	inc := ids.Incarnation(in.Incarnation)
	e.pendingHandoversMu.Lock()
	defer e.pendingHandoversMu.Unlock()
	parts := append(e.pendingHandovers[inc], in)
	if len(parts) > maxHandoverParts {
		delete(e.pendingHandovers, inc)
		return nil, status.New(status.TooLarge, "", "the handover has more than %d parts", maxHandoverParts)
	}
	if !in.Complete {
		e.pendingHandovers[inc] = parts
		return &peerpb.HandoverReply{Accepted: true}, nil
	}
	delete(e.pendingHandovers, inc)
	h := journal.Handover{
		ExportedAt:      time.Duration(in.IssuerClockNs),
		PermitRemaining: time.Duration(in.PermitRemainingMs) * time.Millisecond,
	}
	for _, p := range parts {
		for _, r := range p.Records {
			h.Records = append(h.Records, journal.ExportedRecord{
				Sequence:  r.Sequence,
				Record:    journal.Record{Outcome: status.Outcome(r.Outcome), HTTPStatus: int(r.HttpStatus), Body: r.Body},
				Remaining: time.Duration(r.RemainingMs) * time.Millisecond,
			})
		}
	}
	if int64(len(h.Records)) != in.TotalRecords {
		return nil, status.New(status.InvalidArgument, "", "the handover is incomplete: %d of %d records", len(h.Records), in.TotalRecords)
	}
	e.inherited.Import(inc, h, e.self.Clock())
	e.log.Info().Str("from", in.Entry).Int("records", len(h.Records)).Msg("took over the journal of a stopping entry")
	e.audit.Record(time.Now(), audit.Succession, "peer "+in.Entry,
		fmt.Sprintf("took over the journal of %s, incarnation %s: %d records", in.Entry, inc, len(h.Records)))
	return &peerpb.HandoverReply{Accepted: true}, nil
}
