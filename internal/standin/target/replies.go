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
	// KindForgedHits adds a hit that belongs to another workspace.
	KindForgedHits Kind = "forged_hits"
	// KindWrongSnapshot carries the next index version and the hits at that version.
	KindWrongSnapshot Kind = "wrong_snapshot"
	// KindGarbage has a body that is not JSON.
	KindGarbage Kind = "garbage"
	// KindGarbageWire consists of bytes that are not HTTP.
	KindGarbageWire Kind = "garbage_wire"
	// KindOversized has a valid body of at least Bytes.
	KindOversized Kind = "oversized"
	// KindTruncated ends in the middle of the body, where the connection is closed.
	KindTruncated Kind = "truncated"
)

var allKinds = []Kind{
	KindCrossed, KindCrossedRefusal, KindDuplicated, KindLateDuplicate, KindForgedHits, KindWrongSnapshot,
	KindGarbage, KindGarbageWire, KindOversized, KindTruncated,
}

// Sizes of wrong replies.
const (
	defaultOversizedBytes = 16 << 20
	maxOversizedBytes     = 256 << 20
	garbageBytes          = 64
)

// defaultForgedWorkspace is the workspace of forged hits if the command sets none.
const defaultForgedWorkspace = "forged"

// sendWrongReply sends a wrong reply and reports whether the client can receive it.
func (t *Target) sendWrongReply(w http.ResponseWriter, r *http.Request, req *targetapi.SearchRequest, active *activeFault) bool {
	correct := targetapi.SearchReply{Identity: req.Identity, Hits: Hits(req.Identity, req.Query)}
	switch active.Kind {
	case KindCrossed:
		other := t.otherAttempt(req)
		return writeJSON(w, r, http.StatusOK, targetapi.SearchReply{Identity: other.Identity, Hits: Hits(other.Identity, other.Query)})
	case KindCrossedRefusal:
		return writeJSON(w, r, status.HTTPStatus(status.Shed), targetapi.Refusal{
			Identity: t.otherAttempt(req).Identity, Code: status.Shed, NotRun: true,
		})
	case KindDuplicated:
		sent := writeJSON(w, r, http.StatusOK, correct)
		writeRaw(r, rawReply(correct))
		return sent
	case KindLateDuplicate:
		sent := writeJSON(w, r, http.StatusOK, correct)
		t.keepLateDuplicate(r, rawReply(correct))
		return sent
	case KindForgedHits:
		owner := active.Workspace
		if owner == "" {
			owner = defaultForgedWorkspace
		}
		correct.Hits = append(correct.Hits, newHit(req.Identity, req.Query, owner, len(correct.Hits)))
		return writeJSON(w, r, http.StatusOK, correct)
	case KindWrongSnapshot:
		correct.Snapshot.IndexVersion++
		correct.Hits = Hits(correct.Identity, req.Query)
		return writeJSON(w, r, http.StatusOK, correct)
	case KindGarbage:
		return writeBody(w, r, http.StatusOK, bytes.Repeat([]byte{'{'}, garbageBytes))
	case KindGarbageWire:
		writeRaw(r, bytes.Repeat([]byte{0x15}, garbageBytes))
		abort()
	case KindOversized:
		return writeOversized(w, r, correct, active.Bytes)
	case KindTruncated:
		body := marshal(correct)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body[:len(body)/2])           // An error does not matter: the reply is truncated anyway.
		http.NewResponseController(w).Flush() // The same holds here.
		abort()
	}
	return false
}

// otherAttempt returns the most recent attempt other than req, or a copy of req with another attempt
// number if there is none.
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

// writeRaw writes bytes directly to the connection of a request. The HTTP server must have no
// buffered data at that time.
func writeRaw(r *http.Request, data []byte) {
	if conn := tracked.FromRequest(r); conn != nil {
		conn.Write(data) // On an error, the client sees a broken connection.
	}
}

// keepLateDuplicate keeps a copy of a reply until the next request on its connection.
func (t *Target) keepLateDuplicate(r *http.Request, reply []byte) {
	conn := tracked.FromRequest(r)
	if conn == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lateDuplicates) >= t.cfg.MaxConnections {
		clear(t.lateDuplicates) // Most of these connections are closed by now.
	}
	t.lateDuplicates[conn] = reply
}

// sendLateDuplicate sends the copy kept for the connection of a request, if any.
func (t *Target) sendLateDuplicate(r *http.Request) {
	conn := tracked.FromRequest(r)
	t.mu.Lock()
	reply := t.lateDuplicates[conn]
	delete(t.lateDuplicates, conn)
	t.mu.Unlock()
	if reply != nil {
		writeRaw(r, reply)
	}
}

// writeOversized sends the reply with an extra hit whose body is padded by size bytes, or by
// defaultOversizedBytes if size is zero. It streams the padding to save memory.
func writeOversized(w http.ResponseWriter, r *http.Request, reply targetapi.SearchReply, size int64) bool {
	if size == 0 {
		size = defaultOversizedBytes
	}
	const placeholder = "PADDING"
	reply.Hits = append(reply.Hits, targetapi.Hit{ID: "padding", Body: json.RawMessage(`"` + placeholder + `"`)})
	head, tail, _ := bytes.Cut(marshal(reply), []byte(placeholder))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head)+len(tail))+size, 10))
	body := io.MultiReader(bytes.NewReader(head), io.LimitReader(paddingReader{}, size), bytes.NewReader(tail))
	if _, err := io.Copy(w, body); err != nil {
		return false
	}
	return flush(w, r)
}

// paddingReader reads an endless sequence of the letter x.
type paddingReader struct{}

// Read implements io.Reader.
func (paddingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// applyReplyFaults applies the faults that delay or suppress the reply of a finished attempt.
func (t *Target) applyReplyFaults(r *http.Request, req *targetapi.SearchRequest, run *Run) {
	if active := t.matchFault(FaultNeverReply, req.Query); active != nil {
		t.recordFault(run, string(FaultNeverReply))
		select {
		case <-r.Context().Done():
		case <-t.closing:
		}
		abort()
	}
	if active := t.matchFault(FaultDelay, req.Query); active != nil {
		if sleep(r.Context(), time.Duration(active.DelayMS)*time.Millisecond) != nil {
			abort()
		}
	}
	if t.matchFault(FaultResetAfterRun, req.Query) != nil {
		t.recordFault(run, string(FaultResetAfterRun))
		resetConn(r)
	}
}

// resetConn resets the connection of a request and aborts its handler.
func resetConn(r *http.Request) {
	if conn := tracked.FromRequest(r); conn != nil {
		conn.Reset()
	}
	abort()
}

func (t *Target) recordFault(run *Run, fault string) {
	t.record.update(run, func(run *Run) { run.Fault = fault })
	t.countFault(fault)
}

func (t *Target) countFault(fault string) {
	t.counts.update(func(c *Counters) { c.Faults[fault]++ })
}
