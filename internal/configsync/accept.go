package configsync

import (
	"fmt"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

// maxRefusals limits the recorded refusals, which prevent a faulty document from being fetched,
// decoded and reported again at every exchange.
const maxRefusals = 256

// refusals records which refused versions have been reported.
type refusals struct {
	mu sync.Mutex
	// seen is guarded by mu.
	seen map[refusal]bool
}

// refusal identifies a refused version of a document.
type refusal struct {
	key     string
	version revision.Version
	// faulty is set if the document is invalid, and not set if it is too old or in conflict.
	faulty bool
	// leftOut is set if only parts of the document are left out.
	leftOut bool
}

// add records a refusal and reports whether it is new. A full set is cleared, so a refusal may be
// reported more than once.
func (r *refusals) add(refused refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[refused] {
		return false
	}
	if r.seen == nil || len(r.seen) >= maxRefusals {
		r.seen = make(map[refusal]bool)
	}
	r.seen[refused] = true
	return true
}

func (r *refusals) has(refused refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[refused]
}

// origin describes where a candidate comes from.
type origin struct {
	// actor is "platform" or a peer.
	actor string
	// readAt is the time at which the oldest part of the candidate was read.
	readAt time.Time
	// settled is set if the platform has confirmed that the revision has the candidate.
	settled bool
}

// platformActor is the actor of documents that were read from the platform.
const platformActor = "platform"

// peerActor returns the actor of what another entry has sent.
func peerActor(entry string) string { return "peer " + entry }

// accept decides whether a document becomes the current one, and replaces the current document or refuses
// the whole candidate.
func (s *Syncer) accept(key string, content *delta.Document, from origin) revision.Decision {
	candidate := versionOf(content)
	if s.refusals.has(refusal{key: key, version: candidate, faulty: true}) {
		return revision.Faulty
	}
	current := s.store.Current(key)
	decision := revision.DecideClaim(current.Claim(), revision.Claim{Version: candidate, Settled: from.settled}, true)
	var value any
	var fault error
	switch decision {
	case revision.Accept:
		if value, fault = s.parse(key, content, candidate); fault != nil {
			decision = revision.Faulty
			break
		}
		decision = s.store.Replace(key, &documents.Document{Version: candidate, Content: content, Value: value,
			Source: from.actor, ReadAt: from.readAt, Settled: from.settled})
	case revision.Faulty:
		fault = status.New(status.InvalidArgument, "", "revision is not a positive integer")
	}
	s.recordDecision(key, candidate, decision, from, fault)
	if decision == revision.Unchanged && from.settled {
		s.store.Settle(key, candidate)
	}
	if decision == revision.Accept {
		s.confirmations.accept(key, candidate)
		s.reportListFaults(current, candidate, value, from)
		s.updateView()
	}
	return decision
}

// versionOf returns the version of a document. Only the target list has an era: the revisions of sheets
// and indexes are assigned by operators and are never reset.
func versionOf(content *delta.Document) revision.Version {
	era, _ := content.UintField("era")
	rev, _ := content.UintField("revision")
	return revision.Version{Era: era, Revision: rev, Digest: content.Digest()}
}

// refuseData reports data from actor that is not a document, and returns a version that identifies it.
func (s *Syncer) refuseData(key string, data []byte, actor string, fault error) revision.Version {
	if len(data) == 0 {
		data = []byte(fault.Error())
	}
	version := revision.Version{Digest: revision.DigestOf(data)}
	s.recordDecision(key, version, revision.Faulty, origin{actor: actor}, fault)
	return version
}

// reportLeftOut logs and counts, once for each version, the parts of a document of the platform that cannot be
// used.
func (s *Syncer) reportLeftOut(key string, v revision.Version, fault error) {
	if !s.refusals.add(refusal{key: key, version: v, leftOut: true}) {
		return
	}
	s.deps.Audit.Record(time.Now(), audit.DocumentRefused, platformActor, fmt.Sprintf("%s revision %d: parts left out: %v", key, v.Revision, fault))
	s.deps.Log.Warn().Err(fault).Str("key", key).Uint64("revision", v.Revision).Msg("parts of the document cannot be used and are left out")
	if s.deps.OnRefused != nil {
		s.deps.OnRefused(key)
	}
}

// parse decodes and validates a document. Only the parts that differ from the current document are
// decoded if possible.
func (s *Syncer) parse(key string, content *delta.Document, version revision.Version) (any, error) {
	if value, ok := decodeChanged(key, s.store.Current(key), content); ok {
		if checked, err := s.check(value, version); checked {
			return value, err
		}
	}
	var value any
	var era, rev uint64
	switch key {
	case platformapi.SheetKey:
		doc, err := s.deps.ParseSheet(content.Bytes())
		if err != nil {
			return nil, err
		}
		value, rev = doc, doc.Revision
	case platformapi.IndexKey:
		doc, err := s.deps.ParseIndex(content.Bytes())
		if err != nil {
			return nil, err
		}
		value, rev = doc, doc.Revision
	case platformapi.TargetsKey:
		doc, err := s.deps.ParseTargets(content.Bytes())
		if err != nil {
			return nil, err
		}
		value, era, rev = doc, doc.Era, doc.Revision
	}
	return value, checkVersion(era, rev, version)
}

// check validates a decoded document. checked is false if Deps has no check function for it.
func (s *Syncer) check(value any, version revision.Version) (checked bool, err error) {
	switch doc := value.(type) {
	case *sheet.Sheet:
		if s.deps.CheckSheet == nil {
			return false, nil
		}
		if err := s.deps.CheckSheet(doc); err != nil {
			return true, err
		}
		return true, checkVersion(0, doc.Revision, version)
	case *index.Document:
		if s.deps.CheckIndex == nil {
			return false, nil
		}
		if err := s.deps.CheckIndex(doc); err != nil {
			return true, err
		}
		return true, checkVersion(0, doc.Revision, version)
	case *targetlist.Document:
		if s.deps.CheckTargets == nil {
			return false, nil
		}
		if err := s.deps.CheckTargets(doc); err != nil {
			return true, err
		}
		return true, checkVersion(doc.Era, doc.Revision, version)
	}
	return false, nil
}

// checkVersion refuses a document whose decoded era or revision differs from the version that decides
// about it: encoding/json also matches field names in another case, and uses the last of several fields
// with the same name.
func checkVersion(era, rev uint64, version revision.Version) error {
	if era != version.Era || rev != version.Revision {
		return status.New(status.InvalidArgument, "", "version is ambiguous: era %d or %d, revision %d or %d", version.Era, era, version.Revision, rev)
	}
	return nil
}

// recordDecision writes the audit event of a decision, once for each refused version.
func (s *Syncer) recordDecision(key string, v revision.Version, decision revision.Decision, from origin, fault error) {
	detail := fmt.Sprintf("%s revision %d digest %s: %s", key, v.Revision, v.Digest, decision)
	if v.Era > 0 {
		detail = fmt.Sprintf("%s era %d revision %d digest %s: %s", key, v.Era, v.Revision, v.Digest, decision)
	}
	if fault != nil {
		detail += ": " + fault.Error()
	}
	switch decision {
	case revision.Accept:
		if from.actor == platformActor && !from.readAt.IsZero() {
			detail += fmt.Sprintf(", oldest part read %d ms before", time.Since(from.readAt).Milliseconds())
		}
		if c := s.confirmations.latest(key); !c.at.IsZero() {
			detail += fmt.Sprintf(", the version before was confirmed %d ms before by %s", time.Since(c.at).Milliseconds(), c.source)
		}
		s.deps.Audit.Record(time.Now(), audit.DocumentAccepted, from.actor, detail)
	case revision.Conflict:
		s.recordConflict(key, v, from.actor)
	case revision.TooOld, revision.Faulty:
		if !s.refusals.add(refusal{key: key, version: v, faulty: decision == revision.Faulty}) {
			return
		}
		s.deps.Audit.Record(time.Now(), audit.DocumentRefused, from.actor, detail)
		if decision == revision.Faulty {
			s.reportInvalid(key, v, from.actor, fault)
		}
	}
}

// reportInvalid logs and counts an invalid version of a document.
func (s *Syncer) reportInvalid(key string, v revision.Version, actor string, fault error) {
	s.deps.Log.Warn().Err(fault).Str("key", key).Uint64("revision", v.Revision).Uint64("current_revision", s.store.Version(key).Revision).
		Str("source", actor).Msg("document is invalid; the current version stays in force")
	if s.deps.OnRefused != nil {
		s.deps.OnRefused(key)
	}
}

// recordConflict reports that actor has a different document with the current revision. Operators
// must publish a higher revision.
func (s *Syncer) recordConflict(key string, v revision.Version, actor string) {
	if !s.refusals.add(refusal{key: key, version: v}) {
		return
	}
	detail := fmt.Sprintf("%s revision %d has digest %s at %s and %s here: publish a higher revision",
		key, v.Revision, v.Digest, actor, s.store.Version(key).Digest)
	s.deps.Audit.Record(time.Now(), audit.RevisionConflict, actor, detail)
}
