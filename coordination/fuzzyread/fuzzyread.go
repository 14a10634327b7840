// Package fuzzyread turns a read whose pages differ in age into a consistent snapshot. Each page of a
// range read shows its keys as of a revision of its own. The changes after the oldest page, applied to
// the pages that do not include them, make all pages equally old.
//
// The package has no side effects. A Coverage is not safe for concurrent use.
package fuzzyread

import (
	"sort"

	"github.com/balsamstall/balsamstall/protocol/published"
)

// Coverage tells up to which revision the data of each key is known. The zero value covers nothing.
type Coverage struct {
	// pages holds the pages of the read, in the order of their keys, until the data is complete.
	pages []published.Page
	// revision is the revision up to which all changes have been applied.
	revision uint64
}

// New returns the coverage of a read with the given pages, in the order of their keys. The first page
// begins at the lowest key. The changes after the revision resume, which must not be above that of any
// page, have not been applied.
func New(pages []published.Page, resume uint64) Coverage {
	return Coverage{pages: pages, revision: resume}
}

// Oldest returns the lowest revision of a page, or Revision once the data is complete.
func (c *Coverage) Oldest() uint64 {
	oldest := c.Newest()
	for _, p := range c.pages {
		oldest = min(oldest, p.Revision)
	}
	return oldest
}

// Newest returns the highest revision of a page, or Revision once the data is complete.
func (c *Coverage) Newest() uint64 {
	if len(c.pages) == 0 {
		return c.revision
	}
	var newest uint64
	for _, p := range c.pages {
		newest = max(newest, p.Revision)
	}
	return newest
}

// Revision returns the revision up to which all changes have been applied.
func (c *Coverage) Revision() uint64 { return c.revision }

// Includes reports whether the data already includes a change of key at the given revision. Applying
// it undoes later changes of the key until these are applied too.
func (c *Coverage) Includes(key string, revision uint64) bool {
	if revision <= c.revision {
		return true
	}
	// The page of a key is the last one that begins before the key.
	after := sort.Search(len(c.pages), func(i int) bool { return c.pages[i].After >= key })
	return after > 0 && revision <= c.pages[after-1].Revision
}

// Advance records that the data includes all changes up to a revision.
func (c *Coverage) Advance(revision uint64) {
	c.revision = max(c.revision, revision)
	if c.Complete() {
		c.pages = nil
	}
}

// Complete reports whether the data is a consistent snapshot as of Revision: no page shows a later
// state.
func (c *Coverage) Complete() bool {
	for _, p := range c.pages {
		if p.Revision > c.revision {
			return false
		}
	}
	return true
}
