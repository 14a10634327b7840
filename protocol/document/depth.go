package document

import "fmt"

// MaxDepth is the maximum nesting depth of objects and arrays in JSON input from callers and
// operators. Valid documents and requests need fewer than 10 levels.
const MaxDepth = 64

// DepthError reports JSON input whose objects and arrays are nested too deeply.
type DepthError struct {
	// Limit is the maximum depth.
	Limit int
	// Offset is the zero-based offset of the byte that exceeds the limit.
	Offset int
}

// Error implements the error interface.
func (e *DepthError) Error() string {
	return fmt.Sprintf("objects and arrays are nested deeper than %d at byte %d", e.Limit, e.Offset)
}

// fault returns e as a Fault.
func (e *DepthError) fault() Fault {
	return Fault{Value: fmt.Sprintf("at byte %d", e.Offset), Allowed: fmt.Sprintf("objects and arrays nested at most %d deep", e.Limit)}
}

// CheckDepth returns a *DepthError if the objects and arrays in data are nested deeper than
// MaxDepth. It reads each byte once and does not allocate, so it can run before any parser. It
// does not validate the JSON: malformed input passes unless it exceeds the depth limit.
func CheckDepth(data []byte) error {
	depth := 0
	inString := false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++ // An escaped byte does not end the string.
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			if depth++; depth > MaxDepth {
				return &DepthError{Limit: MaxDepth, Offset: i}
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}
