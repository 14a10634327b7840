package document

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// DuplicateKey returns the path of the first duplicate object key in a JSON text, such as
// "services[2].name". Decoders silently use the last value, so two readers of the same text
// could see different values. Keys are compared without regard to case, as encoding/json
// matches them. DuplicateKey returns false if there is no duplicate before the first syntax error.
// It takes linear time, whatever the nesting depth.
func DuplicateKey(data []byte) (path string, found bool) {
	s := keyScanner{dec: json.NewDecoder(bytes.NewReader(data))}
	s.dec.UseNumber()
	for {
		token, err := s.dec.Token()
		if err != nil {
			return "", false
		}
		if s.consume(token) {
			return s.path(), true
		}
		if len(s.stack) == 0 {
			return "", false
		}
	}
}

// keyScanner tracks the object keys in a stream of JSON tokens.
type keyScanner struct {
	dec *json.Decoder
	// stack holds the objects and arrays that enclose the next token, outermost first.
	stack []container
}

// container is an object or array that has been opened but not closed.
type container struct {
	// keys holds the lower-case keys of an object read so far. It is nil for an array.
	keys map[string]bool
	// key is the most recent key of an object. Its value is the next token or still open.
	key string
	// expectValue is set when the next token starts the value of key.
	expectValue bool
	// elements is the number of array elements read so far.
	elements int
}

// consume processes the next token and reports whether it is a duplicate key.
func (s *keyScanner) consume(token json.Token) bool {
	switch token {
	case json.Delim('}'), json.Delim(']'):
		s.stack = s.stack[:len(s.stack)-1]
		return false
	}
	if len(s.stack) > 0 {
		switch c := &s.stack[len(s.stack)-1]; {
		case c.keys == nil:
			c.elements++
		case c.expectValue:
			c.expectValue = false
		default:
			c.key, c.expectValue = token.(string), true // Token rejects keys that are not strings.
			folded := strings.ToLower(c.key)
			duplicate := c.keys[folded]
			c.keys[folded] = true
			return duplicate
		}
	}
	switch token {
	case json.Delim('{'):
		s.stack = append(s.stack, container{keys: make(map[string]bool)})
	case json.Delim('['):
		s.stack = append(s.stack, container{})
	}
	return false
}

// path returns the path of the last key read.
func (s *keyScanner) path() string {
	var b strings.Builder
	for _, c := range s.stack {
		switch {
		case c.keys == nil:
			b.WriteString("[" + strconv.Itoa(c.elements-1) + "]")
		case b.Len() > 0:
			b.WriteString("." + c.key)
		default:
			b.WriteString(c.key)
		}
	}
	return b.String()
}
