package document

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// DuplicateKey returns the path of the first key that an object of the JSON text
// gives twice, such as "services[2].name". Decoders take the last of them, so that
// two readers of one text could see different values. Keys count as equal without
// regard to case, as encoding/json takes them. It reports false for a text without
// one, and for one that is no valid JSON.
func DuplicateKey(data []byte) (path string, found bool) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return duplicateIn(dec, "")
}

// duplicateIn reads one value.
func duplicateIn(dec *json.Decoder, path string) (string, bool) {
	token, err := dec.Token()
	if err != nil {
		return "", false
	}
	switch token {
	case json.Delim('{'):
		seen := make(map[string]bool)
		for dec.More() {
			token, err := dec.Token()
			key, ok := token.(string)
			if err != nil || !ok {
				return "", false
			}
			at := strings.TrimPrefix(path+"."+key, ".")
			folded := strings.ToLower(key)
			if seen[folded] {
				return at, true
			}
			seen[folded] = true
			if found, ok := duplicateIn(dec, at); ok {
				return found, true
			}
		}
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if found, ok := duplicateIn(dec, path+"["+strconv.Itoa(i)+"]"); ok {
				return found, true
			}
		}
	default:
		return "", false
	}
	_, _ = dec.Token() // The closing delimiter. An error shows again at the next token.
	return "", false
}
