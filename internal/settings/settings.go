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
		lines[i] = fmt.Sprintf("%s: field %q: value %s: %s", e.File, p.Field, p.Value, p.Allowed)
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
	if err := decode(data, dst); err != nil {
		return &Error{File: path, Problems: []Problem{problemOf(err)}}
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

func problemOf(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		allowed := "end of file"
		if typeErr.Type != nil {
			allowed = "a value of type " + typeErr.Type.String()
		}
		return Problem{Field: typeErr.Field, Value: typeErr.Value, Allowed: allowed}
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
