package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// plan is one accepted pair of sheet and index with the lookups that requests
// need. It is immutable; a request holds one plan from start to end.
type plan struct {
	revision      uint64
	indexRevision uint64
	sheet         *sheet.Sheet
	callers       map[[sha256.Size]byte]*sheet.Caller
	services      map[string]*sheet.Service
	indexes       map[string]*index.Service
	targets       map[string]*sheet.Target
}

func newPlan(s *sheet.Sheet, d *index.Document) *plan {
	p := &plan{
		revision:      s.Revision,
		indexRevision: d.Revision,
		sheet:         s,
		callers:       make(map[[sha256.Size]byte]*sheet.Caller, len(s.Callers)),
		services:      make(map[string]*sheet.Service, len(s.Services)),
		indexes:       make(map[string]*index.Service, len(d.Services)),
		targets:       make(map[string]*sheet.Target, len(s.Targets)),
	}
	for i := range s.Callers {
		digest, err := hex.DecodeString(s.Callers[i].KeyDigest)
		if err == nil && len(digest) == sha256.Size {
			p.callers[[sha256.Size]byte(digest)] = &s.Callers[i]
		}
	}
	for i := range s.Services {
		p.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range d.Services {
		p.indexes[d.Services[i].Name] = &d.Services[i]
	}
	for i := range s.Targets {
		p.targets[s.Targets[i].ID] = &s.Targets[i]
	}
	return p
}

// authenticate returns the caller with the given bearer key.
func (p *plan) authenticate(key string) (*sheet.Caller, error) {
	digest := sha256.Sum256([]byte(key))
	caller, ok := p.callers[digest]
	if !ok {
		return nil, status.New(status.Unauthenticated, status.NotRun, "the bearer key is not known")
	}
	want, err := hex.DecodeString(caller.KeyDigest)
	if err != nil || subtle.ConstantTimeCompare(digest[:], want) != 1 {
		return nil, status.New(status.Unauthenticated, status.NotRun, "the bearer key is not known")
	}
	return caller, nil
}

// service returns a service that the caller may query.
func (p *plan) service(caller *sheet.Caller, name string) (*sheet.Service, error) {
	svc, ok := p.services[name]
	if !ok || !slices.Contains(caller.Services, name) {
		return nil, status.New(status.PermissionDenied, status.NotRun, "service %q is unknown or not allowed for this caller", name)
	}
	return svc, nil
}
