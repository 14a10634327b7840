// Package document strictly decodes the documents that operators write and reports their
// faults.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	// MaxValueSize is the maximum size of a value that the platform publishes, in bytes.
	MaxValueSize = 1 << 20
	// maxExpansion is the maximum ratio of the size of a document to that of the value that it was
	// translated from.
	maxExpansion = 8
	// MaxSize is the maximum size of a document in bytes. Every document that was translated from a
	// published value is smaller.
	MaxSize = maxExpansion * MaxValueSize
)

// maxShownValue is the maximum length of a value in a fault, in bytes.
const maxShownValue = 80

// Fault describes one invalid value in a document.
type Fault struct {
	// Path is the path of the field, such as "services[2].limits.max_queue". It is empty if the
	// fault concerns the whole document.
	Path string `json:"path"`
	// Value is the text of the invalid value.
	Value string `json:"value"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "(document)"
	}
	return fmt.Sprintf("%s: value %s: %s", path, f.Value, f.Allowed)
}

// Error reports all faults of one document.
type Error struct {
	// Kind is the kind of document, such as "sheet".
	Kind   string
	Faults []Fault
}

// Error implements the error interface.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.Kind + ": " + f.String()
	}
	return strings.Join(lines, "\n")
}

// Digest returns the SHA-256 digest of the compact form of a document, which is the digest that
// entries report. White space between tokens does not affect it. Data that is not JSON is hashed
// unchanged.
func Digest(data []byte) [sha256.Size]byte {
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return sha256.Sum256(data)
	}
	return sha256.Sum256(compact.Bytes())
}

// Decode decodes data into dst. It rejects documents that are larger than MaxSize or nested
// deeper than MaxDepth, duplicate keys, unknown fields, wrong types and trailing data. Every error
// is an *Error.
func Decode(kind string, data []byte, dst any) error { return decode(kind, data, dst, true) }

// DecodeCompatible is like Decode, but ignores unknown fields. It is for documents that other entries encode: a
// later build may add fields.
func DecodeCompatible(kind string, data []byte, dst any) error { return decode(kind, data, dst, false) }

func decode(kind string, data []byte, dst any, strict bool) error {
	if len(data) > MaxSize {
		return &Error{Kind: kind, Faults: []Fault{{
			Value:   fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxSize),
		}}}
	}
	var depthErr *DepthError
	if errors.As(CheckDepth(data), &depthErr) {
		return &Error{Kind: kind, Faults: []Fault{depthErr.fault()}}
	}
	if path, ok := DuplicateKey(data); ok {
		return &Error{Kind: kind, Faults: []Fault{{Path: path, Value: "given twice", Allowed: "a key that is given once"}}}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(dst); err != nil {
		return &Error{Kind: kind, Faults: []Fault{DecodeFault(data, err)}}
	}
	if _, err := dec.Token(); err != io.EOF {
		return &Error{Kind: kind, Faults: []Fault{{
			Value:   fmt.Sprintf("data after byte %d", dec.InputOffset()),
			Allowed: "one JSON object and nothing after it",
		}}}
	}
	return nil
}

// DecodeFault converts an error of encoding/json for data into a Fault that refers to JSON instead
// of Go types.
func DecodeFault(data []byte, err error) Fault {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return TypeFault(data, typeErr)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return Fault{Value: fmt.Sprintf("at byte %d", syntaxErr.Offset), Allowed: "valid JSON: " + syntaxErr.Error()}
	}
	// encoding/json has no error type for unknown fields.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return Fault{Path: strings.Trim(name, `"`), Value: "present", Allowed: "a field of the schema"}
	}
	return Fault{Value: "unreadable", Allowed: "valid JSON: " + err.Error()}
}

// Checks validates the values of a document and collects their faults.
type Checks struct {
	Faults []Fault
}

// Add records a fault and truncates a long value.
func (c *Checks) Add(path, value, allowed string) {
	c.Faults = append(c.Faults, Fault{Path: path, Value: truncate(value), Allowed: allowed})
}

// truncate cuts a value to at most maxShownValue bytes on a rune boundary and marks the cut with
// an ellipsis.
func truncate(value string) string {
	if len(value) <= maxShownValue {
		return value
	}
	end := maxShownValue
	for end > 0 && !utf8.RuneStart(value[end]) {
		end--
	}
	return value[:end] + "..."
}

// Range requires an integer from lo to hi, inclusive.
func (c *Checks) Range(path string, value, lo, hi int64) {
	if value < lo || value > hi {
		c.Add(path, strconv.FormatInt(value, 10), fmt.Sprintf("a number from %d to %d", lo, hi))
	}
}

// Ratio requires a number from 0 to 1.
func (c *Checks) Ratio(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.Add(path, strconv.FormatFloat(value, 'g', -1, 64), "a number from 0 to 1")
	}
}

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 64

// Name requires 1 to 64 ASCII letters, digits, dots, hyphens or underscores. If seen is not nil,
// Name also requires that the value is not in it, and adds it.
func (c *Checks) Name(path, value string, seen map[string]bool) {
	if !validName(value) {
		c.Add(path, strconv.Quote(value), fmt.Sprintf("1 to %d letters, digits, dots, hyphens or underscores", maxNameLength))
		return
	}
	if seen == nil {
		return
	}
	if seen[value] {
		c.Add(path, strconv.Quote(value), "a unique name")
	}
	seen[value] = true
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		if !validNameRune(r) {
			return false
		}
	}
	return true
}

func validNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-' || r == '_'
}

// InSet requires that value is in set.
func (c *Checks) InSet(path, value string, set map[string]bool, allowed string) {
	if !set[value] {
		c.Add(path, strconv.Quote(value), allowed)
	}
}

// IsDigest reports whether s is a SHA-256 digest in hexadecimal.
func IsDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size
}
