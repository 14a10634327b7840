package document

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// WrongType describes a value of data that does not fit its field. It shows the
// value, unless the field holds a key, and names the types of JSON and not those
// of Go.
func WrongType(data []byte, err *json.UnmarshalTypeError) Fault {
	fault := Fault{Path: err.Field, Value: err.Value, Allowed: "a value of another type"}
	if err.Type != nil {
		fault.Allowed = typeName(err.Type)
	}
	// A field such as "peer_key" or "key_digest" may hold a secret.
	if field := err.Field[strings.LastIndex(err.Field, ".")+1:]; strings.Contains(field, "key") {
		return fault
	}
	if value := scalarBefore(data, err.Offset); value != "" {
		fault.Value = shorten(value)
	}
	return fault
}

// scalarBefore returns the text, number or truth value of data that ends at
// offset, as JSON, or "" when another value ends there.
func scalarBefore(data []byte, offset int64) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	for {
		token, err := dec.Token()
		if err != nil || dec.InputOffset() > offset {
			return ""
		}
		if dec.InputOffset() < offset {
			continue
		}
		if _, ok := token.(json.Delim); ok {
			return ""
		}
		text, err := json.Marshal(token)
		if err != nil {
			return ""
		}
		return string(text)
	}
}

// typeName returns the name of the JSON values that fit a Go type.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "an integer from 0"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Pointer:
		return typeName(t.Elem())
	default:
		return "an object"
	}
}
