// Package delta encodes a change to a JSON document as the parts that are kept and the parts that are
// replaced, so that a small change to a large document takes few bytes.
//
// A document is split into its top-level fields and the elements of its top-level arrays, such as
// the services, targets, callers and workspaces of a sheet or the services of an index. A delta
// refers to runs of unchanged elements by position and carries the others. The encoding does not
// depend on the schema, so that entries that run different versions of the program can exchange
// documents with fields that only one of them knows. The result equals the target byte for byte,
// which is verified by its digest.
//
// The package has no side effects. Every error is a *status.Error with the code InvalidArgument (not
// a JSON object, or a delta that does not match its base), TooLarge, or RevisionConflict (the digest
// of the result differs).
package delta

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/cespare/xxhash/v2"
)

// Document is an immutable JSON document in compact form, split into parts that share its memory.
type Document struct {
	compact []byte
	digest  revision.Digest
	fields  []field
}

// field is a top-level field. Its name includes the quotes. An array has elements; any other field
// has a value.
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

// New parses a JSON object of at most document.MaxSize bytes in compact form. It does not retain data. White space
// between tokens does not affect the digest.
func New(data []byte) (*Document, error) {
	var buffer bytes.Buffer
	buffer.Grow(len(data))
	if err := json.Compact(&buffer, data); err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "document is not valid JSON")
	}
	if buffer.Len() > document.MaxSize {
		return nil, status.New(status.TooLarge, "", "document has %d bytes, which exceeds the limit of %d", buffer.Len(), document.MaxSize)
	}
	doc := &Document{compact: buffer.Bytes()}
	fields, err := splitObject(doc.compact)
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

// splitObject splits a compact, valid JSON document into its top-level fields.
func splitObject(compact []byte) ([]field, error) {
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

// splitArray splits a compact, valid JSON array into its elements.
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

// skipValue returns the end of the value that starts at pos. data must be compact JSON that
// json.Compact has validated.
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
			if depth == 0 { // The end of the enclosing value terminates a number or literal.
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

// stringEnd returns the position of the closing quote of the string that starts at pos.
func stringEnd(data []byte, pos int) int {
	for pos++; data[pos] != '"'; pos++ {
		if data[pos] == '\\' {
			pos++
		}
	}
	return pos
}

// UintField returns the value of the top-level field with the given name if it is an unsigned decimal
// integer, and false otherwise.
func (d *Document) UintField(name string) (uint64, bool) {
	f := d.findField([]byte(`"` + name + `"`))
	if f == nil || f.array {
		return 0, false
	}
	n, err := strconv.ParseUint(string(f.value), 10, 64)
	return n, err == nil
}
