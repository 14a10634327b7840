package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Kind is a kind of wrong reply.
type Kind string

// Kinds of wrong replies.
const (
	// KindCrossed carries the identity and the hits of another attempt.
	KindCrossed Kind = "crossed"
	// KindCrossedRefusal is a refusal with not_run and the identity of another
	// attempt, although the attempt ran.
	KindCrossedRefusal Kind = "crossed_refusal"
	// KindDuplicated sends the reply twice in a row.
	KindDuplicated Kind = "duplicated"
	// KindLateDuplicate repeats the reply before the next reply of the connection.
	KindLateDuplicate Kind = "late_duplicate"
	// KindForgedHits adds a hit of another workspace.
	KindForgedHits Kind = "forged_hits"
	// KindWrongSnapshot carries the next index version and its hits.
	KindWrongSnapshot Kind = "wrong_snapshot"
	// KindGarbage has a body that is not JSON.
	KindGarbage Kind = "garbage"
	// KindGarbageWire is not HTTP.
	KindGarbageWire Kind = "garbage_wire"
	// KindOversized has a valid body of at least Bytes.
	KindOversized Kind = "oversized"
	// KindTruncated ends in the middle of the body and closes the connection.
	KindTruncated Kind = "truncated"
)

var kinds = []Kind{
	KindCrossed, KindCrossedRefusal, KindDuplicated, KindLateDuplicate, KindForgedHits, KindWrongSnapshot,
	KindGarbage, KindGarbageWire, KindOversized, KindTruncated,
}

// Sizes of wrong replies.
const (
	defaultOversizedBytes = 16 << 20
	maxOversizedBytes     = 256 << 20
	garbageBytes          = 64
)

// forgedWorkspace owns forged hits when the command names no workspace.
const forgedWorkspace = "forged"

// sendWrong sends a wrong reply and reports whether it was sent.
func (t *Target) sendWrong(w http.ResponseWriter, r *http.Request, req *targetapi.SearchRequest, rule *rule) bool {
	right := targetapi.SearchReply{Identity: req.Identity, Hits: Hits(req.Identity, req.Query)}
	switch rule.Kind {
	case KindCrossed:
		other := t.otherAttempt(req)
		return writeJSON(w, r, http.StatusOK, targetapi.SearchReply{Identity: other.Identity, Hits: Hits(other.Identity, other.Query)})
	case KindCrossedRefusal:
		return writeJSON(w, r, status.HTTPStatus(status.Shed), targetapi.Refusal{
			Identity: t.otherAttempt(req).Identity, Code: status.Shed, NotRun: true,
		})
	case KindDuplicated:
		sent := writeJSON(w, r, http.StatusOK, right)
		writeRaw(r, rawReply(right))
		return sent
	case KindLateDuplicate:
		sent := writeJSON(w, r, http.StatusOK, right)
		t.keepStale(r, rawReply(right))
		return sent
	case KindForgedHits:
		owner := rule.Workspace
		if owner == "" {
			owner = forgedWorkspace
		}
		right.Hits = append(right.Hits, hit(req.Identity, req.Query, owner, len(right.Hits)))
		return writeJSON(w, r, http.StatusOK, right)
	case KindWrongSnapshot:
		right.Snapshot.IndexVersion++
		right.Hits = Hits(right.Identity, req.Query)
		return writeJSON(w, r, http.StatusOK, right)
	case KindGarbage:
		return writeBody(w, r, http.StatusOK, bytes.Repeat([]byte{'{'}, garbageBytes))
	case KindGarbageWire:
		writeRaw(r, bytes.Repeat([]byte{0x15}, garbageBytes))
		abort()
	case KindOversized:
		return writeOversized(w, r, right, rule.Bytes)
	case KindTruncated:
		body := marshal(right)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body[:len(body)/2])           // The reply is broken on purpose.
		http.NewResponseController(w).Flush() // Likewise.
		abort()
	}
	return false
}

// otherAttempt returns the most recent attempt other than req, or an altered
// copy of req when there is none.
func (t *Target) otherAttempt(req *targetapi.SearchRequest) targetapi.SearchRequest {
	if run, ok := t.record.latestOther(req.Identity); ok {
		return targetapi.SearchRequest{Identity: run.Identity, Query: run.Query}
	}
	other := *req
	other.Attempt++
	return other
}

func rawReply(reply targetapi.SearchReply) []byte {
	body := marshal(reply)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// writeRaw writes bytes past the HTTP server, which has nothing buffered at
// that time.
func writeRaw(r *http.Request, data []byte) {
	if conn := tracked.Of(r); conn != nil {
		conn.Write(data) // The client sees a broken connection in any case.
	}
}

// keepStale keeps a copy of a reply until the next request of the connection.
func (t *Target) keepStale(r *http.Request, reply []byte) {
	conn := tracked.Of(r)
	if conn == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.stale) >= t.cfg.MaxConnections {
		clear(t.stale) // Most of the connections have gone by then.
	}
	t.stale[conn] = reply
}

// sendStale sends the copy kept for the connection, if any.
func (t *Target) sendStale(r *http.Request) {
	conn := tracked.Of(r)
	t.mu.Lock()
	reply := t.stale[conn]
	delete(t.stale, conn)
	t.mu.Unlock()
	if reply != nil {
		writeRaw(r, reply)
	}
}

// writeOversized pads the body of an extra hit, in pieces to save memory.
func writeOversized(w http.ResponseWriter, r *http.Request, reply targetapi.SearchReply, size int64) bool {
	if size == 0 {
		size = defaultOversizedBytes
	}
	const marker = "PADDING"
	reply.Hits = append(reply.Hits, targetapi.Hit{ID: "padding", Body: json.RawMessage(`"` + marker + `"`)})
	head, tail, _ := bytes.Cut(marshal(reply), []byte(marker))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head)+len(tail))+size, 10))
	body := io.MultiReader(bytes.NewReader(head), io.LimitReader(paddingReader{}, size), bytes.NewReader(tail))
	if _, err := io.Copy(w, body); err != nil {
		return false
	}
	return flush(w, r)
}

// paddingReader is an endless sequence of the letter x.
type paddingReader struct{}

// Read implements io.Reader.
func (paddingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// holdReply applies the faults that keep a finished reply from the client.
func (t *Target) holdReply(r *http.Request, req *targetapi.SearchRequest, run *Run) {
	if rule := t.affects(FaultNeverReply, req.Query); rule != nil {
		t.noteFault(run, string(FaultNeverReply))
		select {
		case <-r.Context().Done():
		case <-t.closing:
		}
		abort()
	}
	if rule := t.affects(FaultDelay, req.Query); rule != nil {
		if wait(r.Context(), time.Duration(rule.DelayMS)*time.Millisecond) != nil {
			abort()
		}
	}
	if t.affects(FaultResetAfterRun, req.Query) != nil {
		t.noteFault(run, string(FaultResetAfterRun))
		resetConn(r)
	}
}

// resetConn resets the connection of a request and ends its handler.
func resetConn(r *http.Request) {
	if conn := tracked.Of(r); conn != nil {
		conn.Reset()
	}
	abort()
}

func (t *Target) noteFault(run *Run, fault string) {
	t.record.update(run, func(run *Run) { run.Fault = fault })
	t.countFault(fault)
}

func (t *Target) countFault(fault string) {
	t.counts.add(func(c *Counters) { c.Faults[fault]++ })
}
