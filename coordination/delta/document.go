// Package delta describes a change of a JSON document by what it keeps and what
// it replaces, so that a small change of a large document costs few bytes.
//
// A document is split into its top-level fields and the elements of its
// top-level arrays: the services, targets, callers and workspaces of a sheet,
// the services of an index. A delta names runs of unchanged elements by
// position and carries the others. It needs no knowledge of the fields, so
// entries of different versions of the program can exchange documents with
// fields that only one of them knows. The result is the same byte for byte and
// is checked by the digest of the whole.
//
// The package is pure. Every error is a *status.Error with the code
// InvalidArgument (not a JSON object, a delta that does not fit its base),
// TooLarge, or RevisionConflict (the digest of the result differs).
package delta

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/cespare/xxhash/v2"
)

// MaxBytes is the largest compact document: the platform's limit of a value.
const MaxBytes = 1 << 20

// Document is a JSON document in compact form, split into parts. It is
// immutable. Its parts share the memory of the bytes.
type Document struct {
	compact []byte
	digest  revision.Digest
	fields  []field
}

// field is a top-level field. An array has elements, anything else a value.
type field struct {
	name     []byte
	value    []byte
	array    bool
	elements []element
}

type element struct {
	hash uint64
	raw  []byte
}

// New splits a JSON object of at most MaxBytes in compact form. It does not
// keep data. White space between tokens does not change the digest.
func New(data []byte) (*Document, error) {
	var buffer bytes.Buffer
	buffer.Grow(len(data))
	if err := json.Compact(&buffer, data); err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "document is not valid JSON")
	}
	if buffer.Len() > MaxBytes {
		return nil, status.New(status.TooLarge, "", "document has %d bytes, more than %d", buffer.Len(), MaxBytes)
	}
	doc := &Document{compact: buffer.Bytes()}
	fields, err := split(doc.compact)
	if err != nil {
		return nil, err
	}
	doc.fields = fields
	doc.digest = revision.DigestOf(doc.compact)
	return doc, nil
}

// Bytes returns the document in compact form. The caller must not change it.
func (d *Document) Bytes() []byte { return d.compact }

// Digest returns the SHA-256 digest of Bytes.
func (d *Document) Digest() revision.Digest { return d.digest }

// split cuts a compact, valid JSON document into fields.
func split(compact []byte) ([]field, error) {
	if len(compact) < 2 || compact[0] != '{' {
		return nil, status.New(status.InvalidArgument, "", "document is not a JSON object")
	}
	var fields []field
	for pos := 1; compact[pos] != '}'; {
		if compact[pos] == ',' {
			pos++
		}
		end := skipValue(compact, pos)
		f := field{name: compact[pos:end]}
		pos = end + 1 // The colon.
		end = skipValue(compact, pos)
		if compact[pos] == '[' {
			f.array = true
			f.elements = splitArray(compact[pos:end])
		} else {
			f.value = compact[pos:end]
		}
		fields = append(fields, f)
		pos = end
	}
	return fields, nil
}

// splitArray cuts a compact, valid JSON array into its elements.
func splitArray(array []byte) []element {
	var elements []element
	for pos := 1; array[pos] != ']'; {
		if array[pos] == ',' {
			pos++
		}
		end := skipValue(array, pos)
		raw := array[pos:end]
		elements = append(elements, element{hash: xxhash.Sum64(raw), raw: raw})
		pos = end
	}
	return elements
}

// skipValue returns the end of the value that starts at pos in compact JSON
// that json.Compact has already checked.
func skipValue(data []byte, pos int) int {
	depth := 0
	for ; pos < len(data); pos++ {
		switch data[pos] {
		case '"':
			pos = stringEnd(data, pos)
			if depth == 0 {
				return pos + 1
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 { // The end of the surrounding value ends a number or literal.
				return pos
			}
			depth--
			if depth == 0 {
				return pos + 1
			}
		case ',', ':':
			if depth == 0 {
				return pos
			}
		}
	}
	return pos
}

// stringEnd returns the position of the quote that ends the string at pos.
func stringEnd(data []byte, pos int) int {
	for pos++; data[pos] != '"'; pos++ {
		if data[pos] == '\\' {
			pos++
		}
	}
	return pos
}

// Number returns the value of the top-level field with the given name if it is
// a decimal number from 0, and false otherwise.
func (d *Document) Number(name string) (uint64, bool) {
	f := d.find([]byte(`"` + name + `"`))
	if f == nil || f.array {
		return 0, false
	}
	n, err := strconv.ParseUint(string(f.value), 10, 64)
	return n, err == nil
}
