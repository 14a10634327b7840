// Package settings reads the JSON settings files of the programs. It refuses
// unknown fields, wrong types, values out of range and missing files, and names
// the file, the field, the value and what is allowed.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/document"
)

// Problem is one fault in a settings file.
type Problem struct {
	// Field is the path of the field, such as "peers[1].address". It is empty
	// when the fault concerns the whole file.
	Field string
	// Value is the faulty value as text.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// Error lists every fault found in one file.
type Error struct {
	File     string
	Problems []Problem
}

// Error implements the error interface.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		place := "(file)"
		if p.Field != "" {
			place = fmt.Sprintf("field %q", p.Field)
		}
		lines[i] = fmt.Sprintf("%s: %s: value %s: %s", e.File, place, p.Value, p.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings that check their values.
type Checker interface {
	// Check returns every fault in the values.
	Check() []Problem
}

// Load reads path into dst and checks the values. Every error is an *Error.
func Load(path string, dst Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Problems: []Problem{{Value: "none", Allowed: "a readable file: " + err.Error()}}}
	}
	if err := document.CheckDepth(data); err != nil {
		return &Error{File: path, Problems: []Problem{{Value: "too deep", Allowed: "fewer levels: " + err.Error()}}}
	}
	if field, ok := document.DuplicateKey(data); ok {
		return &Error{File: path, Problems: []Problem{{Field: field, Value: "given twice", Allowed: "a key that is given once"}}}
	}
	if err := decode(data, dst); err != nil {
		return &Error{File: path, Problems: []Problem{problemOf(data, err)}}
	}
	if problems := dst.Check(); len(problems) > 0 {
		return &Error{File: path, Problems: problems}
	}
	return nil
}

func decode(data []byte, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return &json.UnmarshalTypeError{Value: "trailing data", Offset: dec.InputOffset()}
	}
	return nil
}

func problemOf(data []byte, err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		if typeErr.Type == nil { // decode found data after the object.
			return Problem{Value: typeErr.Value, Allowed: "end of file"}
		}
		fault := document.TypeFault(data, typeErr)
		return Problem{Field: fault.Path, Value: fault.Value, Allowed: fault.Allowed}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return Problem{Value: fmt.Sprintf("at byte %d", syntaxErr.Offset), Allowed: "valid JSON: " + syntaxErr.Error()}
	}
	// encoding/json reports an unknown field as plain text only.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return Problem{Field: strings.Trim(name, `"`), Value: "present", Allowed: "a field that the program knows"}
	}
	return Problem{Value: "unreadable", Allowed: "valid JSON: " + err.Error()}
}
