package document

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// TypeFault returns the fault for a value in data whose type does not match its field. The fault
// contains the value, unless the field holds a key, and refers to JSON types instead of Go types.
func TypeFault(data []byte, err *json.UnmarshalTypeError) Fault {
	fault := Fault{Path: err.Field, Value: err.Value, Allowed: "a value of another type"}
	if err.Type != nil {
		fault.Allowed = typeName(err.Type)
	}
	// Fields such as "peer_key" and "key_digest" may hold a secret.
	if field := err.Field[strings.LastIndex(err.Field, ".")+1:]; strings.Contains(field, "key") {
		return fault
	}
	if value := scalarEndingAt(data, err.Offset); value != "" {
		fault.Value = truncate(value)
	}
	return fault
}

// scalarEndingAt returns the JSON encoding of the string, number, boolean or null in data that ends
// at offset, or "" if there is none.
func scalarEndingAt(data []byte, offset int64) string {
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

// typeName describes the JSON values that decode into a Go type.
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
