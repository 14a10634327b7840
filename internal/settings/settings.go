// Package settings reads the JSON settings files of the programs. It rejects unknown fields, wrong
// types, values out of range and missing files. Its errors name the file, the field, the value and
// what is allowed.
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

// Fault is one invalid value or another error in a settings file.
type Fault struct {
	// Field is the path of the field, such as "peers[1].address". It is empty if the fault
	// concerns the whole file.
	Field string
	// Value is the invalid value as text.
	Value string
	// Allowed describes what is accepted.
	Allowed string
}

// Error lists the faults of one settings file.
type Error struct {
	File   string
	Faults []Fault
}

// Error implements the error interface.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, p := range e.Faults {
		location := "(file)"
		if p.Field != "" {
			location = fmt.Sprintf("field %q", p.Field)
		}
		lines[i] = fmt.Sprintf("%s: %s: value %s: %s", e.File, location, p.Value, p.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings that check their values.
type Checker interface {
	// Check returns all faults of the values.
	Check() []Fault
}

// Load decodes the file at path into dst, applies the overrides and checks the values. An override replaces
// one field and has the form FIELD=JSON. Every error is an *Error.
func Load(path string, dst Checker, overrides ...string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Faults: []Fault{{Value: "none", Allowed: "a readable file: " + err.Error()}}}
	}
	if err := document.CheckDepth(data); err != nil {
		return &Error{File: path, Faults: []Fault{{Value: "nested too deeply", Allowed: "fewer levels: " + err.Error()}}}
	}
	if field, ok := document.DuplicateKey(data); ok {
		return &Error{File: path, Faults: []Fault{{Field: field, Value: "given twice", Allowed: "a key that is given once"}}}
	}
	if err := decode(data, dst); err != nil {
		return &Error{File: path, Faults: []Fault{decodeFault(data, err)}}
	}
	for _, override := range overrides {
		field, value, _ := strings.Cut(override, "=")
		name, err := json.Marshal(field)
		if err == nil {
			err = decode(fmt.Appendf(nil, "{%s:%s}", name, value), dst)
		}
		if err != nil {
			return &Error{File: path, Faults: []Fault{{Field: field, Value: "override " + override, Allowed: "FIELD=JSON of a known field: " + err.Error()}}}
		}
	}
	if faults := dst.Check(); len(faults) > 0 {
		return &Error{File: path, Faults: faults}
	}
	return nil
}

// decode decodes one JSON object without unknown fields and without trailing data.
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

// decodeFault converts an error of decode to a Fault.
func decodeFault(data []byte, err error) Fault {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		if typeErr.Type == nil { // decode found trailing data.
			return Fault{Value: typeErr.Value, Allowed: "end of file"}
		}
		fault := document.TypeFault(data, typeErr)
		return Fault{Field: fault.Path, Value: fault.Value, Allowed: fault.Allowed}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return Fault{Value: fmt.Sprintf("at byte %d", syntaxErr.Offset), Allowed: "valid JSON: " + syntaxErr.Error()}
	}
	// encoding/json has no error type for an unknown field.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return Fault{Field: strings.Trim(name, `"`), Value: "present", Allowed: "a field that the program knows"}
	}
	return Fault{Value: "unreadable", Allowed: "valid JSON: " + err.Error()}
}
